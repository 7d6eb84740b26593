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

// maxLoadReportDelay is the maximum delay of a load report: attempts sent within
// this time before a report arrived may not be included in it.
const loadLag = 250 * time.Millisecond

// loadReportTTL is how long a load report is considered valid.
const loadLife = 2 * time.Second

// Table holds all backends of the active configuration snapshot. It is safe for
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

// unreportedAttempt is an attempt that the load report may not include yet.
type sending struct {
	at     time.Time
	tokens int
}

// View is the state of a backend as shown to operators.
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

// Configure applies a new snapshot. Backends that remain keep their state.
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

// Record returns the current record of a backend.
func (table *Table) Record(name string) (Record, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	known, found := table.endpoints[name]
	if !found {
		return Record{}, false
	}
	return known.record, true
}

// Merge applies a record of a higher version. It cancels the context of an
// incarnation that has been replaced or has gone down, which aborts its streams.
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

// ReportLoad applies a load report.
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

// Begin counts an attempt as in flight.
func (table *Table) Begin(name string, tokens int, now time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if known, found := table.endpoints[name]; found {
		known.inFlight++
		known.sent = append(known.sent, sending{at: now, tokens: tokens})
		known.breaker.Sent(now)
	}
}

// End records the end of an attempt.
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

// IncarnationContext returns a context that is canceled when the current
// incarnation of a backend ends.
func (table *Table) Alive(name string) context.Context {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if known, found := table.endpoints[name]; found {
		return known.alive
	}
	return context.Background()
}

// Candidates appends the backends of a pool or service as routing candidates for a
// model version. Plain services pass an empty model.
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
			Resting:      !known.breaker.Allows(now),
			InFlight:     known.inFlight,
			Running:      max(load.Running+load.Waiting, known.inFlight),
			QueuedTokens: tokens,
		})
	}
	return candidates
}

// Address returns the address of a backend, or "" if it is unknown.
func (table *Table) Address(name string) string {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if known, found := table.endpoints[name]; found {
		return known.backend.Address
	}
	return ""
}

// CountUsable returns the number of backends of a pool that accept new work.
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

// meanLoad returns the mean of the valid load reports of a pool. It is assumed for
// engines without a valid report: were they assumed idle, every node without a
// report would send its requests to them.
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

// Views returns all backends.
func (table *Table) Views() []View {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	views := make([]View, 0, len(table.endpoints))
	for _, known := range table.endpoints {
		views = append(views, View{Backend: known.backend, Record: known.record, Drained: known.drained, Load: known.load, InFlight: known.inFlight})
	}
	return views
}
