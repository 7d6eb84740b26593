package reflector

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/property"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// newFeed returns the feed of a node without state or work.
func newFeed(name string) *Feed {
	return NewFeed(name, &catalog.AtomicReplica{}, &fleet.Registry{}, workshare.New(func() workshare.Report { return workshare.Report{} }), residency.NewLedger(), quarantine.NewLedger())
}

// storeHistory is the list of servers in the shared store, with its past revisions.
type storeHistory struct {
	era      int64
	revision int64
	servers  map[string]backend.Server
	// snapshots holds the content at each past revision of this era.
	snapshots map[int64]map[string]backend.Server
}

// at returns a position in a store that was never restored.
func at(revision int64) coordination.Position {
	return coordination.Position{Era: coordination.EraOf(1), Revision: revision}
}

// cursor returns the store's current position.
func (h *storeHistory) cursor() coordination.Position {
	return coordination.Position{Era: coordination.EraOf(h.era), Revision: h.revision}
}

// restore takes the store back by some revisions, into a new era.
func (h *storeHistory) restore(t *rapid.T) {
	h.snapshots[h.revision] = maps.Clone(h.servers)
	h.era++
	h.revision = max(1, h.revision-rapid.Int64Range(0, 12).Draw(t, "back"))
	h.servers = maps.Clone(h.snapshots[h.revision])
	maps.DeleteFunc(h.snapshots, func(revision int64, _ map[string]backend.Server) bool { return revision > h.revision })
}

// change writes or removes a server.
func (h *storeHistory) change(t *rapid.T) {
	h.snapshots[h.revision] = maps.Clone(h.servers)
	h.revision++
	instance := fmt.Sprint("i-", rapid.IntRange(0, 7).Draw(t, "server"))
	if rapid.Bool().Draw(t, "leaves") {
		delete(h.servers, instance)
		return
	}
	created := h.revision
	if known, found := h.servers[instance]; found {
		created = known.Created
	}
	h.servers[instance] = backend.Server{
		Instance: instance, Draining: rapid.Bool().Draw(t, "draining"), Revision: h.revision, Created: created,
		Versions: map[string]int64{"m": rapid.Int64Range(1, 3).Draw(t, "version")},
	}
}

func (h *storeHistory) list() []backend.Server {
	list := []backend.Server{}
	for _, server := range h.servers {
		list = append(list, server)
	}
	return list
}

// withoutRevisions returns servers with the revision cleared: rewriting the same entry is not a
// change.
func withoutRevisions(servers map[string]*backend.Server) []backend.Server {
	list := []backend.Server{}
	for _, server := range servers {
		plain := *server
		plain.Revision = 0
		list = append(list, plain)
	}
	return list
}

// Whichever of two nodes it polls, and whatever these missed, a node's list is that of the store
// at its position, its position never goes back, and it receives the full list only at first.
// This holds across restores of the store too.
func TestServerListMatchesStoreAtItsPosition(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		store := &storeHistory{era: 1, revision: 1, servers: map[string]backend.Server{}, snapshots: map[int64]map[string]backend.Server{}}
		expected := map[coordination.Position][]backend.Server{}
		feeds := []*Feed{newFeed("one"), newFeed("two")}
		own := newServerList()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 7).Draw(t, "goes back") == 0 {
				store.restore(t)
			} else {
				store.change(t)
			}
			plain := store.list()
			for i := range plain {
				plain[i].Revision = 0
			}
			expected[store.cursor()] = plain
			feed := feeds[rapid.IntRange(0, 1).Draw(t, "feed")]
			if rapid.Bool().Draw(t, "reads") {
				feed.apply(serverUpdate{whole: true, changed: store.list(), position: store.cursor(), readAt: time.Now()})
			}
			if rapid.Bool().Draw(t, "asks") {
				before := own.position
				delta := feed.Respond(context.Background(), PollRequest{Place: own.cursor()})
				own.apply(delta.serverUpdate(time.Now()))
				require.False(t, own.position.Before(before))
				require.False(t, delta.Whole && !before.IsZero() && !before.Before(feed.servers.compactedTo), "the full list is sent only when needed")
				if own.diverged {
					// That node missed a server that came and went between two of its reads.
					delta, _ := feed.changesSince(PollRequest{Place: own.cursor()})
					require.True(t, delta.Whole)
					own.apply(delta.serverUpdate(time.Now()))
					require.False(t, own.diverged)
				}
				if !own.position.IsZero() {
					require.ElementsMatch(t, expected[own.position], withoutRevisions(own.servers))
				}
			}
		}
	})
}

