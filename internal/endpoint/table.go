package endpoint

import (
	"context"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// loadLag is how far a load report is behind the engine at the most: attempts
// sent that long before a report arrived may not be in it yet.
const loadLag = 250 * time.Millisecond

// loadLife is how long a load report says something about its engine.
const loadLife = 2 * time.Second

// Table holds all back ends of the snapshot in force. It is safe for
// concurrent use.
type Table struct {
	mutex     sync.Mutex
	endpoints map[string]*state
	pools     map[string][]*state
}

type state struct {
	backend  configuration.Backend
	record   Record
	drained  bool
	load     engineapi.Load
	loadAt   time.Time
	inFlight int
	sent     []sending
	breaker  retry.Breaker
	alive    context.Context
	lost     context.CancelFunc
}

// sending is an attempt that the load report may not show yet.
type sending struct {
	at     time.Time
	tokens int
}

// View is what operators see of a back end.
type View struct {
	Backend  configuration.Backend
	Record   Record
	Drained  bool
	Load     engineapi.Load
	InFlight int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{endpoints: map[string]*state{}, pools: map[string][]*state{}}
}

// Configure follows a new snapshot. Back ends that stay keep their state.
func (table *Table) Configure(snapshot *configuration.Snapshot) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	next := map[string]*state{}
	table.pools = map[string][]*state{}
	adopt := func(backend configuration.Backend) *state {
		known, found := table.endpoints[backend.Name]
		if !found || known.backend.Address != backend.Address {
			known = &state{record: Record{Name: backend.Name}}
			known.revive()
		}
		known.backend = backend
		known.drained = snapshot.Draining(backend.Name)
		next[backend.Name] = known
		return known
	}
	for _, pool := range snapshot.Declaration.Pools {
		for _, engine := range pool.Engines {
			table.pools[pool.Name] = append(table.pools[pool.Name], adopt(engine))
		}
	}
	for _, service := range snapshot.Declaration.Services {
		for _, server := range service.Servers {
			table.pools[service.Name] = append(table.pools[service.Name], adopt(server))
		}
	}
	for name, gone := range table.endpoints {
		if next[name] == nil {
			gone.lost()
		}
	}
	table.endpoints = next
}

func (state *state) revive() {
	state.alive, state.lost = context.WithCancel(context.Background())
}

// Record returns what is known of a back end.
func (table *Table) Record(name string) (Record, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	known, found := table.endpoints[name]
	if !found {
		return Record{}, false
	}
	return known.record, true
}

// Merge takes a record of a higher version. Streams on an incarnation that is
// gone are told so.
func (table *Table) Merge(record Record) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	known, found := table.endpoints[record.Name]
	if !found || record.Version <= known.record.Version {
		return
	}
	replaced := known.record.Epoch != "" && known.record.Epoch != record.Epoch
	if replaced || (record.Down && !known.record.Down) {
		known.lost()
		known.revive()
	}
	if replaced {
		known.load, known.sent, known.breaker = engineapi.Load{}, nil, retry.Breaker{}
	}
	known.record = record
}

// Report takes a load report.
func (table *Table) Report(name string, load engineapi.Load, at time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	known, found := table.endpoints[name]
	if !found || at.Before(known.loadAt) {
		return
	}
	known.load, known.loadAt = load, at
	kept := known.sent[:0]
	for _, item := range known.sent {
		if item.at.After(at.Add(-loadLag)) {
			kept = append(kept, item)
		}
	}
	known.sent = kept
}

// Begin counts an attempt in flight.
func (table *Table) Begin(name string, tokens int, now time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if known, found := table.endpoints[name]; found {
		known.inFlight++
		known.sent = append(known.sent, sending{at: now, tokens: tokens})
		known.breaker.Sent(now)
	}
}

// End counts an attempt's end.
func (table *Table) End(name string, failed bool, now time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	known, found := table.endpoints[name]
	if !found {
		return
	}
	known.inFlight = max(0, known.inFlight-1)
	if failed {
		known.breaker.Failed(retry.DefaultBreaker, now)
	} else {
		known.breaker.Succeeded()
	}
}

// Alive returns a context that ends when the incarnation in force now is gone.
func (table *Table) Alive(name string) context.Context {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if known, found := table.endpoints[name]; found {
		return known.alive
	}
	return context.Background()
}

// Candidates appends the back ends of a pool or service, as routing sees them
// for a model at a version. Plain services pass an empty model.
func (table *Table) Candidates(candidates []routing.Candidate, pool, model, version string, now time.Time) []routing.Candidate {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	typical := typicalLoad(table.pools[pool], now)
	for _, known := range table.pools[pool] {
		loaded, held := known.record.Weights[model]
		load := known.load
		if now.Sub(known.loadAt) > loadLife {
			load = typical
		}
		tokens := load.PrefillTokens
		for _, item := range known.sent {
			tokens += item.tokens
		}
		candidates = append(candidates, routing.Candidate{
			Endpoint:     known.backend.Name,
			Address:      known.backend.Address,
			Zone:         known.backend.Zone,
			Pool:         pool,
			Epoch:        known.record.Epoch,
			Ready:        model == "" || (held && loaded == version),
			Loading:      known.record.Loading,
			Leaving:      known.record.Leaving || known.drained,
			Down:         known.record.Down,
			BreakerOpen:  !known.breaker.Allows(now),
			InFlight:     known.inFlight,
			Running:      max(load.Running+load.Waiting, known.inFlight),
			QueuedTokens: tokens,
		})
	}
	return candidates
}

// Address returns the address of a back end, or "".
func (table *Table) Address(name string) string {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if known, found := table.endpoints[name]; found {
		return known.backend.Address
	}
	return ""
}

// Usable counts the back ends of a pool that take new work.
func (table *Table) Usable(pool string) int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	count := 0
	for _, known := range table.pools[pool] {
		if !known.record.Down && !known.record.Leaving && !known.drained {
			count++
		}
	}
	return count
}

// typicalLoad is the mean of the loads heard of lately. An engine that nothing
// was heard of counts as typical: as idle it would draw the requests of every
// node that knows as little.
func typicalLoad(pool []*state, now time.Time) engineapi.Load {
	typical, heard := engineapi.Load{}, 0
	for _, known := range pool {
		if now.Sub(known.loadAt) > loadLife {
			continue
		}
		heard++
		typical.Running += known.load.Running + known.load.Waiting
		typical.PrefillTokens += known.load.PrefillTokens
	}
	if heard > 0 {
		typical.Running /= heard
		typical.PrefillTokens /= heard
	}
	return typical
}

// Views lists all back ends.
func (table *Table) Views() []View {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	views := make([]View, 0, len(table.endpoints))
	for _, known := range table.endpoints {
		views = append(views, View{Backend: known.backend, Record: known.record, Drained: known.drained, Load: known.load, InFlight: known.inFlight})
	}
	return views
}
