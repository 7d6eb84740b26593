package reflector

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// feedPeers answers polls of any node from one feed, or fails them.
type feedPeers struct {
	feed        *Feed
	unreachable bool
}

func (p *feedPeers) Poll(ctx context.Context, _ string, request PollRequest) (Delta, error) {
	if p.unreachable {
		return Delta{}, errors.New("no answer")
	}
	request.Wait = 0
	return p.feed.Respond(ctx, request), nil
}

func (p *feedPeers) Group(context.Context, string, GroupRequest) (Group, error) {
	return Group{}, nil
}

// countingSource counts reads by kind.
type countingSource struct{ observed, declared, nodes int }

func (c *countingSource) Observe(context.Context) (Observation, error) {
	c.observed++
	return Observation{Declared: catalog.ReadResult{SentAt: time.Now()}}, nil
}
func (c *countingSource) ReadDeclaration(context.Context) (catalog.ReadResult, error) {
	c.declared++
	return catalog.ReadResult{SentAt: time.Now()}, nil
}
func (c *countingSource) ReadNodes(context.Context, bool) ([]coordination.Entry, bool, error) {
	c.nodes++
	return nil, true, nil
}
func (c *countingSource) ReadView(context.Context) ([]byte, error) { return nil, nil }
func (c *countingSource) AwaitDeclaration(_ context.Context, after coordination.Position, _ time.Duration) (bool, coordination.Position, error) {
	return false, after, nil
}

// fullUpdate returns a full list that was read at a revision of the store.
func fullUpdate(list []backend.Server, revision int64, readAt time.Time) serverUpdate {
	return serverUpdate{whole: true, changed: list, position: at(revision), readAt: readAt}
}

// newFollower returns the reflector of a node that is not a reader.
func newFollower(source Source, peers Peers) *Reflector {
	registry := &fleet.Registry{Prefix: "nodes/", Name: "follower", OnResize: func(int) {}}
	replica, set := &catalog.AtomicReplica{}, backend.NewSet()
	work := workshare.New(func() workshare.Report { return workshare.Report{} })
	ledger := residency.NewLedger()
	suspicions := quarantine.NewLedger()
	return &Reflector{
		Source: source, Peers: peers, Replica: replica, Set: set, Registry: registry, Recorder: nopRecorder{}, MaxStaleness: 2 * time.Second,
		Work: work, OnReport: func(others workshare.Report, now time.Time) { set.ApplyPeerWork(others.Work, now) }, Feed: NewFeed("follower", replica, registry, work, ledger, suspicions), Kept: residency.NewPeerReceiver(ledger),
		Quarantine: suspicions, OnQuarantined: func([]coordination.Entry) {},
	}
}

func TestFollowerAdoptsUpstreamState(t *testing.T) {
	replica := &catalog.AtomicReplica{}
	readAt := time.Now().Add(-500 * time.Millisecond)
	declaration := catalog.Declaration{Version: 7, Tenants: []catalog.TenantKeys{{Tenant: catalog.Tenant{HasPriority: true}, Keys: []string{"k"}}}}
	replica.Store(catalog.Advance(nil, catalog.ReadResult{SentAt: readAt, Declaration: &declaration, Weights: map[string]int64{"m": 3}}))
	registry := &fleet.Registry{Prefix: "nodes/", Name: "reader", OnResize: func(int) {}}
	registry.ObserveNodes([]coordination.Entry{{Key: "nodes/reader/1", Value: []byte("a z")}, {Key: "nodes/follower/1"}}, time.Now())
	cache := residency.NewLedger()
	cache.Replace("store", []residency.Key{7})
	reader := &feedPeers{feed: NewFeed("reader", replica, registry, workshare.New(func() workshare.Report {
		return workshare.Report{Work: []backend.Work{{Server: backend.ServerKey("i-1"), Running: 4}}}
	}), cache, quarantine.NewLedger())}
	reader.feed.apply(fullUpdate([]backend.Server{{Instance: "i-1", Service: "s"}}, 1, time.Now()))
	follower := newFollower(&countingSource{}, reader)

	require.NoError(t, follower.poll(context.Background(), "reader", &suspicionExchange{}))
	received := follower.Replica.Load()
	require.Equal(t, int64(7), received.Snapshot.Version)
	require.NotNil(t, received.Snapshot.TenantOf("k"))
	require.Equal(t, int64(3), received.Weights["m"].Newest())
	require.False(t, received.AsOf.After(readAt), "the replica must not look newer than it is")
	require.WithinDuration(t, readAt, received.AsOf, 400*time.Millisecond)
	require.Equal(t, 2, follower.Registry.Nodes())
	require.Equal(t, registry.ViewDigest(), follower.Registry.ViewDigest())
	candidates := follower.Set.Candidates(nil, backend.Query{Service: "s", Distance: func(string) int { return 0 }}, time.Now())
	require.Equal(t, 4, candidates[0].Running)

	disruptedAt := time.Now().Add(-100 * time.Millisecond)
	replica.Store(catalog.MarkDisrupted(replica.Load(), disruptedAt))
	require.NoError(t, follower.poll(context.Background(), "reader", &suspicionExchange{}))
	require.WithinDuration(t, disruptedAt, follower.Replica.Load().DisruptedAt, 50*time.Millisecond)
	require.False(t, follower.Replica.Load().DisruptedAt.After(disruptedAt))
}

