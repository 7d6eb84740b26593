package reflector

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/pause"
)

const (
	// contact is the time after an outage of the store within which a node must have the configuration.
	contact = 3 * time.Second
	// silentCall bounds a call of a store that does not answer, and registrationTime the time in which nodes
	// register after an outage.
	silentCall       = time.Second
	outageLength     = 5 * time.Second
	registrationTime = 1100 * time.Millisecond
	storeLatency     = 5 * time.Millisecond
	// nodesPerPage is the number of registrations in a call, and listPages the number of calls for a list of servers.
	nodesPerPage = 500
	listPages    = 20
)

// startingFleet is a fleet that starts in an outage of the store, which lists former nodes that are gone as well.
type startingFleet struct {
	// nodes holds the nodes that live, by address.
	nodes map[string]*Reflector

	mutex   sync.Mutex
	down    bool
	entries []coordination.Entry
	// calls counts the answered calls of the store in each second.
	calls map[int64]int
}

func startingEntry(name string) coordination.Entry {
	return coordination.Entry{Key: "nodes/" + name + "/1", Value: fmt.Appendf(nil, "%s z %g", addressOf(name), nodeCores)}
}

// newStartingFleet returns a fleet of live nodes, and as many former ones. The readers of the given ranks are gone.
func newStartingFleet(size int, gone []int) *startingFleet {
	f := &startingFleet{down: true, nodes: map[string]*Reflector{}, calls: map[int64]int{}}
	names, all := []string{}, []coordination.Entry{}
	for i := range 2 * size {
		names = append(names, fmt.Sprint("n", i))
		all = append(all, startingEntry(names[i]))
	}
	registry := &fleet.Registry{Prefix: "nodes/", Name: names[0], Address: addressOf(names[0]), Zone: "z", Cores: nodeCores, OnResize: func(int) {}}
	registry.ObserveNodes(all, time.Now())
	readers := registry.ReaderAddresses()
	rank := func(name string) int { return slices.Index(readers, addressOf(name)) }
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(lives(rank(a), gone), lives(rank(b), gone)) })
	for i, name := range names {
		if i < size {
			f.entries = append(f.entries, startingEntry(name))
		} else {
			f.nodes[addressOf(name)] = f.newNode(name)
		}
	}
	return f
}

// lives returns -1 for readers that are gone, 1 for other readers, and 0 for other nodes.
func lives(rank int, gone []int) int {
	switch {
	case rank < 0:
		return 0
	case slices.Contains(gone, rank):
		return -1
	default:
		return 1
	}
}

func (f *startingFleet) newNode(name string) *Reflector {
	r := newFollower(&fleetSource{fleet: f}, &fleetPeers{f})
	r.Registry.Name, r.Registry.Address, r.Registry.Zone, r.Registry.Cores, r.Registry.Incarnation = name, addressOf(name), "z", nodeCores, "1"
	r.Feed.name = name
	return r
}

// play starts all nodes in an outage, and returns how many have the configuration and the list of servers within the
// contact time after it.
func (f *startingFleet) play(ctx context.Context, random *rand.Rand) (configured, listed int) {
	for _, address := range f.addresses() {
		node, delay := f.nodes[address], time.Duration(random.Int64N(int64(time.Second)))
		go func() {
			time.Sleep(delay)
			node.Run(ctx)
		}()
	}
	time.Sleep(outageLength)
	f.update(func() { f.down = false })
	for _, address := range f.addresses() {
		entry, delay := startingEntry(f.nodes[address].Registry.Name), time.Duration(random.Int64N(int64(registrationTime)))
		time.AfterFunc(delay, func() { f.update(func() { f.entries = append(f.entries, entry) }) })
	}
	time.Sleep(contact)
	for _, node := range f.nodes {
		if replica := node.Replica.Load(); replica != nil && replica.Snapshot != nil {
			configured++
		}
		if cursor, _ := node.Feed.cursor(); !cursor.IsZero() {
			listed++
		}
	}
	return configured, listed
}

