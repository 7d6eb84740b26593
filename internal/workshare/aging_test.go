package workshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
)

// Guards against old answers of a server that look new because relays hold the reports: the age of
// an answer grows by the time that its report waits at each relay, and the latest answer counts,
// also beside a build whose reports lack the field.
func TestAnswerAgesGrowAtRelays(t *testing.T) {
	follower := newNode("follower")
	follower.work = []backend.Work{{Server: 1, Running: 1, AnswerAge: 100 * time.Millisecond}}
	older := newNode("older")
	older.work = []backend.Work{{Server: 1, Running: 4}}
	first, second := newNode("first"), newNode("second")
	second.work = []backend.Work{{Server: 1, AnswerAge: 500 * time.Millisecond}}
	first.aggregator.SetFollower("follower", follower.aggregator.Own(), start)
	first.aggregator.SetFollower("older", older.aggregator.Own(), start)
	atGroup := start.Add(150 * time.Millisecond)
	group := first.aggregator.Group(atGroup)
	require.Equal(t, []backend.Work{{Server: 1, Running: 5, AnswerAge: 250 * time.Millisecond}}, group.Work)
	second.aggregator.SetGroup("first", group, atGroup)
	require.Equal(t, 350*time.Millisecond, second.aggregator.Others("", atGroup.Add(100*time.Millisecond)).Work[0].AnswerAge)
	require.Equal(t, 450*time.Millisecond, second.aggregator.Others("any", atGroup.Add(200*time.Millisecond)).Work[0].AnswerAge, "less than its own")
	require.Equal(t, 500*time.Millisecond, second.aggregator.Others("any", atGroup.Add(300*time.Millisecond)).Work[0].AnswerAge)
}

// An answer that becomes too old at a relay is dropped, and not one of age 0.
func TestOldAnswersAreDroppedAtRelays(t *testing.T) {
	aggregator := New(func() Report { return Report{} })
	aggregator.SetGroup("r", Report{Work: []backend.Work{{Server: 1, Running: 1, AnswerAge: 1900 * time.Millisecond}, {Server: 2, AnswerAge: -time.Second}}}, start)
	reported := aggregator.Others("", start.Add(200*time.Millisecond)).Work
	require.Equal(t, []backend.Work{{Server: 1, Running: 1}, {Server: 2}}, reported)
}

// Guards against memory that is counted several times at relays: tokens of single requests are summed,
// prefixes that requests of several nodes share are not, and a build whose reports lack both takes
// nothing away.
func TestResidentTokensAreSummedAndPrefixesMerged(t *testing.T) {
	relay := newNode("relay")
	relay.work = []backend.Work{{Server: 1, ResidentTokens: 100, SharedPrefixes: 0x30}}
	relay.aggregator.SetFollower("a", Report{Work: []backend.Work{{Server: 1, ResidentTokens: 50, SharedPrefixes: 0x23}}}, start)
	relay.aggregator.SetFollower("older", Report{Work: []backend.Work{{Server: 1, Running: 3}}}, start)
	require.Equal(t, []backend.Work{{Server: 1, Running: 3, ResidentTokens: 150, SharedPrefixes: 0x33}}, relay.aggregator.Group(start).Work)
}

// Guards against refusals that count forever because relays keep reports: one counts for 500 ms after
// it was reported, and those of several nodes are summed.
func TestFullNodesAreSummedAndExpireAtRelays(t *testing.T) {
	aggregator := New(func() Report { return Report{} })
	aggregator.SetFollower("a", Report{Work: []backend.Work{{Server: 1, Running: 1, Full: 1}}}, start)
	aggregator.SetFollower("older", Report{Work: []backend.Work{{Server: 1, Running: 1}}}, start)
	aggregator.SetGroup("r", Report{Work: []backend.Work{{Server: 1, Running: 1, Full: 2}}}, start.Add(300*time.Millisecond))
	require.Equal(t, 3, aggregator.Others("", start.Add(400*time.Millisecond)).Work[0].Full)
	require.Equal(t, 2, aggregator.Others("", start.Add(600*time.Millisecond)).Work[0].Full)
}
