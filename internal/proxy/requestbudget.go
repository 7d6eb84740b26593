package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/retry"
)

// requestBudget is the retry budget of a service as one request uses it. It implements exchange.Budget and
// exchange.RetryQueue, and records what is granted.
type requestBudget struct {
	budget   *retry.Budget
	service  string
	recorder Recorder
	// borrow asks other nodes for retries for the requests that wait; nil if there are none.
	borrow func(service string, budget *retry.Budget)
	// waiter is set while the request waits for a retry.
	waiter *retry.Waiter
}

// Withdraw takes one retry from the budget and reports whether one was available.
func (b *requestBudget) Withdraw(now time.Time) bool {
	granted := false
	if b.waiter != nil {
		if granted = b.waiter.Withdraw(now); !granted {
			b.borrowRetries()
		}
	} else {
		granted = b.budget.Withdraw(now)
	}
	b.recorder.Retry(b.service, granted)
	return granted
}

// Join makes the request wait for a retry, if it does not yet. The channel has an element when Withdraw may succeed.
func (b *requestBudget) Join(begun bool) <-chan struct{} {
	if b.waiter == nil {
		b.waiter = b.budget.Queue(begun)
		b.borrowRetries()
	}
	return b.waiter.Ready()
}

// Leave ends the wait for a retry, if the request waits.
func (b *requestBudget) Leave() {
	if b.waiter != nil {
		b.waiter.Leave()
		b.waiter = nil
	}
}

func (b *requestBudget) borrowRetries() {
	if b.borrow != nil {
		b.borrow(b.service, b.budget)
	}
}
