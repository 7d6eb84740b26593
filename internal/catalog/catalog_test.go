package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestFindRoutePrefersLongestPrefix(t *testing.T) {
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

func TestTenantOfMatchesKey(t *testing.T) {
	snapshot := New(Declaration{Tenants: []TenantKeys{
		{Tenant: Tenant{Name: "one"}, Keys: []string{"k1", "k2"}},
		{Tenant: Tenant{Name: "two", Isolated: true}, Keys: []string{"k3"}},
	}})
	require.True(t, snapshot.RequiresKeys())
	require.Equal(t, "one", snapshot.TenantOf("k2").Name)
	require.True(t, snapshot.TenantOf("k3").Isolated)
	require.Nil(t, snapshot.TenantOf("k4"))
	require.Nil(t, snapshot.TenantOf(""))
}

func TestAdvanceIsMonotonic(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		var replica *Replica
		highest, newest, latest := int64(0), int64(0), time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "readings") {
			sent := start.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "sent")) * time.Millisecond)
			result := ReadResult{SentAt: sent, Weights: map[string]int64{"m": rapid.Int64Range(1, 9).Draw(t, "weights")}}
			if rapid.Bool().Draw(t, "changed") {
				result.Declaration = &Declaration{Version: rapid.Int64Range(1, 20).Draw(t, "version")}
				highest = max(highest, result.Declaration.Version)
			}
			newest = max(newest, result.Weights["m"])
			if sent.After(latest) {
				latest = sent
			}
			replica = Advance(replica, result)
			if highest > 0 {
				require.Equal(t, highest, replica.Snapshot.Version)
			}
			require.Equal(t, newest, replica.Weights["m"].Newest())
			require.Equal(t, latest, replica.AsOf)
		}
	})
}

func TestReleaseIsDatedByPrecedingRead(t *testing.T) {
	first := time.Unix(1000, 0)
	second := func(number int) time.Time { return first.Add(time.Duration(number) * time.Second) }
	replica := Advance(nil, ReadResult{SentAt: second(0), Weights: map[string]int64{"m": 1}})
	replica = Advance(replica, ReadResult{SentAt: second(1), Weights: map[string]int64{"m": 1}})
	replica = Advance(replica, ReadResult{SentAt: second(2), Weights: map[string]int64{"m": 2}})
	replica = Advance(replica, ReadResult{SentAt: second(5), Weights: map[string]int64{"m": 4}})
	releases := replica.Weights["m"]
	require.Equal(t, Releases{{Version: 1}, {Version: 2, UnreleasedAt: second(1)}, {Version: 4, UnreleasedAt: second(2)}}, releases)
	missing, found := releases.After(1)
	require.True(t, found)
	require.Equal(t, int64(2), missing.Version, "staleness counts from the first version that the server lacks")
	_, found = releases.After(4)
	require.False(t, found)
}

func TestRequiredIsNewestReleaseBeforeCutoff(t *testing.T) {
	first := time.Unix(1000, 0)
	second := func(number int) time.Time { return first.Add(time.Duration(number) * time.Second) }
	releases := Releases{{Version: 1}, {Version: 2, UnreleasedAt: second(10)}, {Version: 3, UnreleasedAt: second(14)}}
	require.Equal(t, int64(0), releases.Required(second(0), second(0)))
	require.Equal(t, int64(1), releases.Required(second(9), second(0)))
	require.Equal(t, int64(2), releases.Required(second(12), second(0)), "a newer release does not extend the deadline of the previous one")
	require.Equal(t, int64(3), releases.Required(second(15), second(0)))
}

func TestReleaseAfterEmptyReadHasUnknownDate(t *testing.T) {
	replica := Advance(nil, ReadResult{})
	replica = Advance(replica, ReadResult{SentAt: time.Unix(1000, 0), Weights: map[string]int64{"m": 3}})
	require.Zero(t, replica.Weights["m"][0].UnreleasedAt, "it may have been released long before")
	require.True(t, replica.Fresh(time.Unix(1001, 0), time.Second))
}

func TestDisruptionBeforeFirstReadIsKept(t *testing.T) {
	failedAt := time.Unix(1000, 0)
	replica := MarkDisrupted(nil, failedAt)
	require.NotNil(t, replica)
	replica = Advance(replica, ReadResult{SentAt: failedAt.Add(time.Second), Declaration: &Declaration{Version: 1}, Weights: map[string]int64{"m": 2}})
	require.Equal(t, failedAt, replica.DisruptedAt)
	require.True(t, replica.Weights["m"][0].UnreleasedAt.IsZero(), "the time of the release is unknown")
	require.Equal(t, failedAt.Add(time.Second), replica.AsOf)
}

// Guards against overload control of services whose requests all have the same priority.
func TestSharesPrioritiesComparesRoutesOfService(t *testing.T) {
	to := func(services ...string) (split []Share) {
		for _, service := range services {
			split = append(split, Share{Service: service, Weight: 1})
		}
		return split
	}
	snapshot := New(Declaration{Routes: []Route{
		{Name: "a", Priority: 0, Split: to("shared", "alone")},
		{Name: "b", Priority: 2, Split: to("shared")},
		{Name: "c", Priority: 1, Split: to("equal")},
		{Name: "d", Priority: 1, Split: to("equal")},
		{Name: "e", Priority: 3, Split: []Share{{Service: "equal", Weight: 0}}},
	}})
	require.True(t, snapshot.SharesPriorities("shared"))
	require.False(t, snapshot.SharesPriorities("alone"))
	require.False(t, snapshot.SharesPriorities("equal"), "a route with weight 0 sends nothing")
	require.False(t, snapshot.SharesPriorities("unknown"))
}
