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
	return NewFeed(name, &catalog.Holder{}, &fleet.Registry{}, workshare.New(func() workshare.Report { return workshare.Report{} }), residency.NewLedger(), quarantine.NewLedger())
}

// storeHistory is the list of servers in the shared store, with its past revisions.
type history struct {
	era      int64
	revision int64
	servers  map[string]backend.Server
	// snapshots holds the content at each past revision of this era.
	past map[int64]map[string]backend.Server
}

// at returns a position in a store that was never restored.
func at(revision int64) coordination.Position {
	return coordination.Position{Era: 1, Revision: revision}
}

// cursor returns the store's current position.
func (h *history) place() coordination.Position {
	return coordination.Position{Era: h.era, Revision: h.revision}
}

// restore takes the store back by some revisions, into a new era.
func (h *history) goBack(t *rapid.T) {
	h.past[h.revision] = maps.Clone(h.servers)
	h.era++
	h.revision = max(1, h.revision-rapid.Int64Range(0, 12).Draw(t, "back"))
	h.servers = maps.Clone(h.past[h.revision])
	maps.DeleteFunc(h.past, func(revision int64, _ map[string]backend.Server) bool { return revision > h.revision })
}

// change writes or removes a server.
func (h *history) change(t *rapid.T) {
	h.past[h.revision] = maps.Clone(h.servers)
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

func (h *history) list() []backend.Server {
	list := []backend.Server{}
	for _, server := range h.servers {
		list = append(list, server)
	}
	return list
}

// withoutRevisions returns servers with the revision cleared: rewriting the same entry is not a
// change.
func descriptions(servers map[string]*backend.Server) []backend.Server {
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
func TestANodeHasTheListUpToItsPlaceWhoeverItAsks(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		store := &history{era: 1, revision: 1, servers: map[string]backend.Server{}, past: map[int64]map[string]backend.Server{}}
		held := map[coordination.Position][]backend.Server{}
		feeds := []*Feed{newFeed("one"), newFeed("two")}
		own := newDirectory()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 7).Draw(t, "goes back") == 0 {
				store.goBack(t)
			} else {
				store.change(t)
			}
			plain := store.list()
			for i := range plain {
				plain[i].Revision = 0
			}
			held[store.place()] = plain
			feed := feeds[rapid.IntRange(0, 1).Draw(t, "feed")]
			if rapid.Bool().Draw(t, "reads") {
				feed.take(listing{whole: true, changed: store.list(), at: store.place(), readAt: time.Now()})
			}
			if rapid.Bool().Draw(t, "asks") {
				before := own.at
				delta := feed.Answer(context.Background(), Question{Place: own.place()})
				own.take(delta.listing(time.Now()))
				require.False(t, own.at.Before(before))
				require.False(t, delta.Whole && !before.IsZero() && !before.Before(feed.servers.forgotten), "the full list is sent only when needed")
				if own.differs {
					// That node missed a server that came and went between two of its reads.
					delta, _ := feed.since(Question{Place: own.place()})
					require.True(t, delta.Whole)
					own.take(delta.listing(time.Now()))
					require.False(t, own.differs)
				}
				if !own.at.IsZero() {
					require.ElementsMatch(t, held[own.at], descriptions(own.servers))
				}
			}
		}
	})
}

func TestABeatIsNoChange(t *testing.T) {
	feed := newFeed("one")
	list := []backend.Server{{Instance: "i-1", Revision: 1, Versions: map[string]int64{"m": 1}}}
	feed.take(wholeList(list, 1, time.Now()))
	feed.take(wholeList([]backend.Server{{Instance: "i-1", Revision: 2, Versions: map[string]int64{"m": 1}}}, 2, time.Now()))
	delta := feed.Answer(context.Background(), Question{Place: at(1)})
	require.False(t, delta.Whole)
	require.Empty(t, delta.Changed)
	require.Equal(t, at(2), delta.Place)
	feed.take(wholeList(nil, 3, time.Now()))
	require.Equal(t, []string{"i-1"}, feed.Answer(context.Background(), Question{Place: at(1), Wait: time.Hour}).Gone, "changes that are there are returned without waiting")
}

func TestWhoLoadsIsPassedOnOnce(t *testing.T) {
	feed := newFeed("one")
	loads := backend.Loads{Mark: backend.LoadsMark{Fence: 1, Sequence: 1}, Loading: []backend.Load{{Instance: "i-1", Model: "m", Version: 2}}}
	feed.TakeLoads(loads)
	delta := feed.Answer(context.Background(), Question{Wait: time.Hour})
	require.Equal(t, &loads, delta.Loads)
	require.Nil(t, feed.Answer(context.Background(), Question{Loads: delta.Loads.Mark}).Loads)
}

func TestAForgottenPastIsMadeUpForByTheWholeList(t *testing.T) {
	feed := newFeed("one")
	feed.take(wholeList([]backend.Server{{Instance: "stays", Revision: 1}}, 1, time.Now()))
	require.False(t, feed.Answer(context.Background(), Question{Place: at(1)}).Whole)
	for number := range int64(logKept + 1) {
		feed.take(listing{changed: []backend.Server{{Instance: fmt.Sprint("i-", number), Revision: 2 + number}}, at: at(2 + number), readAt: time.Now()})
	}
	require.True(t, feed.Answer(context.Background(), Question{Place: at(1)}).Whole)
	require.Len(t, feed.servers.log, logKept/2)
	require.False(t, feed.Answer(context.Background(), Question{Place: feed.servers.forgotten}).Whole)
}

// A node that switches upstreams receives the changes, not the full list.
func TestAnotherNodeGoesOnWhereTheOneBeforeEnded(t *testing.T) {
	one, two := newFeed("one"), newFeed("two")
	list := []backend.Server{{Instance: "i-1", Revision: 1}, {Instance: "i-2", Revision: 2}}
	one.take(wholeList(list, 2, time.Now()))
	two.take(wholeList(list, 2, time.Now()))
	place := one.Answer(context.Background(), Question{}).Place
	two.take(listing{changed: []backend.Server{{Instance: "i-3", Revision: 3}}, gone: []string{"i-1"}, at: at(4), readAt: time.Now()})
	delta := two.Answer(context.Background(), Question{Place: place})
	require.False(t, delta.Whole)
	require.Equal(t, "i-3", delta.Changed[0].Instance)
	require.Len(t, delta.Changed, 1)
	require.Equal(t, []string{"i-1"}, delta.Gone)
	require.Equal(t, at(4), delta.Place)
}