func TestUnchangedRewriteIsNotPropagated(t *testing.T) {
	feed := newFeed("one")
	list := []backend.Server{{Instance: "i-1", Revision: 1, Versions: map[string]int64{"m": 1}}}
	feed.apply(fullUpdate(list, 1, time.Now()))
	feed.apply(fullUpdate([]backend.Server{{Instance: "i-1", Revision: 2, Versions: map[string]int64{"m": 1}}}, 2, time.Now()))
	delta := feed.Respond(context.Background(), PollRequest{Place: at(1)})
	require.False(t, delta.Whole)
	require.Empty(t, delta.Changed)
	require.Equal(t, at(2), delta.Place)
	feed.apply(fullUpdate(nil, 3, time.Now()))
	require.Equal(t, []string{"i-1"}, feed.Respond(context.Background(), PollRequest{Place: at(1), Wait: time.Hour}).Gone, "changes that are there are returned without waiting")
}

func TestRolloutStateIsSentOnce(t *testing.T) {
	feed := newFeed("one")
	loads := backend.Loads{Mark: backend.LoadsMark{Fence: 1, Sequence: 1}, Loading: []backend.Load{{Instance: "i-1", Model: "m", Version: 2}}}
	feed.ApplyLoads(loads)
	delta := feed.Respond(context.Background(), PollRequest{Wait: time.Hour})
	require.Equal(t, &loads, delta.Loads)
	require.Nil(t, feed.Respond(context.Background(), PollRequest{Loads: delta.Loads.Mark}).Loads)
}

func TestCompactedCursorGetsFullList(t *testing.T) {
	feed := newFeed("one")
	feed.apply(fullUpdate([]backend.Server{{Instance: "stays", Revision: 1}}, 1, time.Now()))
	require.False(t, feed.Respond(context.Background(), PollRequest{Place: at(1)}).Whole)
	for number := range int64(maxLogEntries + 1) {
		feed.apply(serverUpdate{changed: []backend.Server{{Instance: fmt.Sprint("i-", number), Revision: 2 + number}}, position: at(2 + number), readAt: time.Now()})
	}
	require.True(t, feed.Respond(context.Background(), PollRequest{Place: at(1)}).Whole)
	require.Len(t, feed.servers.log, maxLogEntries/2)
	require.False(t, feed.Respond(context.Background(), PollRequest{Place: feed.servers.compactedTo}).Whole)
}

// A node that switches upstreams receives the changes, not the full list.
func TestCursorIsValidAcrossUpstreams(t *testing.T) {
	one, two := newFeed("one"), newFeed("two")
	list := []backend.Server{{Instance: "i-1", Revision: 1}, {Instance: "i-2", Revision: 2}}
	one.apply(fullUpdate(list, 2, time.Now()))
	two.apply(fullUpdate(list, 2, time.Now()))
	cursor := one.Respond(context.Background(), PollRequest{}).Place
	two.apply(serverUpdate{changed: []backend.Server{{Instance: "i-3", Revision: 3}}, gone: []string{"i-1"}, position: at(4), readAt: time.Now()})
	delta := two.Respond(context.Background(), PollRequest{Place: cursor})
	require.False(t, delta.Whole)
	require.Equal(t, "i-3", delta.Changed[0].Instance)
	require.Len(t, delta.Changed, 1)
	require.Equal(t, []string{"i-1"}, delta.Gone)
	require.Equal(t, at(4), delta.Place)
}

// Guards against two nodes that keep different records of software versions: one has not seen the versions in
// between, and has the same ones as before as of a later position.
func TestLatestSoftwareRecordReachesFollower(t *testing.T) {
	record := func(revision int64, versions ...string) backend.SoftwareRecord {
		return backend.SoftwareRecord{Versions: backend.SoftwareVersions{"s": versions}, Revision: revision, AsOf: at(revision)}
	}
	upstream := newFollower(&countingSource{}, nil)
	follower := newFollower(&countingSource{}, &feedPeers{feed: upstream.Feed})
	poll := func() { _ = follower.poll(context.Background(), "upstream", &suspicionExchange{}) }
	poll()
	require.Nil(t, follower.Set.SoftwareRecord())
	upstream.ApplySoftware(record(1, "v1"))
	poll()
	require.Equal(t, []string{"v1"}, follower.Set.SoftwareRecord().Versions["s"])
	follower.ApplySoftware(record(2, "v1", "v2"))
	poll()
	require.Equal(t, []string{"v1", "v2"}, follower.Set.SoftwareRecord().Versions["s"], "the upstream's record is older")
	upstream.ApplySoftware(record(3, "v1"))
	poll()
	require.Equal(t, []string{"v1"}, follower.Set.SoftwareRecord().Versions["s"])
	request := follower.request("upstream", &suspicionExchange{})
	require.Nil(t, upstream.Feed.softwareFor(request), "the same record is not sent again")
	request.Software = 0
	require.Nil(t, upstream.Feed.softwareFor(request), "a former build is sent none")
}
