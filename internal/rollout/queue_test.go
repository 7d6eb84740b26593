package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/property"
)

// queueRollout is a rollout to servers at which requests wait, in virtual time.
type queueRollout struct {
	machine *Machine
	targets Targets
	servers []backend.Server
	// drainTimes holds how long the queue of each server takes to drain once no requests arrive.
	drainTimes []time.Duration
	loadTime   time.Duration
	// reportDelay is how late the queues are known. ignoreQueues withholds them from the machine.
	reportDelay  time.Duration
	ignoreQueues bool

	// plannedAt and orderedAt are when each server was planned to load and ordered to.
	plannedAt, orderedAt []time.Time
	// refused counts the servers that refused queued requests, and peak the most that loaded at the
	// same time. finished is when the last one finished.
	refused, peak int
	finished      time.Time
}

const queueStep = 50 * time.Millisecond

func newQueueRollout(start time.Time, drainTimes []time.Duration, loadTime time.Duration) *queueRollout {
	r := &queueRollout{
		machine: NewMachine(), drainTimes: drainTimes, loadTime: loadTime, reportDelay: 300 * time.Millisecond,
		plannedAt: make([]time.Time, len(drainTimes)), orderedAt: make([]time.Time, len(drainTimes)),
		targets: Targets{
			FinishWithin: 6400 * time.Millisecond, OrderWithin: 7300 * time.Millisecond, PropagationDelay: 580 * time.Millisecond,
			Weights: map[string]catalog.Releases{model: {{Version: 1}, {Version: 2, UnreleasedAt: start}}},
		},
	}
	r.machine.loadTime = loadTime
	for i := range drainTimes {
		name := fmt.Sprint("i-", i)
		r.servers = append(r.servers, backend.Server{Instance: name, Service: "s", Zone: fmt.Sprint("z", i%3), Slots: 16, Versions: map[string]int64{model: 1}})
		r.machine.Inspected(start, name, Report{Versions: r.servers[i].Versions})
	}
	return r
}

// queued reports whether requests wait at a server: until it is known to be about to load, and for
// its drain time after that.
func (r *queueRollout) queued(i int, at time.Time) bool {
	return r.plannedAt[i].IsZero() || at.Before(r.plannedAt[i].Add(r.targets.PropagationDelay+r.drainTimes[i]))
}

// uses returns the work at all servers as known at a time.
func (r *queueRollout) uses(now time.Time) map[string]backend.Use {
	uses := map[string]backend.Use{}
	for i := range r.servers {
		if !r.ignoreQueues && r.queued(i, now.Add(-r.reportDelay)) {
			uses[r.servers[i].Instance] = backend.Use{Running: 20, QueuedTokens: 17_000}
		}
	}
	return uses
}

// run executes the rollout until all servers have loaded or the time is over.
func (r *queueRollout) run(start time.Time, limit time.Duration) {
	for now := start; now.Before(start.Add(limit)) && r.finished.IsZero(); now = now.Add(queueStep) {
		loading, done := 0, 0
		for i := range r.servers {
			switch {
			case r.orderedAt[i].IsZero():
			case now.Sub(r.orderedAt[i]) < r.loadTime:
				loading++
			default:
				r.servers[i].Versions = map[string]int64{model: 2}
				done++
			}
		}
		r.peak = max(r.peak, loading)
		if done == len(r.servers) {
			r.finished = now
		}
		r.targets.Uses = r.uses(now)
		for _, action := range r.machine.Step(now, r.targets, r.servers) {
			if order, ok := action.(Order); ok {
				r.order(order, now)
			}
		}
		for _, load := range r.machine.Loads().Loading {
			if i := r.index(load.Instance); r.plannedAt[i].IsZero() {
				r.plannedAt[i] = now
			}
		}
	}
}

func (r *queueRollout) order(order Order, now time.Time) {
	i := r.index(order.Server.Instance)
	if !r.orderedAt[i].IsZero() {
		return
	}
	if r.orderedAt[i] = now; r.queued(i, now) {
		r.refused++
	}
	r.machine.OrderAnswered(now, order.Server.Instance, ResultAccepted)
}

func (r *queueRollout) index(instance string) int {
	i := 0
	_, _ = fmt.Sscanf(instance, "i-%d", &i)
	return i
}

// Load: 72 engines with queues that take 0 to 500 ms to drain, loads of 0.57 s, and
// queues that are known 300 ms late. Guards against orders that make engines refuse the requests that
// wait there, and against a rollout that takes longer or loads more servers at a time for it.
func TestOrdersWaitForQueues(t *testing.T) {
	start := time.Unix(1000, 0)
	run := func(ignoreQueues bool) *queueRollout {
		drainTimes := make([]time.Duration, 72)
		for i := range drainTimes {
			drainTimes[i] = time.Duration(i*37%11) * 50 * time.Millisecond
		}
		r := newQueueRollout(start, drainTimes, 570*time.Millisecond)
		r.ignoreQueues = ignoreQueues
		r.run(start, 20*time.Second)
		return r
	}
	before, after := run(true), run(false)
	t.Logf("servers that refuse %d -> %d, peak %d -> %d, finished %v -> %v", before.refused, after.refused, before.peak, after.peak, before.finished.Sub(start), after.finished.Sub(start))
	require.Greater(t, before.refused, 50, "without waiting for queues")
	require.LessOrEqual(t, after.refused, before.refused/10)
	require.LessOrEqual(t, after.peak, before.peak)
	require.Less(t, after.finished.Sub(start), after.targets.FinishWithin)
}

// Guards against an order that a busy server, or a report that is never renewed, holds back for good:
// it waits at most for as long as a load takes.
func TestQueueThatNeverDrainsDelaysOrderByOneLoad(t *testing.T) {
	start := time.Unix(1000, 0)
	r := newQueueRollout(start, []time.Duration{time.Hour}, time.Second)
	r.run(start, 10*time.Second)
	require.WithinRange(t, r.orderedAt[0], start.Add(r.targets.PropagationDelay+r.loadTime), start.Add(r.targets.PropagationDelay+r.loadTime+queueStep))
}

// Guards against missed deadlines for weights: whatever the queues, every order is sent by its
// deadline, and no wait exceeds the time of a load.
func TestQueuesNeverDelayOrdersBeyondDeadline(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		drainTimes := make([]time.Duration, rapid.IntRange(1, 72).Draw(t, "servers"))
		for i := range drainTimes {
			drainTimes[i] = time.Duration(rapid.IntRange(0, 9000).Draw(t, "drain")) * time.Millisecond
		}
		r := newQueueRollout(start, drainTimes, time.Duration(rapid.IntRange(300, 1500).Draw(t, "load"))*time.Millisecond)
		r.run(start, 20*time.Second)
		for i := range r.servers {
			require.False(t, r.orderedAt[i].IsZero())
			require.LessOrEqual(t, r.orderedAt[i].Sub(start), r.targets.OrderWithin+queueStep)
		}
	})
}