func TestFollowerReadsStoreOnlyWhenUpstreamIsStale(t *testing.T) {
	store := &countingSource{}
	follower := newFollower(store, &feedPeers{unreachable: true})
	bootstrapAs(follower.Registry, func(r *fleet.Registry) bool { return !r.IsRelay() })
	setReplicaAge := func(age time.Duration) {
		follower.Replica.Store(&catalog.Replica{Snapshot: follower.Replica.Load().Snapshot, AsOf: time.Now().Add(-age)})
	}
	follower.applyReading(catalog.ReadResult{Declaration: &catalog.Declaration{Version: 1}})
	follower.nodesReadAt.store(time.Now())
	setReplicaAge(time.Second)
	require.False(t, follower.readDue(time.Now()), "the replica is still fresh")
	setReplicaAge(1500 * time.Millisecond)
	require.True(t, follower.readDue(time.Now()))
	require.NoError(t, follower.read(context.Background()))
	require.False(t, follower.readDue(time.Now()))
	require.Equal(t, countingSource{declared: 1}, *store)
	follower.nodesReadAt.store(time.Now().Add(-2 * nodesReadInterval))
	setReplicaAge(2 * time.Second)
	require.NoError(t, follower.read(context.Background()))
	require.Equal(t, countingSource{declared: 2, nodes: 1}, *store)
}

// bootstrapAs renames a node until it has the wanted role in a fleet of 30.
func bootstrapAs(registry *fleet.Registry, hasRole func(*fleet.Registry) bool) {
	entries := []coordination.Entry{{}}
	for number := range 29 {
		entries = append(entries, coordination.Entry{Key: fmt.Sprint("nodes/node-", number, "/1"), Value: []byte(fmt.Sprint("address-", number))})
	}
	for name := registry.Name; ; {
		name += "z"
		entries[0].Key = "nodes/" + name + "/old"
		candidate := &fleet.Registry{Prefix: registry.Prefix, Name: name, OnResize: func(int) {}}
		candidate.ObserveNodes(entries, time.Now())
		if !hasRole(candidate) {
			continue
		}
		registry.Name, registry.Address = name, "own"
		registry.ObserveNodes(entries, time.Now())
		// Its rank is another one if the registry knew nodes that are not listed.
		if hasRole(registry) {
			return
		}
	}
}

func TestRelayWithoutUpstreamReadsFullState(t *testing.T) {
	store := &countingSource{}
	relay := newFollower(store, &feedPeers{unreachable: true})
	bootstrapAs(relay.Registry, func(r *fleet.Registry) bool { return r.IsRelay() && !r.IsReader() })
	relay.applyReading(catalog.ReadResult{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}})
	require.True(t, relay.readDue(time.Now()), "its followers need the servers too")
	require.NoError(t, relay.read(context.Background()))
	require.Equal(t, countingSource{observed: 1}, *store)
	require.False(t, relay.readDue(time.Now()))
}

