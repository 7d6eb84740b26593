// Package retryloan lets nodes lend each other retries. Each node has a share of the retry budget of a service, and the
// requests that fail together at one node, such as those of a node which is partitioned from servers, need more than its
// share while those of other nodes are unused. A retry that was lent is taken from the lender first, so that the fleet never
// makes more than its budget; one whose response is lost is not made at all.
package retryloan

import (
	"encoding/gob"
	"io"
	"net/http"

	"github.com/juju/errors"
)

const (
	// Path is the path at which a node lends retries.
	Path = "/retry-loan"
	// MaxMessageBytes bounds a message, and maxWanted the retries that one asks for.
	MaxMessageBytes = 4 << 10
	maxWanted       = 64
)

// loanRequest asks for retries of a service. Fields are only added.
type loanRequest struct {
	Service string
	Wanted  int
}

// loan holds the retries that were lent. Fields are only added.
type loan struct{ Granted int }

// Handler lends retries to other nodes. lend takes up to a number of retries from this node's share and returns how many.
func Handler(lend func(service string, wanted int) int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request loanRequest
		if err := gob.NewDecoder(io.LimitReader(r.Body, MaxMessageBytes)).Decode(&request); err != nil {
			http.Error(w, "malformed request for retries: "+err.Error(), http.StatusBadRequest)
			return
		}
		granted := 0
		if request.Wanted > 0 {
			granted = lend(request.Service, min(request.Wanted, maxWanted))
		}
		// An error means that the borrower has disconnected. What it was lent is spent.
		_ = gob.NewEncoder(w).Encode(loan{Granted: granted})
	}
}

// decodeLoan decodes what a node has lent in response to a request for a number of retries.
func decodeLoan(r io.Reader, wanted int) (int, error) {
	var l loan
	if err := gob.NewDecoder(io.LimitReader(r, MaxMessageBytes)).Decode(&l); err != nil {
		return 0, errors.Trace(err)
	}
	return max(0, min(l.Granted, wanted)), nil
}
