package main

import (
	"net/http"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/retryloan"
)

// newRetryBorrower returns a function that asks other nodes for retries of a service while requests wait for them.
func (process *process) newRetryBorrower() func(service string, budget *retry.Budget) {
	borrower := retryloan.NewBorrower(process.peerDirectory.Nodes, process.peerClient, process.recorder.RetriesBorrowed)
	return func(service string, budget *retry.Budget) { borrower.Borrow(service, budget) }
}

// lendHandler returns the handler of requests for retries from other nodes. It lends those of declared services.
func (process *process) lendHandler() http.HandlerFunc {
	return retryloan.Handler(func(service string, wanted int) int {
		replica := process.replica.Load()
		if replica == nil || replica.Snapshot == nil || replica.Snapshot.Service(service) == nil {
			return 0
		}
		lent := process.retryBudgets.Lend(service, wanted, boottime.Now())
		process.recorder.RetriesLent(service, lent)
		return lent
	})
}
