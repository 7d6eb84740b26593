package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// retryFleetNodes, retryFleetServers and retryExtra are those of a small deployment with a plain service.
	retryFleetNodes   = 8
	retryFleetServers = 4
	retryExtra        = 56
	// retryInterval is the time between two requests at one node: all nodes together get 35 a second.
	retryInterval = 230 * time.Millisecond
	// rejectedPercent is the percentage of the requests that each server rejects.
	rejectedPercent = 85
	// maxBudgetShare is the part of the fleet's retry budget that may be spent.
	maxBudgetShare = 0.9
)

// retryFleet is a fleet in front of servers that reject most requests.
type retryFleet struct {
	*fleetFixture
	mutex sync.Mutex
	// sent holds when callers sent requests, and stop ends them.
	sent []time.Time
	stop atomic.Bool
	done sync.WaitGroup
}

func newRetryFleet(t *testing.T) *retryFleet {
	f := &retryFleet{fleetFixture: newFleet(t, 0, 0)}
	for i := range retryFleetServers {
		f.startMachine(&standin.Machine{Name: fmt.Sprint("p", i), Service: "plain", Handler: rejectMost()})
	}
	f.startNodes()
	for _, n := range f.nodes {
		f.awaitReady(n)
		n.waitUntil(func() bool { return n.process.retryBudgets.Nodes() == retryFleetNodes })
	}
	for i := range retryFleetNodes {
		f.done.Go(func() { f.send(i) })
	}
	t.Cleanup(func() {
		f.stop.Store(true)
		f.done.Wait()
	})
	return f
}

// rejectMost rejects rejectedPercent of the requests, evenly spread.
func rejectMost() standin.Handler {
	received := atomic.Int64{}
	return func(s *standin.Server, w http.ResponseWriter, r *http.Request) {
		n := received.Add(1)
		if n*rejectedPercent/100 != (n-1)*rejectedPercent/100 {
			standin.Reject(s, w, r)
			return
		}
		standin.Respond(http.StatusOK, "done")(s, w, r)
	}
}

// startNodes starts nodes in place of those of the same names.
func (f *retryFleet) startNodes() {
	nodes := []*fixture{}
	for i := range retryFleetNodes {
		nodes = append(nodes, f.addNamedNode(fmt.Sprint("node-", i), func(config *settings.Proxy) { config.Bounds.RetryExtra = retryExtra }))
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes = nodes
}

// restartNodes kills all nodes and starts them again.
func (f *retryFleet) restartNodes() {
	for _, n := range f.nodes {
		n.crash()
	}
	f.running = 0
	f.startNodes()
}

// send sends requests to a node, or to the one that has replaced it.
func (f *retryFleet) send(node int) {
	for !f.stop.Load() {
		f.mutex.Lock()
		n := f.nodes[node]
		f.sent = append(f.sent, time.Now())
		f.mutex.Unlock()
		f.done.Go(func() {
			n.send(http.MethodPost, "/again/y", "body", func(r *http.Request) { r.Header.Set(standin.HeaderRequestID, uuid.NewString()) })
		})
		time.Sleep(retryInterval)
	}
}

// refuseWrites makes the store refuse all writes and grants and renewals of leases, and serve reads.
func (f *retryFleet) refuseWrites() {
	f.store.SetFault(func(request *http.Request) standin.Fault {
		if standin.IsWrite(request) {
			return standin.FaultRateLimited
		}
		return standin.FaultNone
	})
}

// requireWithinBudget checks the retries that have reached the servers against the fleet's budget, in each window.
func (f *retryFleet) requireWithinBudget(t *testing.T) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	retried := f.retries()
	bounds := f.nodes[0].process.settings.Bounds
	for _, end := range retried {
		requests := 0
		for _, back := range []time.Duration{0, bounds.RetryWindow / 2, bounds.RetryWindow} {
			requests = max(requests, countBetween(f.sent, end.Add(-back-bounds.RetryWindow), end.Add(-back)))
		}
		allowed := bounds.RetryRatio*float64(requests) + bounds.RetryExtra
		retries := countBetween(retried, end.Add(-bounds.RetryWindow), end)
		require.LessOrEqual(t, float64(retries), maxBudgetShare*allowed, "retries within a window with %d requests", requests)
	}
}

// retries returns when requests reached servers that had reached one before, in order.
func (f *retryFleet) retries() []time.Time {
	arrivals := []standin.Arrival{}
	for _, m := range f.machines {
		for _, s := range m.Incarnations() {
			arrivals = append(append(arrivals, s.Arrivals()...), s.Misdirected()...)
		}
	}
	slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	seen, times := map[string]bool{}, []time.Time{}
	for _, a := range arrivals {
		id := a.Header.Get(standin.HeaderRequestID)
		if seen[id] {
			times = append(times, a.At)
		}
		seen[id] = true
	}
	return times
}

func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

// Guards against nodes that take themselves for the whole fleet, and spend its retry budget each, because the store
// refuses their registrations.
func TestRetriesStayInBudgetWhileNodesCannotRegister(t *testing.T) {
	for name, start := range map[string]bool{"nodes start": true, "registrations lapse": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRetryFleet(t)
			f.refuseWrites()
			f.store.ExpireLeases()
			if start {
				f.restartNodes()
			}
			// The fleet's budget is counted within windows, and former sizes of the fleet expire.
			bounds := f.nodes[0].process.settings.Bounds
			for end := boottime.Now().Add(2*bounds.RetryWindow + time.Second); boottime.Now().Before(end); time.Sleep(time.Second) {
				f.requireWithinBudget(t)
			}
			f.store.SetFault(nil)
			for end := boottime.Now().Add(bounds.RetryWindow); boottime.Now().Before(end); time.Sleep(time.Second) {
				f.requireWithinBudget(t)
			}
			require.NotEmpty(t, f.retries())
			for _, n := range f.nodes {
				n.waitUntil(func() bool { return n.process.retryBudgets.Nodes() == retryFleetNodes })
			}
		})
	}
}