// addresses returns the addresses of the nodes that live, in a fixed order.
func (f *startingFleet) addresses() []string {
	addresses := []string{}
	for address := range f.nodes {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (f *startingFleet) update(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

// call makes calls of the store one after the other, and returns the registrations.
func (f *startingFleet) call(ctx context.Context, count int) ([]coordination.Entry, error) {
	down := false
	f.update(func() { down = f.down })
	if down {
		pause.For(ctx, silentCall)
		return nil, errors.New("the store does not answer")
	}
	pause.For(ctx, time.Duration(count)*storeLatency)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls[time.Now().Unix()] += count
	return slices.Clone(f.entries), ctx.Err()
}

// busiestSecond returns the largest number of calls of the store in one second.
func (f *startingFleet) busiestSecond() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	busiest := 0
	for _, calls := range f.calls {
		busiest = max(busiest, calls)
	}
	return busiest
}

// fleetSource reads the store of a starting fleet.
type fleetSource struct {
	fleet *startingFleet
	// listed reports that the node has the list of servers, of which it reads changes only.
	listed atomic.Bool
}

func (s *fleetSource) Observe(ctx context.Context) (Observation, error) {
	calls := 1
	if !s.listed.Load() {
		calls = listPages
	}
	sentAt := time.Now()
	entries, err := s.fleet.call(ctx, calls)
	if err != nil {
		return Observation{}, err
	}
	s.listed.Store(true)
	return Observation{Declared: declared(sentAt), Whole: true, Servers: newServers(3), At: at(3), Nodes: entries}, nil
}

func declared(sentAt time.Time) catalog.ReadResult {
	return catalog.ReadResult{SentAt: sentAt, Declaration: &catalog.Declaration{Version: 1}, At: at(3)}
}

func (s *fleetSource) ReadDeclaration(ctx context.Context) (catalog.ReadResult, error) {
	sentAt := time.Now()
	_, err := s.fleet.call(ctx, 1)
	return declared(sentAt), err
}

func (s *fleetSource) ReadNodes(ctx context.Context, _ bool) (entries []coordination.Entry, complete bool, err error) {
	entries, err = s.fleet.call(ctx, 1)
	slices.SortFunc(entries, func(a, b coordination.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries[:min(len(entries), nodesPerPage)], len(entries) <= nodesPerPage, err
}

func (s *fleetSource) ReadView(ctx context.Context) ([]byte, error) {
	_, err := s.fleet.call(ctx, 1)
	return nil, err
}

func (s *fleetSource) AwaitDeclaration(ctx context.Context, after coordination.Position, wait time.Duration) (bool, coordination.Position, error) {
	pause.For(ctx, wait)
	return false, after, ctx.Err()
}

// fleetPeers polls the nodes of a starting fleet.
type fleetPeers struct{ fleet *startingFleet }

func (p *fleetPeers) Poll(ctx context.Context, address string, request PollRequest) (Delta, error) {
	node, lives := p.fleet.nodes[address]
	if !lives {
		return Delta{}, errors.New("the node is gone")
	}
	pause.For(ctx, time.Millisecond)
	return node.Feed.Respond(ctx, request), nil
}

func (p *fleetPeers) Group(context.Context, string, GroupRequest) (Group, error) {
	return Group{}, errors.New("not played")
}

// Guards against a node that starts in an outage and waits, after it, for former nodes that are gone but are still
// registered: it lacked the configuration for longer than the contact time. The store takes the calls of a fleet of any
// size meanwhile.
func TestNodesBesideFormerOnesHaveStateAfterOutage(t *testing.T) {
	// Not parallel: the clock of package boottime is shared, and tests in real time must not read it beside virtual time.
	all := [][]int{{}, {0}, {0, 1}, {1, 2}, {0, 2}, {0, 1, 2}}
	for _, c := range []struct {
		size, seeds int
		gone        [][]int
		// maxCalls is the rate of calls of the platform's stores at this size.
		maxCalls int
	}{
		{size: 3, seeds: 20, gone: all, maxCalls: 400},
		{size: 340, seeds: 1, gone: all, maxCalls: 3200},
		{size: 985, seeds: 1, gone: [][]int{{}, {0, 1}, {0, 2}, {0, 1, 2}}, maxCalls: 3200},
	} {
		for _, gone := range c.gone {
			for seed := range uint64(c.seeds) {
				t.Run(fmt.Sprintf("%d nodes, readers %v gone, seed %d", c.size, gone, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, stop := context.WithCancel(t.Context())
						defer stop()
						f := newStartingFleet(c.size, gone)
						configured, listed := f.play(ctx, rand.New(rand.NewPCG(seed, 1)))
						t.Logf("%d have the configuration, %d the servers; %d calls in the busiest second", configured, listed, f.busiestSecond())
						require.Equal(t, c.size, configured)
						require.Equal(t, c.size, listed)
						require.LessOrEqual(t, f.busiestSecond(), c.maxCalls)
					})
				})
			}
		}
	}
}
