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
type answering struct {
	feed *Feed
	lost bool
}

func (a *answering) Ask(ctx context.Context, _ string, question Question) (Delta, error) {
	if a.lost {
		return Delta{}, errors.New("no answer")
	}
	question.Wait = 0
	return a.feed.Answer(ctx, question), nil
}

func (a *answering) Group(context.Context, string, GroupQuestion) (Group, error) {
	return Group{}, nil
}

// countingSource counts reads by kind.
type counting struct{ observed, declared, nodes int }

func (c *counting) Observe(context.Context) (Observation, error) {
	c.observed++
	return Observation{Declared: catalog.Reading{SentAt: time.Now()}}, nil
}
func (c *counting) Declared(context.Context) (catalog.Reading, error) {
	c.declared++
	return catalog.Reading{SentAt: time.Now()}, nil
}
func (c *counting) Nodes(context.Context, bool) ([]coordination.Entry, bool, error) {
	c.nodes++
	return nil, true, nil
}
func (c *counting) View(context.Context) ([]byte, error) { return nil, nil }
func (c *counting) AwaitDeclared(_ context.Context, after coordination.Position, _ time.Duration) (bool, coordination.Position, error) {
	return false, after, nil
}

// fullUpdate returns a full list that was read at a revision of the store.
func wholeList(list []backend.Server, revision int64, readAt time.Time) listing {
	return listing{whole: true, changed: list, at: at(revision), readAt: readAt}
}

// newFollower returns the reflector of a node that is not a reader.
func newFollower(source Source, peers Peers) *Reflector {
	registry := &fleet.Registry{Prefix: "nodes/", Name: "follower", Resized: func(int) {}}
	belief, set := &catalog.Holder{}, backend.NewSet()
	work := workshare.New(func() workshare.Report { return workshare.Report{} })
	ledger := residency.NewLedger()
	requests := quarantine.NewLedger()
	return &Reflector{
		Source: source, Peers: peers, Belief: belief, Set: set, Registry: registry, Recorder: silent{}, Bound: 2 * time.Second,
		Work: work, TakeReport: func(others workshare.Report, now time.Time) { set.TakeWork(others.Work, now) }, Feed: NewFeed("follower", belief, registry, work, ledger, requests), Kept: residency.NewHearer(ledger),
		Quarantine: requests, TakeHeld: func([]coordination.Entry) {},
	}
}

func TestAFollowerBelievesWhatItsReaderBelieves(t *testing.T) {
	belief := &catalog.Holder{}
	read := time.Now().Add(-500 * time.Millisecond)
	declaration := catalog.Declaration{Version: 7, Tenants: []catalog.TenantKeys{{Tenant: catalog.Tenant{HasPriority: true}, Keys: []string{"k"}}}}
	belief.Store(catalog.Advance(nil, catalog.Reading{SentAt: read, Declaration: &declaration, Weights: map[string]int64{"m": 3}}))
	registry := &fleet.Registry{Prefix: "nodes/", Name: "reader", Resized: func(int) {}}
	registry.ObserveNodes([]coordination.Entry{{Key: "nodes/reader/1", Value: []byte("a z")}, {Key: "nodes/follower/1"}}, time.Now())
	kept := residency.NewLedger()
	kept.Replace("store", []residency.Key{7})
	reader := &answering{feed: NewFeed("reader", belief, registry, workshare.New(func() workshare.Report {
		return workshare.Report{Work: []backend.Work{{Server: backend.ServerKey("i-1"), Running: 4}}}
	}), kept, quarantine.NewLedger())}
	reader.feed.take(wholeList([]backend.Server{{Instance: "i-1", Service: "s"}}, 1, time.Now()))
	follower := newFollower(&counting{}, reader)

	require.NoError(t, follower.ask(context.Background(), "reader", &telling{}))
	heard := follower.Belief.Load()
	require.Equal(t, int64(7), heard.Snapshot.Version)
	require.NotNil(t, heard.Snapshot.TenantOf("k"))
	require.Equal(t, int64(3), heard.Weights["m"].Newest())
	require.False(t, heard.AsOf.After(read), "the replica must not look newer than it is")
	require.WithinDuration(t, read, heard.AsOf, 400*time.Millisecond)
	require.Equal(t, 2, follower.Registry.Nodes())
	require.Equal(t, registry.Digest(), follower.Registry.Digest())
	candidates := follower.Set.Candidates(nil, backend.Query{Service: "s", Distance: func(string) int { return 0 }}, time.Now())
	require.Equal(t, 4, candidates[0].Running)

	disturbed := time.Now().Add(-100 * time.Millisecond)
	belief.Store(catalog.Disturb(belief.Load(), disturbed))
	require.NoError(t, follower.ask(context.Background(), "reader", &telling{}))
	require.WithinDuration(t, disturbed, follower.Belief.Load().Disturbed, 50*time.Millisecond)
	require.False(t, follower.Belief.Load().Disturbed.After(disturbed))
}

