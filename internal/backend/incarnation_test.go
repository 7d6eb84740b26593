package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/exchange"
)

// incarnationOf returns a server that started at a given time under a reused instance ID.
func incarnationOf(born int64, versions map[string]int64) Server {
	return Server{Instance: "i", Born: born, Service: "s", Versions: versions}
}

func TestNewIncarnationInheritsNoState(t *testing.T) {
	set := NewSet()
	first, second := incarnationOf(1, map[string]int64{"m": 7}), incarnationOf(2, map[string]int64{"m": 5})
	set.Update([]Server{first}, begin)
	running := send(set, first.Incarnation(), 100, begin)
	set.Notice("i", Notice{Leaving: true, RetryAfter: time.Minute}, begin)
	set.Gone("i", begin)
	changes := set.Apply([]*Server{&second}, nil, begin)
	require.Equal(t, []Change{{Server: first, Gone: true}, {Server: second}}, changes)
	got := set.Candidates(nil, query, begin)
	require.Len(t, got, 1, "the former incarnation is unlisted")
	require.Equal(t, second.Incarnation(), got[0].Endpoint)
	require.Equal(t, "i", got[0].Epoch, "Epoch is the instance ID")
	require.EqualValues(t, 5, got[0].Version)
	require.Zero(t, got[0].InFlight+got[0].QueuedTokens)
	require.False(t, got[0].Leaving || got[0].Busy || got[0].BreakerOpen || got[0].BackoffLeft > 0)
	running.End(exchange.ResultUnreached, begin)
	require.False(t, set.Candidates(nil, query, begin)[0].BreakerOpen, "a failure of the former incarnation does not count against the new one")
	require.True(t, set.Terminated(ServerKey(first.Incarnation()), begin))
	require.False(t, set.Terminated(ServerKey(second.Incarnation()), begin))
	require.Equal(t, Notice{}, set.Notice(first.Incarnation(), Notice{Leaving: true}, begin), "a late answer of the former incarnation")
	require.False(t, set.Candidates(nil, query, begin)[0].Leaving)
}

func TestStaleIncarnationIsIgnored(t *testing.T) {
	set := NewSet()
	first, second := incarnationOf(1, map[string]int64{"m": 1}), incarnationOf(2, map[string]int64{"m": 1})
	set.Update([]Server{second}, begin)
	require.Empty(t, set.Apply([]*Server{&first}, nil, begin))
	require.Equal(t, second.Incarnation(), set.Candidates(nil, query, begin)[0].Endpoint)
}

func TestObservedRestartPrecedesServerList(t *testing.T) {
	set := NewSet()
	first := incarnationOf(1, map[string]int64{"m": 3})
	set.Update([]Server{first}, begin)
	set.Notice("i", Notice{Leaving: true}, begin)
	set.ObserveRestart(first, 2, map[string]int64{"m": 4}, begin)
	got := set.Candidates(nil, query, begin)
	require.Len(t, got, 1)
	require.EqualValues(t, 4, got[0].Version)
	require.False(t, got[0].Leaving)
	set.SetLoads(Loads{Loaded: []Load{{Instance: "i", Model: "m", Version: 6}}}, begin)
	require.EqualValues(t, 6, set.Candidates(nil, query, begin)[0].Version, "the rollout names servers by instance ID")
}

func TestPackedListKeepsStartTimes(t *testing.T) {
	list := []Server{incarnationOf(5, map[string]int64{"m": 1}), {Instance: "j", Service: "s", Versions: map[string]int64{"m": 1}}}
	unpacked, err := Pack(list).Unpack()
	require.NoError(t, err)
	require.Equal(t, list, unpacked)
	require.Nil(t, Pack(list[1:]).Born, "omitted if no server reports its start time")
	broken := Pack(list)
	broken.Born = broken.Born[:1]
	_, err = broken.Unpack()
	require.Error(t, err)
}
