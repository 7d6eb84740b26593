// Package fleet tells a node how many others there are. Each node keeps a key
// under a lease in the shared store; nobody needs to know all others exactly.
package fleet

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

const (
	// registrationLife is how long a node that died is still counted.
	registrationLife = 6 * time.Second
	// renewals a life gives a node several tries before it is forgotten.
	renewals    = 3
	callTimeout = time.Second
)

// Registry registers this node and counts the others.
type Registry struct {
	Store coordination.Store
	// Prefix is that of the nodes' keys.
	Prefix string
	Name   string
	// Resized hears of the number of nodes after each observation.
	Resized func(nodes int)

	mutex sync.Mutex
	nodes int
	// rank is this node's place among the names of all.
	rank int
	seen map[string]sighting
}

// sighting is when a key was first seen at a revision.
type sighting struct {
	revision int64
	at       time.Time
}

// Run keeps this node's key alive, writes it anew if it was lost, and takes it
// back when the context ends.
func (registry *Registry) Run(ctx context.Context) {
	ticker := time.NewTicker(registrationLife / renewals)
	defer ticker.Stop()
	lease := int64(0)
	for {
		lease = registry.renew(ctx, lease)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			registry.leave(lease)
			return
		}
	}
}

func (registry *Registry) leave(lease int64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = registry.Store.End(ctx, lease)
}

// renew returns the lease that keeps the node's key, or 0 if there is none.
func (registry *Registry) renew(ctx context.Context, lease int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		alive, err := registry.Store.Renew(ctx, lease)
		if err != nil || alive {
			return lease
		}
	}
	granted, err := registry.Store.Grant(ctx, registrationLife)
	if err != nil {
		return 0
	}
	key := registry.Prefix + registry.Name + "/" + uuid.NewString()
	if _, _, err := registry.Store.Create(ctx, key, []byte(registry.Name), granted.ID); err != nil {
		return 0
	}
	return granted.ID
}

// Observe takes what the fleet keeps in the store: it counts the nodes, and
// notes what it sees of other keys.
func (registry *Registry) Observe(entries []coordination.Entry, now time.Time) {
	names := map[string]bool{registry.Name: true}
	registry.mutex.Lock()
	seen := map[string]sighting{}
	for _, entry := range entries {
		if rest, found := strings.CutPrefix(entry.Key, registry.Prefix); found {
			name, _, _ := strings.Cut(rest, "/")
			names[name] = true
			continue
		}
		known := registry.seen[entry.Key]
		if known.revision != entry.Revision {
			known = sighting{revision: entry.Revision, at: now}
		}
		seen[entry.Key] = known
	}
	registry.seen = seen
	registry.nodes, registry.rank = len(names), 0
	for name := range names {
		if name < registry.Name {
			registry.rank++
		}
	}
	registry.mutex.Unlock()
	registry.Resized(len(names))
}

// Exists reports whether the last observation showed a key.
func (registry *Registry) Exists(key string) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	_, found := registry.seen[key]
	return found
}

// Nodes returns the number of nodes at the last observation.
func (registry *Registry) Nodes() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return max(1, registry.nodes)
}

// Rank returns this node's place among all, from 0. Nodes that see the same fleet
// have different ranks.
func (registry *Registry) Rank() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.rank
}

// FirstSeen returns when a key was first seen at the revision, or zero.
func (registry *Registry) FirstSeen(key string, revision int64) time.Time {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if known := registry.seen[key]; known.revision == revision {
		return known.at
	}
	return time.Time{}
}
