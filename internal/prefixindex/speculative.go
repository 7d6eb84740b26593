package prefixindex

import (
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// SpeculativeIndex records the blocks of prompts that a node recently sent to
// engines, which will hold them before their cache events report it. Entries
// expire after one to two lifetimes. It is safe for concurrent use.
type Expected struct {
	mutex    sync.Mutex
	lifetime time.Duration
	turned   time.Time
	recent   *Index
	older    *Index
}

// NewSpeculativeIndex returns an empty index.
func NewExpected(lifetime time.Duration) *Expected {
	return &Expected{lifetime: lifetime, recent: New(), older: New()}
}

// Add records that a prompt was sent to the holder.
func (expected *Expected) Add(now time.Time, holder Holder, chain []prefix.Hash) {
	expected.mutex.Lock()
	defer expected.mutex.Unlock()
	expected.turn(now)
	expected.recent.Apply(Update{Holder: holder, Stored: chain})
}

// Lookup appends the depths to which holders are expected to have the chain.
func (expected *Expected) Lookup(now time.Time, depths []Depth, chain []prefix.Hash) []Depth {
	expected.mutex.Lock()
	defer expected.mutex.Unlock()
	expected.turn(now)
	depths = expected.recent.Lookup(depths, chain)
	return expected.older.Lookup(depths, chain)
}

func (expected *Expected) turn(now time.Time) {
	switch age := now.Sub(expected.turned); {
	case age >= 2*expected.lifetime:
		expected.recent, expected.older = New(), New()
	case age >= expected.lifetime:
		expected.recent, expected.older = New(), expected.recent
	default:
		return
	}
	expected.turned = now
}
