// Package endpoint tracks the state of backends as seen by one node: their
// incarnation, weights, health and load, and this node's own attempts on them.
package endpoint

import "github.com/cloverrail/cloverrail/internal/engineapi"

// Record is the state of one backend that nodes exchange. Records are hints: an
// engine itself rejects requests sent for another epoch or version.
type Record struct {
	Name string
	// Version orders the records of one backend.
	Version uint64
	Epoch   string
	// Weights is the loaded version of each model.
	Weights map[string]string
	// Loading is set while the engine loads weights.
	Loading bool
	// Leaving is set by the first signal that the backend is shutting down and stays
	// set until the backend reports a newer epoch.
	Leaving bool
	// Down is set when the backend does not respond to its observer.
	Down bool
}

// Observation is the result of one status query to a backend.
type Observation struct {
	Answered bool
	Status   engineapi.Status
}

// Observe returns the record updated by an observation, and whether it differs
// from the previous one.
func Observe(known Record, observation Observation) (Record, bool) {
	next := known
	if !observation.Answered {
		next.Down = true
	} else {
		status := observation.Status
		restarted := status.Epoch != known.Epoch
		next.Down = false
		next.Epoch = status.Epoch
		next.Weights = status.Weights
		next.Loading = status.Loading
		// Only a newer epoch readmits a backend that announced its shutdown; a
		// status without the flag does not.
		next.Leaving = status.Leaving || (known.Leaving && !restarted)
	}
	if same(known, next) {
		return known, false
	}
	next.Version = known.Version + 1
	return next, true
}

// MarkLeaving returns the record marked as leaving, and whether it has changed.
func Leave(known Record) (Record, bool) {
	if known.Leaving {
		return known, false
	}
	known.Leaving = true
	known.Version++
	return known, true
}

func same(first, second Record) bool {
	if first.Epoch != second.Epoch || first.Leaving != second.Leaving || first.Down != second.Down || first.Loading != second.Loading || len(first.Weights) != len(second.Weights) {
		return false
	}
	for model, version := range first.Weights {
		if second.Weights[model] != version {
			return false
		}
	}
	return true
}
