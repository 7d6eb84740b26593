package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	snapshot := New(Declaration{Routes: []Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/y/z/"},
	}})
	for path, expected := range map[string]string{"/x/y/z/1": "deep", "/x/1": "short", "/x": "all", "/xx/": "all"} {
		require.Equal(t, expected, snapshot.FindRoute("A.example:80", path).Name, path)
	}
	require.Nil(t, snapshot.FindRoute("c.example", "/x/"))
	require.Nil(t, snapshot.FindRoute("b.example", "/x/"))
}

func TestKeysBelongToTheirTenant(t *testing.T) {
	snapshot := New(Declaration{Tenants: []TenantKeys{
		{Tenant: Tenant{Name: "one"}, Keys: []string{"k1", "k2"}},
		{Tenant: Tenant{Name: "two", Isolated: true}, Keys: []string{"k3"}},
	}})
	require.True(t, snapshot.Keyed())
	require.Equal(t, "one", snapshot.TenantOf("k2").Name)
	require.True(t, snapshot.TenantOf("k3").Isolated)
	require.Nil(t, snapshot.TenantOf("k4"))
	require.Nil(t, snapshot.TenantOf(""))
}

func TestABeliefNeverGoesBack(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		begin := time.Unix(1000, 0)
		var belief *Belief
		highest, newest, latest := int64(0), int64(0), time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "readings") {
			sent := begin.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "sent")) * time.Millisecond)
			reading := Reading{SentAt: sent, Weights: map[string]int64{"m": rapid.Int64Range(1, 9).Draw(t, "weights")}}
			if rapid.Bool().Draw(t, "changed") {
				reading.Declaration = &Declaration{Version: rapid.Int64Range(1, 20).Draw(t, "version")}
				highest = max(highest, reading.Declaration.Version)
			}
			newest = max(newest, reading.Weights["m"])
			if sent.After(latest) {
				latest = sent
			}
			belief = Advance(belief, reading)
			if highest > 0 {
				require.Equal(t, highest, belief.Snapshot.Version)
			}
			require.Equal(t, newest, belief.Weights["m"].Newest())
			require.Equal(t, latest, belief.AsOf)
		}
	})
}

func TestANamingIsDatedByTheReadingBeforeIt(t *testing.T) {
	first := time.Unix(1000, 0)
	second := func(number int) time.Time { return first.Add(time.Duration(number) * time.Second) }
	belief := Advance(nil, Reading{SentAt: second(0), Weights: map[string]int64{"m": 1}})
	belief = Advance(belief, Reading{SentAt: second(1), Weights: map[string]int64{"m": 1}})
	belief = Advance(belief, Reading{SentAt: second(2), Weights: map[string]int64{"m": 2}})
	belief = Advance(belief, Reading{SentAt: second(5), Weights: map[string]int64{"m": 4}})
	namings := belief.Weights["m"]
	require.Equal(t, Namings{{Version: 1}, {Version: 2, NotNamedAt: second(1)}, {Version: 4, NotNamedAt: second(2)}}, namings)
	lacks, found := namings.After(1)
	require.True(t, found)
	require.Equal(t, int64(2), lacks.Version, "staleness counts from the first version that the server lacks")
	_, found = namings.After(4)
	require.False(t, found)
}

func TestAServerMayNotServeWhatWasReplacedTooLongAgo(t *testing.T) {
	first := time.Unix(1000, 0)
	second := func(number int) time.Time { return first.Add(time.Duration(number) * time.Second) }
	namings := Namings{{Version: 1}, {Version: 2, NotNamedAt: second(10)}, {Version: 3, NotNamedAt: second(14)}}
	require.Equal(t, int64(0), namings.Required(second(0), second(0)))
	require.Equal(t, int64(1), namings.Required(second(9), second(0)))
	require.Equal(t, int64(2), namings.Required(second(12), second(0)), "a newer release does not extend the deadline of the previous one")
	require.Equal(t, int64(3), namings.Required(second(15), second(0)))
}

func TestAReadingOfNothingDatesNothing(t *testing.T) {
	belief := Advance(nil, Reading{})
	belief = Advance(belief, Reading{SentAt: time.Unix(1000, 0), Weights: map[string]int64{"m": 3}})
	require.Zero(t, belief.Weights["m"][0].NotNamedAt, "it may have been released long before")
	require.True(t, belief.Fresh(time.Unix(1001, 0), time.Second))
}

func TestAnOutageBeforeTheFirstReadingIsRemembered(t *testing.T) {
	failedAt := time.Unix(1000, 0)
	belief := Disturb(nil, failedAt)
	require.NotNil(t, belief)
	belief = Advance(belief, Reading{SentAt: failedAt.Add(time.Second), Declaration: &Declaration{Version: 1}, Weights: map[string]int64{"m": 2}})
	require.Equal(t, failedAt, belief.Disturbed)
	require.True(t, belief.Weights["m"][0].NotNamedAt.IsZero(), "the time of the release is unknown")
	require.Equal(t, failedAt.Add(time.Second), belief.AsOf)
}
