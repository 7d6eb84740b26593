package node

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

const (
	maxHotPrefixes = 512
	hotHalfLife    = 10 * time.Second
)

// HotPrefix is a first prompt block that many requests share.
type HotPrefix struct {
	// Prefix is the hash of the first block, which does not reveal its text.
	Prefix string
	Tenant string
	Model  string
	// Requests is a request count with a half-life of ten seconds.
	Requests float64
}

// hotPrefixCounter counts first blocks in bounded memory.
type hotPrefixCounter struct {
	mutex     sync.Mutex
	entries   map[prefix.Hash]*HotPrefix
	lastDecay time.Time
}

func newHotPrefixCounter() *hotPrefixCounter {
	return &hotPrefixCounter{entries: map[prefix.Hash]*HotPrefix{}, lastDecay: boottime.Now()}
}

func (counter *hotPrefixCounter) add(root prefix.Hash, tenant, model string, now time.Time) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.decay(now)
	entry, found := counter.entries[root]
	if !found {
		if len(counter.entries) >= maxHotPrefixes {
			return
		}
		entry = &HotPrefix{Prefix: fmt.Sprintf("%016x", uint64(root)), Tenant: tenant, Model: model}
		counter.entries[root] = entry
	}
	entry.Requests++
}

func (counter *hotPrefixCounter) decay(now time.Time) {
	for now.Sub(counter.lastDecay) >= hotHalfLife {
		counter.lastDecay = counter.lastDecay.Add(hotHalfLife)
		for root, entry := range counter.entries {
			entry.Requests /= 2
			if entry.Requests < 0.5 {
				delete(counter.entries, root)
			}
		}
	}
}

func (counter *hotPrefixCounter) top(limit int) []HotPrefix {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.decay(boottime.Now())
	list := make([]HotPrefix, 0, len(counter.entries))
	for _, entry := range counter.entries {
		list = append(list, *entry)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Requests != list[j].Requests {
			return list[i].Requests > list[j].Requests
		}
		return list[i].Prefix < list[j].Prefix
	})
	return list[:min(limit, len(list))]
}
