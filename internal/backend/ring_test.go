package backend

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// names returns the instances of the servers near a point.
func names(set *Set, near uint64, most int) []string {
	query := Query{Service: "s", Distance: func(string) int { return 0 }, Near: near, Most: most}
	var all []string
	for _, c := range set.Candidates(nil, query, begin) {
		all = append(all, c.Endpoint)
	}
	return all
}

// All nodes find the same servers near a point, whatever each has heard of them in which
// order, and a server that comes or goes changes at most one of them.
func TestAllNodesFindTheSameServersNearAPoint(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 60).Draw(t, "servers")
		var list []Server
		for i := range servers {
			list = append(list, Server{Instance: fmt.Sprint("i-", i), Service: "s"})
		}
		one, other := NewSet(), NewSet()
		one.Update(list, begin)
		for _, server := range rapid.Permutation(list).Draw(t, "order") {
			other.Apply([]*Server{&server}, nil, begin)
		}
		near, most := rapid.Uint64().Draw(t, "near"), rapid.IntRange(1, 20).Draw(t, "most")
		before := names(one, near, most)
		require.Equal(t, before, names(other, near, most))
		require.Len(t, before, min(most, servers))
		require.ElementsMatch(t, names(one, near, 0), names(other, 0, 0), "without a bound, all are found")
		if servers == 1 {
			return
		}
		left := rapid.SampledFrom(list).Draw(t, "left").Instance
		one.Apply(nil, []string{left}, begin)
		kept := 0
		for _, name := range names(one, near, most) {
			if slices.Contains(before, name) {
				kept++
			}
		}
		require.GreaterOrEqual(t, kept, len(before)-1)
		require.NotContains(t, names(one, near, most), left)
		one.Apply(nil, nil, begin.Add(unlistedLife+time.Second))
		require.Len(t, one.servers, servers-1, "it is forgotten")
		require.Len(t, one.rings["s"], servers-1)
		require.Len(t, one.byKey, servers-1)
	})
}

// What a node has had to do with servers is kept for those alone.
func TestANodeRemembersItsDealingsWithFewServers(t *testing.T) {
	set := alike(100, begin)
	send(set, "i-3", 10, begin)
	set.Gone("i-4", begin)
	require.Len(t, set.dealt, 2)
	require.Equal(t, []Work{{Server: ServerKey("i-3"), Running: 1, QueuedTokens: 10}}, set.Work(begin))
	require.Zero(t, none, "what is shared is not changed")
}

// Of more engines than are wanted, those that were used of late are returned and counted.
func TestOfManyEnginesThoseInUseAreReturned(t *testing.T) {
	set := NewSet()
	var list []Server
	for i := range 20 {
		list = append(list, Server{Instance: fmt.Sprint("i-", i), Service: "s", Versions: map[string]int64{"m": 1}})
	}
	list = append(list, Server{Instance: "plain", Service: "p"})
	set.Update(list, begin)
	send(set, "i-3", 0, begin)
	set.TakeWork([]Work{{Server: ServerKey("i-4"), Running: 1}, {Server: ServerKey("plain"), Running: 1}}, begin.Add(time.Second))
	check := func(most, want int, now time.Time) {
		require.Len(t, set.Engines(most, time.Minute, now), want)
		require.Equal(t, want, set.CountEngines(most, time.Minute, now))
	}
	check(20, 20, begin)
	check(19, 2, begin.Add(time.Second))
	check(19, 1, begin.Add(time.Minute+time.Millisecond))
	check(19, 0, begin.Add(2*time.Minute))
	check(20, 20, begin.Add(2*time.Minute))
}

// The memory of a set grows by at most so many bytes a server, since hundreds of nodes keep
// thousands of servers of which they use few.
func TestASetOfManyServersIsSmall(t *testing.T) {
	const servers, mostEach = 10_000, 320
	var list []Server
	for i := range servers {
		list = append(list, Server{Instance: fmt.Sprintf("i-%010x", i), Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:8720", i/250, i%250), Zone: "a", Slots: 16, Versions: map[string]int64{"m": 1}})
	}
	list, err := Pack(list).Unpack()
	require.NoError(t, err)
	before := heap()
	set := NewSet()
	set.Update(list, begin)
	each := (heap() - before) / servers
	t.Logf("%d bytes a server", each)
	require.LessOrEqual(t, each, uint64(mostEach))
	runtime.KeepAlive(set)
}

// heap is the bytes in use.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