// In normal operation only the first reader reads the store: the other roles become due later,
// by more than the age that polling adds.
func TestRolesReadStoreInOrder(t *testing.T) {
	roles := map[float64]func(*fleet.Registry) bool{
		firstReaderFraction: func(r *fleet.Registry) bool { return r.Rank() == 0 },
		readerFraction:      func(r *fleet.Registry) bool { return r.Rank() == 2 },
		relayFraction:       func(r *fleet.Registry) bool { return r.IsRelay() && !r.IsReader() },
		followerFraction:    func(r *fleet.Registry) bool { return !r.IsRelay() },
	}
	for fraction, hasRole := range roles {
		node := newFollower(&countingSource{}, &feedPeers{unreachable: true})
		bootstrapAs(node.Registry, hasRole)
		require.Equal(t, fraction, node.roleFraction())
		upstreams := node.upstreams()
		switch {
		case fraction == firstReaderFraction:
			require.Len(t, upstreams, 2, "the first reader polls the others while it cannot read")
			node.serversReadAt.store(time.Now())
			node.applyReading(catalog.ReadResult{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}})
			require.Empty(t, node.upstreams())
		case fraction == readerFraction:
			require.Len(t, upstreams, 2, "a reader polls the other readers")
		}
		if fraction > firstReaderFraction {
			require.Less(t, node.staleAge(), time.Duration(fraction*float64(node.MaxStaleness))+time.Millisecond, "another upstream is tried before the store")
		}
	}
}

// A follower applies servers, work and loads from an upstream whose replica is stale, but
// reports it as stale, since another upstream may have a newer one.
func TestStaleUpstreamStillDeliversOtherUpdates(t *testing.T) {
	replica := &catalog.AtomicReplica{}
	replica.Store(catalog.Advance(nil, catalog.ReadResult{SentAt: time.Now().Add(-time.Minute), Declaration: &catalog.Declaration{Version: 1}}))
	work := workshare.New(func() workshare.Report {
		return workshare.Report{Work: []backend.Work{{Server: backend.ServerKey("i-1"), Running: 4}}}
	})
	feed := NewFeed("relay", replica, &fleet.Registry{OnResize: func(int) {}}, work, residency.NewLedger(), quarantine.NewLedger())
	feed.apply(fullUpdate([]backend.Server{{Instance: "i-1", Service: "s"}}, 1, time.Now()))
	follower := newFollower(&countingSource{}, &feedPeers{feed: feed})
	require.Equal(t, errStaleUpstream, follower.poll(context.Background(), "relay", &suspicionExchange{}))
	candidates := follower.Set.Candidates(nil, backend.Query{Service: "s", Distance: func(string) int { return 0 }}, time.Now())
	require.Equal(t, 4, candidates[0].Running)
	require.Equal(t, int64(1), follower.Replica.Load().Snapshot.Version)
}

// A list that another node read earlier must not bring back removed servers.
func TestOlderServerListIsIgnored(t *testing.T) {
	start := time.Unix(1000, 0)
	newer, older := newFeed("young"), newFeed("old")
	both := []backend.Server{{Instance: "i-1", Revision: 1}, {Instance: "i-2", Revision: 2}}
	newer.apply(fullUpdate(both[:1], 3, start))
	older.apply(fullUpdate(both, 2, start.Add(-time.Second)))
	own := newServerList()
	poll := func(feed *Feed) bool {
		delta := feed.Respond(context.Background(), PollRequest{Place: own.position})
		changed, gone := own.apply(delta.serverUpdate(start))
		return len(changed)+len(gone) > 0
	}
	require.True(t, poll(newer))
	require.Len(t, own.servers, 1)
	require.False(t, poll(older))
	require.False(t, poll(older))
	older.apply(fullUpdate([]backend.Server{both[0], {Instance: "i-3", Revision: 4}}, 4, start.Add(time.Second)))
	require.True(t, poll(older))
	require.Len(t, own.servers, 2)
	require.Contains(t, own.servers, "i-3")
}

// After a poll that brought a rollout change, the follower's next request must carry the new
// rollout state: with the old one it would be answered at once, in a loop, until the list of
// servers changes.
func TestRolloutStateIsRequestedOnce(t *testing.T) {
	replica := &catalog.AtomicReplica{}
	replica.Store(catalog.Advance(nil, catalog.ReadResult{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}}))
	feed := NewFeed("reader", replica, &fleet.Registry{OnResize: func(int) {}}, workshare.New(func() workshare.Report { return workshare.Report{} }), residency.NewLedger(), quarantine.NewLedger())
	feed.apply(fullUpdate([]backend.Server{{Instance: "i-1", Service: "s"}}, 1, time.Now()))
	follower := newFollower(&countingSource{}, &feedPeers{feed: feed})
	require.NoError(t, follower.poll(context.Background(), "reader", &suspicionExchange{}))
	feed.ApplyLoads(backend.Loads{Mark: backend.LoadsMark{Fence: 1}, Loading: []backend.Load{{Instance: "i-1", Model: "m", Version: 2}}})
	require.NoError(t, follower.poll(context.Background(), "reader", &suspicionExchange{}))
	request := follower.request("reader", &suspicionExchange{})
	delta, _ := feed.changesSince(request)
	require.Equal(t, request.Place, delta.Place, "there is nothing new")
	require.Nil(t, delta.Loads)
}