func TestAFollowerAsksTheStoreOnlyIfNoReaderTells(t *testing.T) {
	store := &counting{}
	follower := newFollower(store, &answering{lost: true})
	settleAs(follower.Registry, func(r *fleet.Registry) bool { return !r.Relaying() })
	believe := func(age time.Duration) {
		follower.Belief.Store(&catalog.Belief{Snapshot: follower.Belief.Load().Snapshot, AsOf: time.Now().Add(-age)})
	}
	follower.advance(catalog.Reading{Declaration: &catalog.Declaration{Version: 1}})
	follower.nodesAt.store(time.Now())
	believe(time.Second)
	require.False(t, follower.due(time.Now()), "the replica is still fresh")
	believe(1500 * time.Millisecond)
	require.True(t, follower.due(time.Now()))
	require.NoError(t, follower.read(context.Background()))
	require.False(t, follower.due(time.Now()))
	require.Equal(t, counting{declared: 1}, *store)
	follower.nodesAt.store(time.Now().Add(-2 * nodesInterval))
	believe(2 * time.Second)
	require.NoError(t, follower.read(context.Background()))
	require.Equal(t, counting{declared: 2, nodes: 1}, *store)
}

// bootstrapAs renames a node until it has the wanted role in a fleet of 30.
func settleAs(registry *fleet.Registry, fits func(*fleet.Registry) bool) {
	entries := []coordination.Entry{{}}
	for number := range 29 {
		entries = append(entries, coordination.Entry{Key: fmt.Sprint("nodes/node-", number, "/1"), Value: []byte(fmt.Sprint("address-", number))})
	}
	registry.Address = "own"
	for first := true; first || !fits(registry); first = false {
		registry.Name += "z"
		entries[0].Key = "nodes/" + registry.Name + "/old"
		registry.ObserveNodes(entries, time.Now())
	}
}

func TestARelayThatHearsNothingReadsAllForItsFollowers(t *testing.T) {
	store := &counting{}
	relay := newFollower(store, &answering{lost: true})
	settleAs(relay.Registry, func(r *fleet.Registry) bool { return r.Relaying() && !r.Reading() })
	relay.advance(catalog.Reading{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}})
	require.True(t, relay.due(time.Now()), "its followers need the servers too")
	require.NoError(t, relay.read(context.Background()))
	require.Equal(t, counting{observed: 1}, *store)
	require.False(t, relay.due(time.Now()))
}

// In normal operation only the first reader reads the store: the other roles become due later,
// by more than the age that polling adds.
func TestNodesAreDueOneAfterTheOther(t *testing.T) {
	parts := map[float64]func(*fleet.Registry) bool{
		firstReadPart: func(r *fleet.Registry) bool { return r.Rank() == 0 },
		otherReadPart: func(r *fleet.Registry) bool { return r.Rank() == 2 },
		relayPart:     func(r *fleet.Registry) bool { return r.Relaying() && !r.Reading() },
		followerPart:  func(r *fleet.Registry) bool { return !r.Relaying() },
	}
	for part, fits := range parts {
		node := newFollower(&counting{}, &answering{lost: true})
		settleAs(node.Registry, fits)
		require.Equal(t, part, node.part())
		sources := node.sources()
		switch {
		case part == firstReadPart:
			require.Len(t, sources, 2, "the first reader polls the others while it cannot read")
			node.listedAt.store(time.Now())
			node.advance(catalog.Reading{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}})
			require.Empty(t, node.sources())
		case part == otherReadPart:
			require.Len(t, sources, 2, "a reader polls the other readers")
		}
		if part > firstReadPart {
			require.Less(t, node.stale(), time.Duration(part*float64(node.Bound))+time.Millisecond, "another upstream is tried before the store")
		}
	}
}

// A follower applies servers, work and loads from an upstream whose replica is stale, but
// reports it as stale, since another upstream may have a newer one.
func TestAnOldBeliefIsToldFromOtherNews(t *testing.T) {
	belief := &catalog.Holder{}
	belief.Store(catalog.Advance(nil, catalog.Reading{SentAt: time.Now().Add(-time.Minute), Declaration: &catalog.Declaration{Version: 1}}))
	work := workshare.New(func() workshare.Report {
		return workshare.Report{Work: []backend.Work{{Server: backend.ServerKey("i-1"), Running: 4}}}
	})
	feed := NewFeed("relay", belief, &fleet.Registry{Resized: func(int) {}}, work, residency.NewLedger(), quarantine.NewLedger())
	feed.take(wholeList([]backend.Server{{Instance: "i-1", Service: "s"}}, 1, time.Now()))
	follower := newFollower(&counting{}, &answering{feed: feed})
	require.Equal(t, errStale, follower.ask(context.Background(), "relay", &telling{}))
	candidates := follower.Set.Candidates(nil, backend.Query{Service: "s", Distance: func(string) int { return 0 }}, time.Now())
	require.Equal(t, 4, candidates[0].Running)
	require.Equal(t, int64(1), follower.Belief.Load().Snapshot.Version)
}

