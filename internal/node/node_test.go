package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/wire"
)

func newUpdate(sequence uint64, clear bool, blocks ...prefix.Hash) wire.IndexUpdateRequest {
	return wire.IndexUpdateRequest{Reader: "r", Sequence: sequence, Update: prefixindex.Update{Holder: prefixindex.NewHolder("e", "1"), Clear: clear, Stored: blocks}}
}

func TestPartitionRequestsFullUpdateAfterGap(t *testing.T) {
	partition := newIndexPartition()
	now := time.Unix(0, 0)
	require.True(t, partition.apply(newUpdate(5, false, 1), now).NeedAll, "a new partition lacks earlier updates")
	require.False(t, partition.apply(newUpdate(6, true, 1), now).NeedAll)
	require.False(t, partition.apply(newUpdate(7, false, 2), now).NeedAll)
	require.True(t, partition.apply(newUpdate(9, false, 3), now).NeedAll, "update 8 is missing")
	require.Equal(t, 2, partition.blocks())
	other := newUpdate(8, false, 4)
	other.Reader = "another reader"
	require.True(t, partition.apply(other, now).NeedAll, "a new observer must send a full update first")
}

func TestUnresponsivePeerOpensBreakerAndIsProbed(t *testing.T) {
	health := newPeerHealth()
	now := time.Unix(0, 0)
	for range peerBreaker.Failures {
		require.True(t, health.allows("p", now))
		health.record("p", true, now)
	}
	require.False(t, health.allows("p", now))
	later := now.Add(peerBreaker.OpenDuration)
	require.True(t, health.allows("p", later))
	require.False(t, health.allows("p", later), "only one call is sent as a probe")
	health.record("p", false, later)
	require.True(t, health.allows("p", later))
}

func TestIdleTenantsAreEvicted(t *testing.T) {
	limits := newLimits()
	limits.tenant("idle")
	limits.tenant("busy").streams = 1
	limits.evictIdle(time.Now().Add(tenantIdleExpiry / 2))
	require.Len(t, limits.tenants, 2)
	limits.evictIdle(time.Now().Add(2 * tenantIdleExpiry))
	require.Len(t, limits.tenants, 1)
}

func TestDrainingLifecycleRejectsAndWaits(t *testing.T) {
	lifecycle := newLifecycle()
	done, refusal := lifecycle.begin()
	require.Nil(t, refusal)
	lifecycle.markUnready()
	require.False(t, lifecycle.ready())
	later, refusal := lifecycle.begin()
	require.Nil(t, refusal, "an unready node still accepts requests")
	lifecycle.reject()
	_, refusal = lifecycle.begin()
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