// Standby readers know the current leaders without reading the store.
func TestReadersReceiveLeaderEntries(t *testing.T) {
	registry := &fleet.Registry{OnResize: func(int) {}}
	registry.ObserveDuties([]coordination.Entry{{Key: "holder", Revision: 4}}, time.Now())
	feed := NewFeed("first", &catalog.AtomicReplica{}, registry, workshare.New(func() workshare.Report { return workshare.Report{} }), residency.NewLedger(), quarantine.NewLedger())
	for role, hasRole := range map[string]func(*fleet.Registry) bool{
		"reader": func(r *fleet.Registry) bool { return r.Rank() == 1 },
		"relay":  func(r *fleet.Registry) bool { return r.IsRelay() && !r.IsReader() },
	} {
		node := newFollower(&countingSource{}, &feedPeers{feed: feed})
		bootstrapAs(node.Registry, hasRole)
		_ = node.poll(context.Background(), "first", &suspicionExchange{})
		require.Equal(t, role == "reader", node.Registry.Exists("holder"))
		require.Equal(t, role == "reader", !node.Registry.FirstSeen("holder", coordination.Position{Revision: 4}).IsZero())
	}
}

func TestRestartedNodePollsBeforeBootstrap(t *testing.T) {
	node := newFollower(&countingSource{}, &feedPeers{unreachable: true})
	require.Empty(t, node.upstreams(), "no other node is known")
	node.Registry.ObserveNodes([]coordination.Entry{{Key: "nodes/other/1", Value: []byte("address z")}}, time.Now())
	require.False(t, node.Registry.Bootstrapped())
	require.Equal(t, []string{"address"}, node.upstreams())
}

// An observation goes upstream with the next poll and downstream with the response to a waiting
// one.
func TestFleetPropagationDelayIncludesUpstreamHops(t *testing.T) {
	node := newFollower(&countingSource{}, &feedPeers{unreachable: true})
	node.Registry.ObserveNodes([]coordination.Entry{{Key: "nodes/other/1", Value: []byte("address z")}, {Key: "nodes/follower/1"}}, time.Now())
	require.Equal(t, minPollPause+transitDelay, node.DownstreamDelay())
	require.Equal(t, pollWait+2*(minPollPause+transitDelay), node.FleetPropagationDelay())
}

// recordingPeers records which nodes are polled.
type recordingPeers struct {
	feedPeers
	addresses []string
}

func (p *recordingPeers) Poll(ctx context.Context, address string, request PollRequest) (Delta, error) {
	p.addresses = append(p.addresses, address)
	return p.feedPeers.Poll(ctx, address, request)
}

// A node that learns that it is a relay polls the first reader first, whichever node it polled
// before, since the other readers receive changes later.
func TestNewRelayPollsFirstReaderFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &recordingPeers{feedPeers: feedPeers{unreachable: true}}
		relay := newFollower(&countingSource{}, peers)
		relay.Registry.Name, relay.Registry.Address = "none yet", "own"
		relay.Registry.ObserveStaleNodes([]coordination.Entry{{Key: "nodes/other/1", Value: []byte("other z")}, {Key: "nodes/third/1", Value: []byte("third z")}}, time.Now())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go relay.followUpstream(ctx)
		time.Sleep(3 * upstreamRetryDelay / 2)
		synctest.Wait()
		require.Len(t, peers.addresses, 2, "both polls failed")
		bootstrapAs(relay.Registry, func(r *fleet.Registry) bool { return r.IsRelay() && !r.IsReader() })
		peers.addresses = nil
		time.Sleep(upstreamRetryDelay)
		synctest.Wait()
		require.Equal(t, relay.Registry.ReaderAddresses()[0], peers.addresses[0])
	})
}

