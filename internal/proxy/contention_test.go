package proxy

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// burstSize is the number of requests that are placed at the same time.
const burstSize = 60

// requestKinds are constructors of placers by kind of request: with a prompt, or plain. Servers for
// plain requests have 8 slots.
var requestKinds = map[string]func(servers int) *placer{
	"prompt": func(servers int) *placer { return newTestPlacer(500, servers, 0) },
	"plain": func(servers int) *placer {
		p := newTestPlacer(500, 0, 0)
		var list []backend.Server
		for i := range servers {
			list = append(list, backend.Server{Instance: fmt.Sprint("i-", i), Service: "s", Slots: 8})
		}
		p.proxy.set.Update(list, time.Now())
		p.admitted.request.Prompt = nil
		return p
	},
}

// withRequestID returns a placer for a copy of the request with another ID.
func (p *placer) withRequestID(number int) *placer {
	other, request := *p.admitted, *p.admitted.request
	request.ID = fmt.Sprint("request-", number)
	other.request = &request
	return newPlacer(p.proxy, &other)
}

// placeFromSameSnapshot places a burst of requests that all select a server before the first of
// them begins.
func (p *placer) placeFromSameSnapshot() (placed []*placement, refused int) {
	now := time.Now()
	placers, selections := make([]*placer, burstSize), make([]*selection, burstSize)
	for i := range placers {
		placers[i] = p.withRequestID(i)
		query := placers[i].query(now)
		query.Limit = subsetSize
		c := &selection{scheduler: routing.NewScheduler(placers[i].scorers()...), request: placers[i].routingRequest(), strict: true}
		c.candidates = placers[i].loadCandidates(query, nil, now)
		if placers[i].selectCandidate(c, true) {
			selections[i] = c
		}
	}
	for i, c := range selections {
		if c != nil {
			if began := placers[i].begin(c, placers[i].query(now), now); began != nil {
				placed = append(placed, began)
				continue
			}
		}
		if again, unplaced := placers[i].Place(nil); unplaced == nil {
			placed = append(placed, again.(*placement))
		} else {
			refused++
		}
	}
	return placed, refused
}

// placeConcurrently places each request of a burst in its own goroutine.
func (p *placer) placeConcurrently() (placed []*placement, refused int) {
	var mutex sync.Mutex
	var ready, done sync.WaitGroup
	start := make(chan struct{})
	for i := range burstSize {
		ready.Add(1)
		done.Go(func() {
			sibling := p.withRequestID(i)
			ready.Done()
			<-start
			began, unplaced := sibling.Place(nil)
			mutex.Lock()
			defer mutex.Unlock()
			if unplaced != nil {
				refused++
				return
			}
			placed = append(placed, began.(*placement))
		})
	}
	ready.Wait()
	close(start)
	done.Wait()
	return placed, refused
}

// burstModes are the ways in which a burst of requests is placed.
var burstModes = map[string]func(p *placer) ([]*placement, int){
	"same snapshot":   (*placer).placeFromSameSnapshot,
	"busy processors": (*placer).placeConcurrently,
}

// keepProcessorsBusy runs three spinning goroutines per processor until the test ends.
func keepProcessorsBusy(t *testing.T) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	for range 3 * runtime.GOMAXPROCS(0) {
		go func() {
			for count := 0; ; count++ {
				if count%1024 == 0 {
					select {
					case <-done:
						return
					default:
					}
				}
			}
		}()
	}
}

// forEachBurst runs a check for each kind of request and each burst mode.
func forEachBurst(t *testing.T, check func(t *testing.T, newPlacer func(servers int) *placer, burst func(p *placer) ([]*placement, int))) {
	for kind, newPlacer := range requestKinds {
		for mode, burst := range burstModes {
			t.Run(kind+", "+mode, func(t *testing.T) {
				if mode == "busy processors" {
					keepProcessorsBusy(t)
				}
				for range 5 {
					check(t, newPlacer, burst)
				}
			})
		}
	}
}

// Guards against a thundering herd on a server whose backoff has ended. Of many concurrent requests
// that see it available, one probes it. The others go to another server, or are refused if there is
// none.
func TestBurstSendsOneProbeAfterBackoff(t *testing.T) {
	forEachBurst(t, func(t *testing.T, newPlacer func(int) *placer, burst func(*placer) ([]*placement, int)) {
		for servers := range 3 {
			p := newPlacer(servers + 1)
			for i := range servers + 1 {
				p.proxy.set.Notice(fmt.Sprint("i-", i), backend.Notice{RetryAfter: time.Millisecond}, time.Now().Add(-time.Minute))
			}
			placed, refused := burst(p)
			require.Len(t, placed, servers+1, "one per server")
			require.Equal(t, 60, len(placed)+refused)
		}
	})
}

