package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/wire"
)

func updateOf(sequence uint64, clear bool, blocks ...prefix.Hash) wire.IndexUpdate {
	return wire.IndexUpdate{Reader: "r", Sequence: sequence, Update: prefixindex.Update{Holder: prefixindex.NewHolder("e", "1"), Clear: clear, Stored: blocks}}
}

func TestHomeAsksForAllAfterAMissedUpdate(t *testing.T) {
	home := newHome()
	now := time.Unix(0, 0)
	require.True(t, home.apply(updateOf(5, false, 1), now).NeedAll, "a new partition lacks earlier updates")
	require.False(t, home.apply(updateOf(6, true, 1), now).NeedAll)
	require.False(t, home.apply(updateOf(7, false, 2), now).NeedAll)
	require.True(t, home.apply(updateOf(9, false, 3), now).NeedAll, "update 8 is missing")
	require.Equal(t, 2, home.blocks())
	other := updateOf(8, false, 4)
	other.Reader = "another reader"
	require.True(t, home.apply(other, now).NeedAll, "a new observer must send a full update first")
}

func TestPeerWithoutAnswersRestsAndIsTriedAgain(t *testing.T) {
	health := newPeerHealth()
	now := time.Unix(0, 0)
	for range peerBreaker.Failures {
		require.True(t, health.allows("p", now))
		health.note("p", true, now)
	}
	require.False(t, health.allows("p", now))
	later := now.Add(peerBreaker.Rest)
	require.True(t, health.allows("p", later))
	require.False(t, health.allows("p", later), "only one call is sent as a probe")
	health.note("p", false, later)
	require.True(t, health.allows("p", later))
}

func TestIdleTenantsAreForgotten(t *testing.T) {
	limits := newLimits()
	limits.tenant("idle")
	limits.tenant("busy").streams = 1
	limits.forget(time.Now().Add(forgetAfter / 2))
	require.Len(t, limits.tenants, 2)
	limits.forget(time.Now().Add(2 * forgetAfter))
	require.Len(t, limits.tenants, 1)
}

func TestDrainingLifecycleRefusesAndWaits(t *testing.T) {
	lifecycle := newLifecycle()
	done, refusal := lifecycle.enter()
	require.Nil(t, refusal)
	lifecycle.stopReadiness()
	require.False(t, lifecycle.ready())
	later, refusal := lifecycle.enter()
	require.Nil(t, refusal, "an unready node still accepts requests")
	lifecycle.refuse()
	_, refusal = lifecycle.enter()
	require.NotNil(t, refusal)
	require.Positive(t, refusal.RetryAfter)
	done()
	select {
	case <-lifecycle.idle:
		t.Fatal("a request is still open")
	default:
	}
	later()
	<-lifecycle.idle
}