// An uninitialized node stays with its upstream and receives state as soon as that one does.
// After a restart of the whole fleet no node has state for a while, and a node that kept
// switching would wait at each upstream in turn.
func TestUninitializedNodeStaysWithItsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := &catalog.AtomicReplica{}
		feed := NewFeed("relay", replica, &fleet.Registry{OnResize: func(int) {}}, workshare.New(func() workshare.Report { return workshare.Report{} }), residency.NewLedger(), quarantine.NewLedger())
		peers := &longPollPeers{feed: feed}
		node := newFollower(&countingSource{}, peers)
		node.Registry.ObserveStaleNodes([]coordination.Entry{{Key: "nodes/other/1", Value: []byte("other z")}, {Key: "nodes/third/1", Value: []byte("third z")}}, time.Now())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go node.followUpstream(ctx)
		time.Sleep(2100 * time.Millisecond)
		require.Len(t, peers.addresses, 3, "it stays with its upstream")
		feed.apply(fullUpdate([]backend.Server{{Instance: "i-1", Service: "s", Revision: 1}}, 1, time.Now()))
		replica.Store(catalog.Advance(nil, catalog.ReadResult{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}}))
		time.Sleep(time.Millisecond)
		require.Len(t, node.Set.Servers(time.Now()), 1)
		time.Sleep(minPollPause)
		require.False(t, node.uninitialized())
		require.Equal(t, map[string]bool{peers.addresses[0]: true}, peers.distinctAddresses())
	})
}

// longPollPeers answers polls of any address from one feed, once there are changes.
type longPollPeers struct {
	feed      *Feed
	addresses []string
}

func (p *longPollPeers) Poll(ctx context.Context, address string, request PollRequest) (Delta, error) {
	p.addresses = append(p.addresses, address)
	return p.feed.Respond(ctx, request), nil
}

func (p *longPollPeers) Group(context.Context, string, GroupRequest) (Group, error) {
	return Group{}, nil
}

func (p *longPollPeers) distinctAddresses() map[string]bool {
	all := map[string]bool{}
	for _, address := range p.addresses {
		all[address] = true
	}
	return all
}

// Removed servers expire even if the list does not change any more.
func TestRemovedServersExpireWithoutFurtherChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newFollower(&countingSource{}, &feedPeers{unreachable: true})
		node.applyServers(fullUpdate([]backend.Server{{Instance: "i-1", Service: "s", Revision: 1}}, 1, time.Now()))
		node.applyServers(serverUpdate{gone: []string{"i-1"}, position: at(2), readAt: time.Now()})
		known := func() bool {
			_, found := node.Set.Server("i-1")
			return found
		}
		require.True(t, known(), "a removed server is kept for a while, since its entry may be missing by mistake")
		time.Sleep(time.Minute)
		node.applyServers(serverUpdate{position: at(2), readAt: time.Now()})
		require.False(t, known())
	})
}

// nodesSource returns node registrations only when they have changed, as a source that reads changes does.
type nodesSource struct {
	countingSource
	nodes []coordination.Entry
}

func (s *nodesSource) Observe(context.Context) (Observation, error) {
	nodes := s.nodes
	s.nodes = nil
	return Observation{Declared: catalog.ReadResult{SentAt: time.Now()}, Nodes: nodes}, nil
}

// awaitSettled reads the store until a node that is registered believes that all nodes are.
func awaitSettled(t *testing.T, reader *Reflector) {
	for !reader.Registry.Settled() {
		time.Sleep(time.Second)
		require.NoError(t, reader.observe(context.Background()))
	}
}

// Guards against two readers that overwrite each other's fleet with older views, one of which has just
// started, and whose reads of the store show no change any more.
func TestReaderRestoresWhatItHasRead(t *testing.T) { synctest.Test(t, testReaderRestoresWhatItHasRead) }

func testReaderRestoresWhatItHasRead(t *testing.T) {
	entry := func(name string) coordination.Entry {
		return coordination.Entry{Key: "nodes/" + name + "/1", Value: []byte(name + " z")}
	}
	replica := &catalog.AtomicReplica{}
	older := &fleet.Registry{Prefix: "nodes/", Name: "started", OnResize: func(int) {}}
	older.ObserveNodes([]coordination.Entry{entry("follower")}, time.Now())
	started := &feedPeers{feed: NewFeed("started", replica, older, workshare.New(func() workshare.Report { return workshare.Report{} }), residency.NewLedger(), quarantine.NewLedger())}
	source := &nodesSource{nodes: []coordination.Entry{entry("follower"), entry("other"), entry("started")}}
	reader := newFollower(source, started)
	reader.Registry.Incarnation = "1"
	require.NoError(t, reader.observe(context.Background()))
	require.Equal(t, 3, reader.Registry.Nodes())
	awaitSettled(t, reader)
	_ = reader.poll(context.Background(), "started", &suspicionExchange{})
	require.Less(t, reader.Registry.Nodes(), 3, "the older view")
	require.NoError(t, reader.observe(context.Background()))
	require.Equal(t, 3, reader.Registry.Nodes())
}
