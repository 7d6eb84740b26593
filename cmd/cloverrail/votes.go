package main

import (
	"iter"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/capacity"
)

// prefillVotes returns the votes of other nodes on the prefill rates of servers.
func prefillVotes(work []backend.Work) iter.Seq2[uint64, capacity.Votes] {
	return func(yield func(uint64, capacity.Votes) bool) {
		for _, w := range work {
			if w.Prefill != 0 && !yield(w.Server, w.Prefill) {
				return
			}
		}
	}
}
