package reflector

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/property"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// newFeed returns a feed of a node that believes nothing and has no work.
func newFeed(name string) *Feed {
	return NewFeed(name, &catalog.Holder{}, &fleet.Registry{}, workshare.New(func() workshare.Report { return workshare.Report{} }), residency.NewLedger(), quarantine.NewLedger())
}

func TestACopyEqualsTheListWhateverItMissed(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		feeds := []*Feed{newFeed("one"), newFeed("two")}
		copied := &Copy{}
		var got []backend.Server
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			list := []backend.Server{}
			for number := range 8 {
				if rapid.Bool().Draw(t, "present") {
					version := rapid.Int64Range(1, 3).Draw(t, "version")
					list = append(list, backend.Server{
						Instance: fmt.Sprint("i-", number), Draining: rapid.Bool().Draw(t, "draining"), Versions: map[string]int64{"m": version},
					})
				}
			}
			feed := feeds[rapid.IntRange(0, 1).Draw(t, "feed")]
			feed.Take(list, time.Now())
			if rapid.IntRange(0, 2).Draw(t, "asks") == 0 {
				if whole, changed := copied.Apply(feed.Answer(context.Background(), copied.Question(0)), time.Now()); changed {
					got = whole
				}
				require.ElementsMatch(t, list, got)
			}
		}
	})
}

func TestABeatIsNoChange(t *testing.T) {
	feed := newFeed("one")
	list := []backend.Server{{Instance: "i-1", Versions: map[string]int64{"m": 1}}}
	feed.Take(list, time.Now())
	copied := &Copy{}
	copied.Apply(feed.Answer(context.Background(), copied.Question(0)), time.Now())
	feed.Take(list, time.Now())
	delta := feed.Answer(context.Background(), copied.Question(0))
	require.False(t, delta.Whole)
	require.Empty(t, delta.Changed)
	feed.Take(nil, time.Now())
	require.Equal(t, []string{"i-1"}, feed.Answer(context.Background(), copied.Question(time.Hour)).Gone, "it does not wait for what is there")
}

func TestWhoLoadsIsPassedOnOnce(t *testing.T) {
	feed := newFeed("one")
	copied := &Copy{}
	copied.Apply(feed.Answer(context.Background(), copied.Question(0)), time.Now())
	loads := backend.Loads{Mark: backend.LoadsMark{Fence: 1, Sequence: 1}, Loading: []backend.Load{{Instance: "i-1", Model: "m", Version: 2}}}
	feed.TakeLoads(loads)
	delta := feed.Answer(context.Background(), copied.Question(time.Hour))
	require.Equal(t, &loads, delta.Loads)
	copied.Apply(delta, time.Now())
	require.Nil(t, feed.Answer(context.Background(), copied.Question(0)).Loads)
}

func TestAForgottenPastIsMadeUpForByTheWholeList(t *testing.T) {
	feed := newFeed("one")
	copied := &Copy{}
	copied.Apply(feed.Answer(context.Background(), copied.Question(0)), time.Now())
	many := []backend.Server{}
	for number := range goneKept + 1 {
		many = append(many, backend.Server{Instance: fmt.Sprint("i-", number)})
	}
	feed.Take(many, time.Now())
	feed.Take(nil, time.Now())
	require.True(t, feed.Answer(context.Background(), copied.Question(0)).Whole)
}
