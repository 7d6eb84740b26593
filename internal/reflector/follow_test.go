package reflector

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// answering is a fleet of one reader that answers from its feed, or not at all.
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

func (a *answering) Group(context.Context, string, residency.Place) (Group, error) {
	return Group{}, nil
}

// counting is a store that counts readings.
type counting struct{ declared, fleet int }

func (c *counting) Observe(context.Context) (Observation, error) { return Observation{}, nil }
func (c *counting) Declared(context.Context) (catalog.Reading, error) {
	c.declared++
	return catalog.Reading{SentAt: time.Now()}, nil
}
func (c *counting) Fleet(context.Context) ([]coordination.Entry, error) {
	c.fleet++
	return nil, nil
}

// newFollower returns a reflector of a node that is no reader.
func newFollower(source Source, peers Peers) *Reflector {
	registry := &fleet.Registry{Prefix: "nodes/", Name: "follower", Resized: func(int) {}}
	belief, set := &catalog.Holder{}, backend.NewSet()
	work := workshare.New(func() []backend.Work { return nil })
	ledger := residency.NewLedger()
	return &Reflector{
		Source: source, Peers: peers, Belief: belief, Set: set, Registry: registry, Recorder: silent{}, Interval: time.Second,
		Work: work, Feed: NewFeed("follower", belief, registry, work, ledger), Kept: residency.NewHearer(ledger),
	}
}

func TestAFollowerBelievesWhatItsReaderBelieves(t *testing.T) {
	belief := &catalog.Holder{}
	read := time.Now().Add(-500 * time.Millisecond)
	declaration := catalog.Declaration{Version: 7, Tenants: []catalog.TenantKeys{{Tenant: catalog.Tenant{HasPriority: true}, Keys: []string{"k"}}}}
	belief.Store(catalog.Advance(nil, catalog.Reading{SentAt: read, Declaration: &declaration, Weights: map[string]int64{"m": 3}}))
	registry := &fleet.Registry{Prefix: "nodes/", Name: "reader", Resized: func(int) {}}
	registry.Observe([]coordination.Entry{{Key: "nodes/reader/1", Value: []byte("a z")}, {Key: "nodes/follower/1"}}, time.Now())
	kept := residency.NewLedger()
	kept.Replace("store", []residency.Key{7})
	reader := &answering{feed: NewFeed("reader", belief, registry, workshare.New(func() []backend.Work {
		return []backend.Work{{Server: backend.ServerKey("i-1"), Running: 4}}
	}), kept)}
	reader.feed.Take([]backend.Server{{Instance: "i-1", Service: "s"}}, time.Now())
	follower := newFollower(&counting{}, reader)

	require.True(t, follower.ask(context.Background(), "reader", &Copy{}))
	heard := follower.Belief.Load()
	require.Equal(t, int64(7), heard.Snapshot.Version)
	require.NotNil(t, heard.Snapshot.TenantOf("k"))
	require.Equal(t, int64(3), heard.Weights["m"].Newest())
	require.False(t, heard.AsOf.After(read), "it is not taken to be newer than it is")
	require.WithinDuration(t, read, heard.AsOf, 400*time.Millisecond)
	require.Equal(t, 2, follower.Registry.Nodes())
	require.Equal(t, registry.Digest(), follower.Registry.Digest())
	candidates := follower.Set.Candidates(nil, backend.Query{Service: "s", Distance: func(string) int { return 0 }}, time.Now())
	require.Equal(t, 4, candidates[0].Running)

	disturbed := time.Now().Add(-100 * time.Millisecond)
	belief.Store(catalog.Disturb(belief.Load(), disturbed))
	require.True(t, follower.ask(context.Background(), "reader", &Copy{}))
	require.WithinDuration(t, disturbed, follower.Belief.Load().Disturbed, 50*time.Millisecond)
	require.False(t, follower.Belief.Load().Disturbed.After(disturbed))
}

func TestAFollowerAsksTheStoreOnlyIfNoReaderTells(t *testing.T) {
	store := &counting{}
	follower := newFollower(store, &answering{lost: true})
	now := time.Now()
	// It is settled, and ten others come before it.
	entries := []coordination.Entry{{Key: "nodes/follower/old"}}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p"} {
		entries = append(entries, coordination.Entry{Key: "nodes/" + name + "/1"})
	}
	follower.Registry.Name = "z" // by its hash it is no reader among these
	for rank := 0; rank < Readers; rank = follower.Registry.Rank() {
		follower.Registry.Name += "z"
		entries[0].Key = "nodes/" + follower.Registry.Name + "/old"
		follower.Registry.Observe(entries, now)
	}
	require.False(t, follower.Reads())
	follower.fleetAt.store(now)
	follower.advance(catalog.Reading{SentAt: now.Add(-time.Second), Declaration: &catalog.Declaration{Version: 1}})
	require.NoError(t, follower.read(context.Background()))
	require.Zero(t, store.declared, "what a reader told is young enough")
	follower.Belief.Store(&catalog.Belief{Snapshot: follower.Belief.Load().Snapshot, AsOf: now.Add(-2 * time.Second)})
	require.NoError(t, follower.read(context.Background()))
	require.Equal(t, 1, store.declared)
	require.Zero(t, store.fleet)
	follower.fleetAt.store(now.Add(-2 * fleetInterval))
	follower.Belief.Store(&catalog.Belief{Snapshot: follower.Belief.Load().Snapshot, AsOf: now.Add(-2 * time.Second)})
	require.NoError(t, follower.read(context.Background()))
	require.Equal(t, 1, store.fleet)
}

// A follower that does not know where a change of the roll-out stands asks again at
// once, for as long as the list of servers stays as it is.
func TestAFollowerIsUpToDateAfterEveryAnswer(t *testing.T) {
	belief := &catalog.Holder{}
	belief.Store(catalog.Advance(nil, catalog.Reading{SentAt: time.Now(), Declaration: &catalog.Declaration{Version: 1}}))
	feed := NewFeed("reader", belief, &fleet.Registry{Resized: func(int) {}}, workshare.New(func() []backend.Work { return nil }), residency.NewLedger())
	feed.Take([]backend.Server{{Instance: "i-1", Service: "s"}}, time.Now())
	follower := newFollower(&counting{}, &answering{feed: feed})
	copied := &Copy{}
	require.True(t, follower.ask(context.Background(), "reader", copied))
	feed.TakeLoads(backend.Loads{Loading: []backend.Load{{Instance: "i-1", Model: "m", Version: 2}}})
	require.True(t, follower.ask(context.Background(), "reader", copied))
	delta, _ := feed.since(copied.Question(0))
	require.Equal(t, copied.place, delta.Place, "there is nothing that it lacks")
	require.Nil(t, delta.Loads)
}
