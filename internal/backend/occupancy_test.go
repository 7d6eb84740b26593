package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/routing"
)

func TestAnswerAgeIsReportedFor2Seconds(t *testing.T) {
	set := newUniformSet(2, begin)
	attempt := send(set, "i-0", 0, begin)
	require.Zero(t, set.Work(begin)[0].AnswerAge)
	attempt.ResponseStarted(begin)
	require.Equal(t, time.Duration(1), set.Work(begin)[0].AnswerAge, "0 means that there was no answer")
	attempt.End(exchange.ResultServed, begin.Add(time.Second))
	require.Equal(t, []Work{{Server: ServerKey("i-0"), AnswerAge: 500 * time.Millisecond}}, set.Work(begin.Add(1500*time.Millisecond)))
	require.Empty(t, set.Work(begin.Add(time.Second+answerEvidenceTTL+1)))
}

func TestPeerAnswersCountAsResponses(t *testing.T) {
	set := newUniformSet(2, begin)
	waiting := send(set, "i-0", 0, begin)
	now := begin.Add(time.Second)
	set.ApplyPeerWork([]Work{{Server: ServerKey("i-0"), AnswerAge: 400 * time.Millisecond}}, now)
	require.True(t, waiting.ServerRespondedSince(begin))
	require.False(t, waiting.ServerRespondedSince(now.Add(-300*time.Millisecond)))
	require.False(t, waiting.ServerRespondedHereSince(begin))
	set.ApplyPeerWork([]Work{{Server: ServerKey("i-0"), AnswerAge: time.Second}}, now)
	at, heard := waiting.PeersAnsweredAt(now)
	require.True(t, heard)
	require.Equal(t, now.Add(-400*time.Millisecond), at, "later evidence is kept")
	_, heard = waiting.PeersAnsweredAt(now.Add(peerWorkTTL + 1))
	require.False(t, heard, "no reports arrive any more")
	waiting.End(exchange.ResultNeutral, now)
	require.False(t, waiting.ServerRespondedSince(begin), "ended")
}

// refusingFleet is a number of nodes that place requests on the same servers and report to each other.
type refusingFleet struct {
	nodes    []*Set
	running  map[*Attempt]time.Time
	refused  int
	accepted int
}

// place lets a node place a request, which a server that is full refuses.
func (f *refusingFleet) place(node *Set, request *routing.Request, full string, now time.Time) {
	candidates := node.Candidates(nil, Query{Service: "s", Distance: func(string) int { return 0 }}, now)
	scheduler := routing.NewScheduler(routing.ConcurrencyScorer{}, routing.FailureScorer{})
	chosen := candidates[scheduler.Schedule(request, candidates).Index].Endpoint
	attempt := send(node, chosen, 0, now)
	if chosen == full {
		attempt.End(exchange.ResultRefused, now)
		f.refused++
		return
	}
	f.accepted++
	f.running[attempt] = now.Add(400 * time.Millisecond)
}

// exchange lets all nodes report to each other.
func (f *refusingFleet) exchange(now time.Time) {
	for _, node := range f.nodes {
		sums := map[uint64]Work{}
		for _, other := range f.nodes {
			if other == node {
				continue
			}
			for _, w := range other.Work(now) {
				sums[w.Server] = sums[w.Server].Plus(w)
			}
		}
		var others []Work
		for _, w := range sums {
			others = append(others, w)
		}
		node.ApplyPeerWork(others, now)
	}
}

// Load: 74 nodes place 100 requests/s on 12 servers, one of which refuses all for 4 s because its memory
// is full, and so looks idle. Reports are exchanged every 200 ms. Guards against each node learning that
// by refusals of its own.
func TestServerThatRefusesOthersIsAvoided(t *testing.T) {
	const nodes, perSecond, seconds = 74, 100, 4
	refusals := func(avoidFull bool) int {
		f := &refusingFleet{running: map[*Attempt]time.Time{}}
		for range nodes {
			f.nodes = append(f.nodes, newUniformSet(12, begin))
		}
		request := &routing.Request{ConcurrencyCost: 0.01, FailureCost: 0.4, AvoidFull: avoidFull}
		for step := range seconds * perSecond {
			now := begin.Add(time.Duration(step) * time.Second / perSecond)
			for attempt, ends := range f.running {
				if !now.Before(ends) {
					attempt.End(exchange.ResultServed, now)
					delete(f.running, attempt)
				}
			}
			if step%(perSecond/5) == 0 {
				f.exchange(now)
			}
			f.place(f.nodes[step*31%nodes], request, "i-3", now)
		}
		require.Equal(t, seconds*perSecond, f.refused+f.accepted)
		return f.refused
	}
	before, after := refusals(false), refusals(true)
	t.Logf("refusals in %d s: %d -> %d", seconds, before, after)
	require.LessOrEqual(t, after, before*2/3)
}

// Guards against a server that stays avoided: it counts as full until it answers the node that it
// refused, or this one, or 500 ms after the refusal. A refusal because of weights, draining or another
// incarnation does not count.
func TestFullServerIsReportedUntilItAnswersOr500Milliseconds(t *testing.T) {
	full := func(set *Set, now time.Time) int {
		for _, w := range set.Work(now) {
			if w.Server == ServerKey("i-0") {
				return w.Full
			}
		}
		return 0
	}
	set := newUniformSet(2, begin)
	send(set, "i-0", 0, begin).End(exchange.ResultRefused, begin)
	require.Equal(t, 1, full(set, begin.Add(fullTTL)))
	require.Zero(t, full(set, begin.Add(fullTTL+1)))
	send(set, "i-0", 0, begin).ResponseStarted(begin.Add(1))
	require.Zero(t, full(set, begin.Add(2)), "it answers again")

	for name, change := range map[string]func(set *Set){
		"loads":             func(set *Set) { set.SetLoads(Loads{Loading: []Load{{Instance: "i-0", Model: "m", Version: 2}}}, begin) },
		"drains":            func(set *Set) { set.Notice("i-0", Notice{Leaving: true}, begin) },
		"has restarted":     func(set *Set) { set.Gone("i-0", begin) },
		"has other weights": func(set *Set) { set.ObserveVersions("i-0", map[string]int64{"m": 2}) },
	} {
		other := newUniformSet(2, begin)
		attempt := send(other, "i-0", 0, begin)
		change(other)
		attempt.End(exchange.ResultRefused, begin)
		require.Zero(t, full(other, begin), name)
	}

	told := newUniformSet(2, begin)
	told.ApplyPeerWork([]Work{{Server: ServerKey("i-0"), Full: 2}, {Server: ServerKey("i-1"), Full: -1}}, begin)
	require.Equal(t, 2, candidate(told, "i-0", begin.Add(fullTTL)).FullNodes)
	require.Zero(t, candidate(told, "i-0", begin.Add(fullTTL+1)).FullNodes, "not renewed: this node may be cut off")
	require.Zero(t, candidate(told, "i-1", begin).FullNodes)
	send(told, "i-0", 0, begin).ResponseStarted(begin.Add(1))
	require.Zero(t, candidate(told, "i-0", begin.Add(2)).FullNodes, "it answers this node")
	refused := candidate(told, "i-0", begin)
	refused.FullNodes, refused.Ready = 1, true
	require.Equal(t, routing.ReasonBusy, routing.Filter(&routing.Request{AvoidFull: true}, &refused))
	require.Equal(t, routing.Accepted, routing.Filter(&routing.Request{}, &refused))
}
