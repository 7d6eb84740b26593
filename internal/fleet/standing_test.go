package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/lab/storestub"
)

// shareNode is a node that spends its share of a bound, in a fleet whose store may refuse its writes or reads.
type shareNode struct {
	registry *Registry
	size     *SharedSize
	outage   *coordination.Outage
	// refusesWrites and refusesReads are set while the store refuses those of this node.
	refusesWrites, refusesReads atomic.Bool
	stop                        context.CancelFunc
}

// shareFleet is a fleet of such nodes in virtual time.
type shareFleet struct {
	t     *testing.T
	store *storestub.Store
	nodes []*shareNode
}

// refusingStore refuses the writes of a node while its refusesWrites is set.
type refusingStore struct {
	*storestub.Store
	node *shareNode
}

func (s refusingStore) check() error {
	if s.node.refusesWrites.Load() {
		s.node.outage.ObserveFailure(time.Now())
		return errOutage
	}
	s.node.outage.ObserveAnswer(time.Now())
	return nil
}

func (s refusingStore) Grant(ctx context.Context, ttl time.Duration) (coordination.Lease, error) {
	if err := s.check(); err != nil {
		return coordination.Lease{}, err
	}
	return s.Store.Grant(ctx, ttl)
}

func (s refusingStore) Renew(ctx context.Context, lease int64) (bool, error) {
	if err := s.check(); err != nil {
		return false, err
	}
	return s.Store.Renew(ctx, lease)
}

func (s refusingStore) Write(ctx context.Context, key string, value []byte, lease int64) (bool, error) {
	if err := s.check(); err != nil {
		return false, err
	}
	return s.Store.Write(ctx, key, value, lease)
}

func (f *shareFleet) start(name string, refusesWrites bool) *shareNode {
	n := &shareNode{size: &SharedSize{}, outage: &coordination.Outage{}}
	n.refusesWrites.Store(refusesWrites)
	n.registry = &Registry{Store: refusingStore{f.store, n}, Prefix: "nodes/", Name: name, Incarnation: fmt.Sprint(time.Now().UnixNano()), Address: name, Zone: "z", Outage: n.outage}
	n.registry.OnResize = func(nodes int) { n.size.Observe(nodes, time.Now()) }
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go n.registry.Run(ctx)
	return n
}

// startAll starts nodes in place of those of the same names, which end without a word.
func (f *shareFleet) startAll(nodes int, refusesWrites bool) {
	for _, n := range f.nodes {
		n.refusesWrites.Store(true)
		n.stop()
	}
	f.nodes = nil
	for i := range nodes {
		f.nodes = append(f.nodes, f.start(fmt.Sprint("n", i), refusesWrites))
	}
}

// run lets nodes read the registrations for some time, and returns the largest sum of their shares.
func (f *shareFleet) run(length time.Duration) float64 {
	const readInterval = 500 * time.Millisecond
	largest := 0.0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(readInterval) {
		f.read()
		sum := 0.0
		for _, n := range f.nodes {
			if n.registry.HoldsShare(time.Now()) {
				sum += 1 / float64(n.size.Nodes(time.Now()))
			}
		}
		largest = max(largest, sum)
	}
	return largest
}

// read lets all nodes read the registrations, or in a large fleet one of them, whose view the others receive.
func (f *shareFleet) read() {
	entries := f.store.Entries("nodes/")
	var reader *Registry
	for _, n := range f.nodes {
		switch {
		case n.refusesReads.Load():
		case reader == nil || len(f.nodes) <= minRelays*viewRelayFactor:
			reader = n.registry
			reader.ObserveNodes(entries, time.Now())
			reader.Confirm(time.Now())
		case n.registry.ObserveView(reader.ViewIfChanged(n.registry.ViewDigest())):
			n.registry.Confirm(time.Now())
		}
	}
}

// refuse makes the store refuse the writes of nodes, and ends their registrations.
func (f *shareFleet) refuse(nodes []*shareNode, lapse bool) {
	for _, n := range nodes {
		n.refusesWrites.Store(true)
	}
	if lapse {
		f.store.ExpireLeases()
	}
}

