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
	hotCapacity = 512
	hotDecay    = 10 * time.Second
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
type hotCounter struct {
	mutex   sync.Mutex
	counts  map[prefix.Hash]*HotPrefix
	decayed time.Time
}

func newHotCounter() *hotCounter {
	return &hotCounter{counts: map[prefix.Hash]*HotPrefix{}, decayed: boottime.Now()}
}

func (counter *hotCounter) add(root prefix.Hash, tenant, model string, now time.Time) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.decay(now)
	known, found := counter.counts[root]
	if !found {
		if len(counter.counts) >= hotCapacity {
			return
		}
		known = &HotPrefix{Prefix: fmt.Sprintf("%016x", uint64(root)), Tenant: tenant, Model: model}
		counter.counts[root] = known
	}
	known.Requests++
}

func (counter *hotCounter) decay(now time.Time) {
	for now.Sub(counter.decayed) >= hotDecay {
		counter.decayed = counter.decayed.Add(hotDecay)
		for root, known := range counter.counts {
			known.Requests /= 2
			if known.Requests < 0.5 {
				delete(counter.counts, root)
			}
		}
	}
}

func (counter *hotCounter) top(limit int) []HotPrefix {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.decay(boottime.Now())
	list := make([]HotPrefix, 0, len(counter.counts))
	for _, known := range counter.counts {
		list = append(list, *known)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Requests != list[j].Requests {
			return list[i].Requests > list[j].Requests
		}
		return list[i].Prefix < list[j].Prefix
	})
	return list[:min(limit, len(list))]
}