// A list that another node read earlier must not bring back removed servers.
func TestAnOlderListOfAnotherNodeWaitsUntilItHasCaughtUp(t *testing.T) {
	begin := time.Unix(1000, 0)
	young, old := newFeed("young"), newFeed("old")
	both := []backend.Server{{Instance: "i-1", Revision: 1}, {Instance: "i-2", Revision: 2}}
	young.take(wholeList(both[:1], 3, begin))
	old.take(wholeList(both, 2, begin.Add(-time.Second)))
	own := newDirectory()
	ask := func(feed *Feed) bool {
		delta := feed.Answer(context.Background(), Question{Place: own.at})
		changed, gone := own.take(delta.listing(begin))
		return len(changed)+len(gone) > 0
	}
	require.True(t, ask(young))
	require.Len(t, own.servers, 1)
	require.False(t, ask(old))
	require.False(t, ask(old))
	old.take(wholeList([]backend.Server{both[0], {Instance: "i-3", Revision: 4}}, 4, begin.Add(time.Second)))
	require.True(t, ask(old))
	require.Len(t, own.servers, 2)
	require.Contains(t, own.servers, "i-3")
}

// After a poll that brought a roll-out change, the follower's next request must not match that
// change again: it would be answered at once, in a loop, until the list of servers changes.
func TestAFollowerIsUpToDateAfterEveryAnswer(t *testing.T) {
	belief := &catalog.Holder{}
	belief.Store(catalog.Advance(nil, catalog.Reading{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}}))
	feed := NewFeed("reader", belief, &fleet.Registry{Resized: func(int) {}}, workshare.New(func() workshare.Report { return workshare.Report{} }), residency.NewLedger(), quarantine.NewLedger())
	feed.take(wholeList([]backend.Server{{Instance: "i-1", Service: "s"}}, 1, time.Now()))
	follower := newFollower(&counting{}, &answering{feed: feed})
	require.NoError(t, follower.ask(context.Background(), "reader", &telling{}))
	feed.TakeLoads(backend.Loads{Mark: backend.LoadsMark{Fence: 1}, Loading: []backend.Load{{Instance: "i-1", Model: "m", Version: 2}}})
	require.NoError(t, follower.ask(context.Background(), "reader", &telling{}))
	question := follower.question("reader", &telling{})
	delta, _ := feed.since(question)
	require.Equal(t, question.Place, delta.Place, "there is nothing new")
	require.Nil(t, delta.Loads)
}

// Standby readers know the current leaders without reading the store.
func TestReadersHearOfDuties(t *testing.T) {
	registry := &fleet.Registry{Resized: func(int) {}}
	registry.ObserveDuties([]coordination.Entry{{Key: "holder", Revision: 4}}, time.Now())
	feed := NewFeed("first", &catalog.Holder{}, registry, workshare.New(func() workshare.Report { return workshare.Report{} }), residency.NewLedger(), quarantine.NewLedger())
	for part, fits := range map[string]func(*fleet.Registry) bool{
		"reader": func(r *fleet.Registry) bool { return r.Rank() == 1 },
		"relay":  func(r *fleet.Registry) bool { return r.Relaying() && !r.Reading() },
	} {
		node := newFollower(&counting{}, &answering{feed: feed})
		settleAs(node.Registry, fits)
		_ = node.ask(context.Background(), "first", &telling{})
		require.Equal(t, part == "reader", node.Registry.Exists("holder"))
		require.Equal(t, part == "reader", !node.Registry.FirstSeen("holder", coordination.Position{Revision: 4}).IsZero())
	}
}

func TestANodeThatStartsAgainAsksBeforeItKnowsItsPlace(t *testing.T) {
	node := newFollower(&counting{}, &answering{lost: true})
	require.Empty(t, node.sources(), "no other node is known")
	node.Registry.ObserveNodes([]coordination.Entry{{Key: "nodes/other/1", Value: []byte("address z")}}, time.Now())
	require.False(t, node.Registry.Settled())
	require.Equal(t, []string{"address"}, node.sources())
}

