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

// subsetNames returns the names of the servers that follow a point on the ring.
func subsetNames(set *Set, point uint64, limit int) []string {
	query := Query{Service: "s", Distance: func(string) int { return 0 }, HashPoint: point, Limit: limit}
	var all []string
	for _, c := range set.Candidates(nil, query, begin) {
		all = append(all, c.Endpoint)
	}
	return all
}

// All nodes select the same subset for a point, in whatever order they learned of the servers,
// and adding or removing a server changes at most one member.
func TestRingSubsetIsConsistentAcrossNodes(t *testing.T) {
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
		point, limit := rapid.Uint64().Draw(t, "near"), rapid.IntRange(1, 20).Draw(t, "most")
		before := subsetNames(one, point, limit)
		require.Equal(t, before, subsetNames(other, point, limit))
		require.Len(t, before, min(limit, servers))
		require.ElementsMatch(t, subsetNames(one, point, 0), subsetNames(other, 0, 0), "all servers without a limit")
		if servers == 1 {
			return
		}
		left := rapid.SampledFrom(list).Draw(t, "left").Instance
		one.Apply(nil, []string{left}, begin)
		kept := 0
		for _, name := range subsetNames(one, point, limit) {
			if slices.Contains(before, name) {
				kept++
			}
		}
		require.GreaterOrEqual(t, kept, len(before)-1)
		require.NotContains(t, subsetNames(one, point, limit), left)
		one.Apply(nil, nil, begin.Add(unlistedRetention+time.Second))
		require.Len(t, one.servers, servers-1, "removed after the retention")
		require.Len(t, one.rings["s"], servers-1)
		require.Len(t, one.byKey, servers-1)
	})
}

// Guards against local state being allocated for servers that the node has not contacted.
func TestLocalStateIsAllocatedOnlyForContactedServers(t *testing.T) {
	set := newUniformSet(100, begin)
	send(set, "i-3", 10, begin)
	set.Gone("i-4", begin)
	require.Len(t, set.withLocalState, 2)
	require.Equal(t, []Work{{Server: ServerKey("i-3"), Running: 1, QueuedTokens: 10}}, set.Work(begin))
	require.Zero(t, emptyLocalState, "the shared empty state is not modified")
}

// If there are more engines than the limit, only the recently used ones are returned and
// counted.
func TestEnginesAboveLimitReturnsRecentlyUsed(t *testing.T) {
	set := NewSet()
	var list []Server
	for i := range 20 {
		list = append(list, Server{Instance: fmt.Sprint("i-", i), Service: "s", Versions: map[string]int64{"m": 1}})
	}
	list = append(list, Server{Instance: "plain", Service: "p"})
	set.Update(list, begin)
	send(set, "i-3", 0, begin)
	set.ApplyPeerWork([]Work{{Server: ServerKey("i-4"), Running: 1}, {Server: ServerKey("plain"), Running: 1}}, begin.Add(time.Second))
	check := func(limit, want int, now time.Time) {
		require.Len(t, set.Engines(limit, time.Minute, now), want)
		require.Equal(t, want, set.CountEngines(limit, time.Minute, now))
	}
	check(20, 20, begin)
	check(19, 2, begin.Add(time.Second))
	check(19, 1, begin.Add(time.Minute+time.Millisecond))
	check(19, 0, begin.Add(2*time.Minute))
	check(20, 20, begin.Add(2*time.Minute))
}

// Bounds the memory per server: each of hundreds of nodes keeps thousands of servers, of which
// it uses few.
func TestSetMemoryPerServer(t *testing.T) {
	const servers, mostEach = 10_000, 320
	var list []Server
	for i := range servers {
		list = append(list, Server{Instance: fmt.Sprintf("i-%010x", i), Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:8720", i/250, i%250), Zone: "a", Slots: 16, Versions: map[string]int64{"m": 1}})
	}
	list, err := Pack(list).Unpack()
	require.NoError(t, err)
	before := heapInUse()
	set := NewSet()
	set.Update(list, begin)
	bytesPerServer := (heapInUse() - before) / servers
	t.Logf("%d bytes per server", bytesPerServer)
	require.LessOrEqual(t, bytesPerServer, uint64(mostEach))
	runtime.KeepAlive(set)
}

// heapInUse returns the bytes of allocated heap objects after garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
