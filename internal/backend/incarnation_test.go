package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/exchange"
)

// incarnationOf returns a server that started at a given time under a reused instance ID.
func lifeOf(born int64, versions map[string]int64) Server {
	return Server{Instance: "i", Born: born, Service: "s", Versions: versions}
}

func TestALifeKnowsNothingOfTheOneBefore(t *testing.T) {
	set := NewSet()
	first, second := lifeOf(1, map[string]int64{"m": 7}), lifeOf(2, map[string]int64{"m": 5})
	set.Update([]Server{first}, begin)
	running := send(set, first.Incarnation(), 100, begin)
	set.Notice("i", Notice{Leaving: true, Rest: time.Minute}, begin)
	set.Gone("i", begin)
	changes := set.Apply([]*Server{&second}, nil, begin)
	require.Equal(t, []Change{{Server: first, Gone: true}, {Server: second}}, changes)
	got := set.Candidates(nil, query, begin)
	require.Len(t, got, 1, "the former incarnation is unlisted")
	require.Equal(t, second.Incarnation(), got[0].Endpoint)
	require.Equal(t, "i", got[0].Epoch, "Epoch is the instance ID")
	require.EqualValues(t, 5, got[0].Version)
	require.Zero(t, got[0].InFlight+got[0].QueuedTokens)
	require.False(t, got[0].Leaving || got[0].Busy || got[0].Resting || got[0].RestLeft > 0)
	running.End(exchange.ResultUnreached, begin)
	require.False(t, set.Candidates(nil, query, begin)[0].Resting, "a failure of the former incarnation does not count against the new one")
	require.True(t, set.Ended(ServerKey(first.Incarnation()), begin))
	require.False(t, set.Ended(ServerKey(second.Incarnation()), begin))
	require.Equal(t, Notice{}, set.Notice(first.Incarnation(), Notice{Leaving: true}, begin), "a late answer of the former incarnation")
	require.False(t, set.Candidates(nil, query, begin)[0].Leaving)
}

func TestALateWordOfALifeThatIsOverChangesNothing(t *testing.T) {
	set := NewSet()
	first, second := lifeOf(1, map[string]int64{"m": 1}), lifeOf(2, map[string]int64{"m": 1})
	set.Update([]Server{second}, begin)
	require.Empty(t, set.Apply([]*Server{&first}, nil, begin))
	require.Equal(t, second.Incarnation(), set.Candidates(nil, query, begin)[0].Endpoint)
}

func TestALifeThatAnswersIsKnownBeforeTheListNamesIt(t *testing.T) {
	set := NewSet()
	first := lifeOf(1, map[string]int64{"m": 3})
	set.Update([]Server{first}, begin)
	set.Notice("i", Notice{Leaving: true}, begin)
	set.Begun(first, 2, map[string]int64{"m": 4}, begin)
	got := set.Candidates(nil, query, begin)
	require.Len(t, got, 1)
	require.EqualValues(t, 4, got[0].Version)
	require.False(t, got[0].Leaving)
	set.Load(Loads{Loaded: []Load{{Instance: "i", Model: "m", Version: 6}}}, begin)
	require.EqualValues(t, 6, set.Candidates(nil, query, begin)[0].Version, "the rollout names servers by instance ID")
}

func TestAPackedListTellsWhenServersStarted(t *testing.T) {
	list := []Server{lifeOf(5, map[string]int64{"m": 1}), {Instance: "j", Service: "s", Versions: map[string]int64{"m": 1}}}
	unpacked, err := Pack(list).Unpack()
	require.NoError(t, err)
	require.Equal(t, list, unpacked)
	require.Nil(t, Pack(list[1:]).Born, "omitted if no server reports its start time")
	broken := Pack(list)
	broken.Born = broken.Born[:1]
	_, err = broken.Unpack()
	require.Error(t, err)
}
