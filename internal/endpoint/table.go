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
const maxLoadReportDelay = 250 * time.Millisecond

// loadReportTTL is how long a load report is considered valid.
const loadReportTTL = 2 * time.Second

// Table holds all backends of the active configuration snapshot. It is safe for
// concurrent use.
type Table struct {
	mutex     sync.Mutex
	endpoints map[string]*entry
	pools     map[string][]*entry
}

type entry struct {
	backend        configuration.Backend
	record         Record
	drained        bool
	load           engineapi.Load
	loadAt         time.Time
	inFlight       int
	unreported     []unreportedAttempt
	breaker        retry.Breaker
	incarnation    context.Context
	endIncarnation context.CancelFunc
}

// unreportedAttempt is an attempt that the load report may not include yet.
type unreportedAttempt struct {
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
	return &Table{endpoints: map[string]*entry{}, pools: map[string][]*entry{}}
}

// Configure applies a new snapshot. Backends that remain keep their state.
func (table *Table) Configure(snapshot *configuration.Snapshot) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	next := map[string]*entry{}
	table.pools = map[string][]*entry{}
	ensure := func(backend configuration.Backend) *entry {
		e, found := table.endpoints[backend.Name]
		if !found || e.backend.Address != backend.Address {
			e = &entry{record: Record{Name: backend.Name}}
			e.startIncarnation()
		}
		e.backend = backend
		e.drained = snapshot.Draining(backend.Name)
		next[backend.Name] = e
		return e
	}
	for _, pool := range snapshot.Declaration.Pools {
		for _, engine := range pool.Engines {
			table.pools[pool.Name] = append(table.pools[pool.Name], ensure(engine))
		}
	}
	for _, service := range snapshot.Declaration.Services {
		for _, server := range service.Servers {
			table.pools[service.Name] = append(table.pools[service.Name], ensure(server))
		}
	}
	for name, removed := range table.endpoints {
		if next[name] == nil {
			removed.endIncarnation()
		}
	}
	table.endpoints = next
}

func (entry *entry) startIncarnation() {
	entry.incarnation, entry.endIncarnation = context.WithCancel(context.Background())
}

// Record returns the current record of a backend.
func (table *Table) Record(name string) (Record, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	e, found := table.endpoints[name]
	if !found {
		return Record{}, false
	}
	return e.record, true
}

// Merge applies a record of a higher version. It cancels the context of an
// incarnation that has been replaced or has gone down, which aborts its streams.
func (table *Table) Merge(record Record) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	e, found := table.endpoints[record.Name]
	if !found || record.Version <= e.record.Version {
		return
	}
	replaced := e.record.Epoch != "" && e.record.Epoch != record.Epoch
	if replaced || (record.Down && !e.record.Down) {
		e.endIncarnation()
		e.startIncarnation()
	}
	if replaced {
		e.load, e.unreported, e.breaker = engineapi.Load{}, nil, retry.Breaker{}
	}
	e.record = record
}

// ReportLoad applies a load report.
func (table *Table) ReportLoad(name string, load engineapi.Load, at time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	e, found := table.endpoints[name]
	if !found || at.Before(e.loadAt) {
		return
	}
	e.load, e.loadAt = load, at
	remaining := e.unreported[:0]
	for _, item := range e.unreported {
		if item.at.After(at.Add(-maxLoadReportDelay)) {
			remaining = append(remaining, item)
		}
	}
	e.unreported = remaining
}

// Begin counts an attempt as in flight.
func (table *Table) Begin(name string, tokens int, now time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if e, found := table.endpoints[name]; found {
		e.inFlight++
		e.unreported = append(e.unreported, unreportedAttempt{at: now, tokens: tokens})
		e.breaker.Sent(now)
	}
}

// End records the end of an attempt.
func (table *Table) End(name string, failed bool, now time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	e, found := table.endpoints[name]
	if !found {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if failed {
		e.breaker.Failed(retry.DefaultBreaker, now)
	} else {
		e.breaker.Succeeded()
	}
}

// IncarnationContext returns a context that is canceled when the current
// incarnation of a backend ends.
func (table *Table) IncarnationContext(name string) context.Context {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if e, found := table.endpoints[name]; found {
		return e.incarnation
	}
	return context.Background()
}

// Candidates appends the backends of a pool or service as routing candidates for a
// model version. Plain services pass an empty model.
func (table *Table) Candidates(candidates []routing.Candidate, pool, model, version string, now time.Time) []routing.Candidate {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	mean := meanLoad(table.pools[pool], now)
	for _, e := range table.pools[pool] {
		loaded, held := e.record.Weights[model]
		load := e.load
		if now.Sub(e.loadAt) > loadReportTTL {
			load = mean
		}
		tokens := load.PrefillTokens
		for _, item := range e.unreported {
			tokens += item.tokens
		}
		candidates = append(candidates, routing.Candidate{
			Endpoint:     e.backend.Name,
			Address:      e.backend.Address,
			Zone:         e.backend.Zone,
			Pool:         pool,
			Epoch:        e.record.Epoch,
			Ready:        model == "" || (held && loaded == version),
			Loading:      e.record.Loading,
			Leaving:      e.record.Leaving || e.drained,
			Down:         e.record.Down,
			BreakerOpen:  !e.breaker.Allows(now),
			InFlight:     e.inFlight,
			Running:      max(load.Running+load.Waiting, e.inFlight),
			QueuedTokens: tokens,
		})
	}
	return candidates
}

// Address returns the address of a backend, or "" if it is unknown.
func (table *Table) Address(name string) string {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if e, found := table.endpoints[name]; found {
		return e.backend.Address
	}
	return ""
}

// CountUsable returns the number of backends of a pool that accept new work.
func (table *Table) CountUsable(pool string) int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	count := 0
	for _, e := range table.pools[pool] {
		if !e.record.Down && !e.record.Leaving && !e.drained {
			count++
		}
	}
	return count
}

// meanLoad returns the mean of the valid load reports of a pool. It is assumed for
// engines without a valid report: were they assumed idle, every node without a
// report would send its requests to them.
func meanLoad(pool []*entry, now time.Time) engineapi.Load {
	mean, count := engineapi.Load{}, 0
	for _, e := range pool {
		if now.Sub(e.loadAt) > loadReportTTL {
			continue
		}
		count++
		mean.Running += e.load.Running + e.load.Waiting
		mean.PrefillTokens += e.load.PrefillTokens
	}
	if count > 0 {
		mean.Running /= count
		mean.PrefillTokens /= count
	}
	return mean
}

// Views returns all backends.
func (table *Table) Views() []View {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	views := make([]View, 0, len(table.endpoints))
	for _, e := range table.endpoints {
		views = append(views, View{Backend: e.backend, Record: e.record, Drained: e.drained, Load: e.load, InFlight: e.inFlight})
	}
	return views
}