func (f *shareFleet) serve() {
	for _, n := range f.nodes {
		n.refusesWrites.Store(false)
		n.refusesReads.Store(false)
	}
}

// settleTime is the time from the start of a fleet until its nodes spend their shares, and wholeBound the sum of the
// shares of nodes that know each other.
const (
	settleTime = reregistrationTime + sizeHold + 2*time.Second
	wholeBound = 1 + 1e-9
)

// Guards against nodes that spend more than the bounds of the fleet together because the store refuses the
// registrations of some of them: a list of registrations without its reader's own is no count of the fleet.
func TestSharesStayWithinBoundWhileRegistrationsAreRefused(t *testing.T) {
	for _, nodes := range []int{8, 16, 340, 985, 2000} {
		for name, disrupt := range map[string]func(f *shareFleet) float64{
			"all start": func(f *shareFleet) float64 {
				f.store.ExpireLeases()
				f.startAll(nodes, true)
				return f.run(40 * time.Second)
			},
			"registrations lapse": func(f *shareFleet) float64 {
				f.refuse(f.nodes, true)
				return f.run(40 * time.Second)
			},
			"registrations expire": func(f *shareFleet) float64 {
				f.refuse(f.nodes, false)
				return f.run(60 * time.Second)
			},
			"half cannot register": func(f *shareFleet) float64 {
				f.refuse(f.nodes[nodes/2:], false)
				return f.run(60 * time.Second)
			},
			"registrations of half lapse": func(f *shareFleet) float64 {
				f.refuse(f.nodes[nodes/2:], true)
				return f.run(60 * time.Second)
			},
			"one can register": func(f *shareFleet) float64 {
				f.refuse(f.nodes[1:], true)
				return f.run(60 * time.Second)
			},
			"others come that cannot": func(f *shareFleet) float64 {
				for i := range nodes {
					f.nodes = append(f.nodes, f.start(fmt.Sprint("late", i), true))
				}
				return f.run(60 * time.Second)
			},
			"flapping": func(f *shareFleet) float64 {
				largest := 0.0
				for range 8 {
					f.refuse(f.nodes, true)
					largest = max(largest, f.run(3*time.Second))
					f.serve()
					largest = max(largest, f.run(500*time.Millisecond))
				}
				return largest
			},
			"reads of all are refused": func(f *shareFleet) float64 {
				for _, n := range f.nodes {
					n.refusesReads.Store(true)
				}
				f.refuse(f.nodes, true)
				return f.run(40 * time.Second)
			},
		} {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &shareFleet{t: t, store: storestub.New(time.Now, nil)}
					defer func() {
						for _, n := range f.nodes {
							n.stop()
						}
					}()
					f.startAll(nodes, false)
					require.LessOrEqual(t, f.run(settleTime), wholeBound, "at the start")
					require.InDelta(t, 1, f.run(time.Second), 0.01, "nodes that know each other use the bound")
					require.LessOrEqual(t, disrupt(f), wholeBound)
					f.serve()
					require.LessOrEqual(t, f.run(settleTime), wholeBound, "afterwards")
					require.InDelta(t, 1, f.run(time.Second), 0.01, "the bound is used again")
				})
			})
		}
	}
}

// Guards against a node that waits for others which do not exist: one node alone, and one that is left of a fleet, use
// their bounds.
func TestRemainingNodeUsesWholeBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &shareFleet{t: t, store: storestub.New(time.Now, nil)}
		f.startAll(1, false)
		f.run(15 * time.Second)
		require.InDelta(t, 1, f.run(time.Second), 1e-9, "one node of one")
		for i := range 7 {
			f.nodes = append(f.nodes, f.start(fmt.Sprint("late", i), false))
		}
		f.run(settleTime)
		for _, n := range f.nodes[1:] {
			n.refusesWrites.Store(true)
			n.stop()
		}
		f.nodes = f.nodes[:1]
		f.run(registrationTTL + sizeHold + time.Second)
		require.InDelta(t, 1, f.run(time.Second), 1e-9, "the last node of eight")
		f.nodes[0].stop()
	})
}
