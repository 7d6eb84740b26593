package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/exchange"
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
	at, heard := waiting.PeersHeardServer(now)
	require.True(t, heard)
	require.Equal(t, now.Add(-400*time.Millisecond), at, "later evidence is kept")
	_, heard = waiting.PeersHeardServer(now.Add(peerWorkTTL + 1))
	require.False(t, heard, "no reports arrive any more")
	waiting.End(exchange.ResultNeutral, now)
	require.False(t, waiting.ServerRespondedSince(begin), "ended")
}
