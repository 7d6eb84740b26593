// Package endpoint keeps what a node knows of the back ends: their incarnation,
// weights, whether they leave or are down, their load, and this node's own work
// on them.
package endpoint

import "github.com/cloverrail/cloverrail/internal/engineapi"

// Record is what nodes tell each other of one back end. Records are hints: the
// engine itself refuses what was chosen for another epoch or version.
type Record struct {
	Name string
	// Version orders records of one back end.
	Version uint64
	Epoch   string
	// Weights is the loaded version of each model.
	Weights map[string]string
	// Loading says that the engine is busy loading weights.
	Loading bool
	// Leaving is set by the first signal that the back end leaves and stays set
	// until it shows a newer epoch.
	Leaving bool
	// Down says that the back end did not answer its reader.
	Down bool
}

// Observation is one look at a back end.
type Observation struct {
	Answered bool
	Status   engineapi.Status
}

// Observe returns the record that follows from an observation, and whether it
// differs from the one before.
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
		// A back end that said it leaves does not come back by keeping silent:
		// only a newer epoch readmits it.
		next.Leaving = status.Leaving || (known.Leaving && !restarted)
	}
	if same(known, next) {
		return known, false
	}
	next.Version = known.Version + 1
	return next, true
}

// Leave returns the record with the leaving mark, and whether that is news.
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