// Guards against a thundering herd on a failed server whose circuit breaker admits a probe while
// another server is healthy.
func TestBurstSendsAtMostOneProbeToFailedServer(t *testing.T) {
	forEachBurst(t, func(t *testing.T, newPlacer func(int) *placer, burst func(*placer) ([]*placement, int)) {
		p := newPlacer(2)
		ago := time.Now().Add(-time.Minute)
		all := p.loadCandidates(p.query(time.Now()), nil, time.Now())
		for _, c := range all {
			if c.Endpoint == "i-0" {
				p.failAttempt(c, ago)
			}
		}
		placed, refused := burst(p)
		require.Zero(t, refused)
		probes := 0
		for _, at := range placed {
			if at.Server() == "i-0" {
				probes++
			}
		}
		require.LessOrEqual(t, probes, 1)
	})
}

// Guards against a thundering herd when all servers have failed. Each server is probed by one
// request, and the others are refused instead of failing too. Once a probe succeeds, all requests
// are placed.
func TestBurstProbesEachServerOnceWhenAllFailed(t *testing.T) {
	forEachBurst(t, func(t *testing.T, newPlacer func(int) *placer, burst func(*placer) ([]*placement, int)) {
		p := newPlacer(2)
		for _, c := range p.loadCandidates(p.query(time.Now()), nil, time.Now()) {
			p.failAttempt(c, time.Now())
		}
		placed, refused := burst(p)
		require.Len(t, placed, 2)
		require.Equal(t, 60, len(placed)+refused)
		require.NotEqual(t, placed[0].Server(), placed[1].Server())
		placed[0].End(exchange.ResultServed)
		placed, refused = burst(p)
		require.Len(t, placed, 60)
		require.Zero(t, refused)
	})
}

// Guards against requests that fail although a server only paused for a moment: those of a burst left it together, no other
// server could take them, and its circuit breaker let one of them return. Requests that were not there do not follow.
func TestBurstReturnsToSilentServer(t *testing.T) {
	const burst = 6
	p := newTestPlacer(10, 2, 0)
	sent := time.Now().Add(-time.Second)
	placers, attempts := make([]*placer, burst), make([]*placement, burst)
	for i := range placers {
		placers[i] = p.withRequestID(i)
		attempts[i] = placers[i].silentPlacement("i-0", sent)
	}
	for _, attempt := range attempts {
		attempt.End(exchange.ResultSilent)
	}
	served := 0
	for _, placer := range placers {
		placer.Readmit([]string{"i-0"})
		if placed, _ := placer.Place([]string{"i-1"}); placed != nil {
			require.Equal(t, "i-0", placed.Server())
			served++
		}
	}
	require.Equal(t, burst, served)
	_, unplaced := p.withRequestID(burst).Place([]string{"i-1"})
	require.NotNil(t, unplaced, "a probe is in flight")
}

// failAttempt begins an attempt on a candidate and ends it as unreached.
func (p *placer) failAttempt(c routing.Candidate, at time.Time) {
	proposed := backend.Placement{Query: p.query(at), Chosen: c, StillValid: func(*routing.Candidate) bool { return true }}
	p.proxy.set.Begin(proposed, at).End(exchange.ResultUnreached, at)
}

// Guards against a queue on one server while others are idle: requests that are placed
// concurrently are spread as evenly as sequential ones.
func TestBurstSpreadsLikeSequentialRequests(t *testing.T) {
	forEachBurst(t, func(t *testing.T, newPlacer func(int) *placer, burst func(*placer) ([]*placement, int)) {
		longest := func(placed []*placement) int {
			most, at := 0, map[string]int{}
			for _, p := range placed {
				at[p.Server()]++
				most = max(most, at[p.Server()])
			}
			return most
		}
		p := newPlacer(12)
		p.admitted.route = &catalog.Route{TargetLatency: time.Minute}
		p.admitted.request.Arrived = time.Now()
		var sequential []*placement
		for i := range 60 {
			placed, unplaced := p.withRequestID(i).Place(nil)
			require.Nil(t, unplaced)
			sequential = append(sequential, placed.(*placement))
		}
		for _, placed := range sequential {
			placed.attempt.End(exchange.ResultNeutral, time.Now())
		}
		concurrent, refused := burst(p)
		require.Zero(t, refused)
		require.LessOrEqual(t, longest(concurrent), longest(sequential)+1)
	})
}
