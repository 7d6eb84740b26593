package prefixindex

import (
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// SpeculativeIndex records the blocks of prompts that a node recently sent to
// engines, which will hold them before their cache events report it. Entries
// expire after one to two lifetimes. It is safe for concurrent use.
type SpeculativeIndex struct {
	mutex     sync.Mutex
	lifetime  time.Duration
	rotatedAt time.Time
	current   *Index
	previous  *Index
}

// NewSpeculativeIndex returns an empty index.
func NewSpeculativeIndex(lifetime time.Duration) *SpeculativeIndex {
	return &SpeculativeIndex{lifetime: lifetime, current: New(), previous: New()}
}

// Add records that a prompt was sent to the holder.
func (index *SpeculativeIndex) Add(now time.Time, holder Holder, chain []prefix.Hash) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	index.rotate(now)
	index.current.Apply(Update{Holder: holder, Stored: chain})
}

// Lookup appends the depths to which holders are expected to have the chain.
func (index *SpeculativeIndex) Lookup(now time.Time, depths []Depth, chain []prefix.Hash) []Depth {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	index.rotate(now)
	depths = index.current.Lookup(depths, chain)
	return index.previous.Lookup(depths, chain)
}

func (index *SpeculativeIndex) rotate(now time.Time) {
	switch age := now.Sub(index.rotatedAt); {
	case age >= 2*index.lifetime:
		index.current, index.previous = New(), New()
	case age >= index.lifetime:
		index.current, index.previous = New(), index.current
	default:
		return
	}
	index.rotatedAt = now
}