// An observation goes upstream with the next poll and downstream with the response to a waiting
// one.
func TestTheTimeToTellAllCountsTheWayUp(t *testing.T) {
	node := newFollower(&counting{}, &answering{lost: true})
	node.Registry.ObserveNodes([]coordination.Entry{{Key: "nodes/other/1", Value: []byte("address z")}}, time.Now())
	require.Equal(t, leastAskPause+transit, node.HearTime())
	require.Equal(t, askWait+2*(leastAskPause+transit), node.TellTime())
}

// recordingPeers records which nodes are polled.
type asked struct {
	answering
	addresses []string
}

func (a *asked) Ask(ctx context.Context, address string, question Question) (Delta, error) {
	a.addresses = append(a.addresses, address)
	return a.answering.Ask(ctx, address, question)
}

// A node that learns that it is a relay polls the first reader first, whichever node it polled
// before: the other readers receive changes later.
func TestARelayThatFindsItsPlaceAsksTheFirstReaderFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &asked{answering: answering{lost: true}}
		relay := newFollower(&counting{}, peers)
		relay.Registry.Name, relay.Registry.Address = "none yet", "own"
		relay.Registry.ObserveOldNodes([]coordination.Entry{{Key: "nodes/other/1", Value: []byte("other z")}, {Key: "nodes/third/1", Value: []byte("third z")}}, time.Now())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go relay.follow(ctx)
		time.Sleep(3 * idlePause / 2)
		synctest.Wait()
		require.Len(t, peers.addresses, 2, "both polls failed")
		settleAs(relay.Registry, func(r *fleet.Registry) bool { return r.Relaying() && !r.Reading() })
		peers.addresses = nil
		time.Sleep(idlePause)
		synctest.Wait()
		require.Equal(t, relay.Registry.ReaderAddresses()[0], peers.addresses[0])
	})
}

// An uninitialized node stays with its upstream and receives state as soon as that one does.
// After a restart of the whole fleet no node has state for a while, and a node that kept
// switching would wait at each upstream in turn.
func TestANodeThatKnowsNothingHearsAsSoonAsItsRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		belief := &catalog.Holder{}
		feed := NewFeed("relay", belief, &fleet.Registry{Resized: func(int) {}}, workshare.New(func() workshare.Report { return workshare.Report{} }), residency.NewLedger(), quarantine.NewLedger())
		peers := &waiting{feed: feed}
		node := newFollower(&counting{}, peers)
		node.Registry.ObserveOldNodes([]coordination.Entry{{Key: "nodes/other/1", Value: []byte("other z")}, {Key: "nodes/third/1", Value: []byte("third z")}}, time.Now())
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go node.follow(ctx)
		time.Sleep(2100 * time.Millisecond)
		require.Len(t, peers.addresses, 3, "it stays with its upstream")
		feed.take(wholeList([]backend.Server{{Instance: "i-1", Service: "s", Revision: 1}}, 1, time.Now()))
		belief.Store(catalog.Advance(nil, catalog.Reading{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}}))
		time.Sleep(time.Millisecond)
		require.Len(t, node.Set.Servers(time.Now()), 1)
		time.Sleep(leastAskPause)
		require.False(t, node.newcomer())
		require.Equal(t, map[string]bool{peers.addresses[0]: true}, peers.distinct())
	})
}

// longPollPeers answers polls of any address from one feed, once there are changes.
type waiting struct {
	feed      *Feed
	addresses []string
}

func (w *waiting) Ask(ctx context.Context, address string, question Question) (Delta, error) {
	w.addresses = append(w.addresses, address)
	return w.feed.Answer(ctx, question), nil
}

func (w *waiting) Group(context.Context, string, GroupQuestion) (Group, error) { return Group{}, nil }

func (w *waiting) distinct() map[string]bool {
	all := map[string]bool{}
	for _, address := range w.addresses {
		all[address] = true
	}
	return all
}

// Removed servers expire even if the list does not change any more.
func TestVanishedServersAreForgottenWithoutAnotherChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newFollower(&counting{}, &answering{lost: true})
		node.takeServers(wholeList([]backend.Server{{Instance: "i-1", Service: "s", Revision: 1}}, 1, time.Now()))
		node.takeServers(listing{gone: []string{"i-1"}, at: at(2), readAt: time.Now()})
		candidates := func() int {
			return len(node.Set.Candidates(nil, backend.Query{Service: "s", Distance: func(string) int { return 0 }}, time.Now()))
		}
		require.Equal(t, 1, candidates(), "a removed server is kept for a while, since its entry may be missing by mistake")
		time.Sleep(time.Minute)
		node.takeServers(listing{at: at(2), readAt: time.Now()})
		require.Zero(t, candidates())
	})
}
