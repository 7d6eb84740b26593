package telemetry

import (
	"bytes"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/proxy"
	"github.com/cloverrail/cloverrail/internal/rollout"
	"github.com/cloverrail/cloverrail/internal/routing"
)

func TestOccupancyIsRecorded(t *testing.T) {
	written := &bytes.Buffer{}
	recorder := NewRecorder(zerolog.New(written), NewMetrics(&catalog.AtomicReplica{}))
	request := &proxy.Request{ID: "r1"}
	recorder.Placed(request, proxy.PlacementDecision{Chosen: routing.Candidate{CacheTokens: 900, ResidentTokens: 700, FullNodes: 2}})
	require.Contains(t, written.String(), `"resident":700,"memory":900,"full":2`)
	written.Reset()
	recorder.Placed(request, proxy.PlacementDecision{Chosen: routing.Candidate{ResidentTokens: 700}})
	for _, field := range []string{"resident", "memory", "full"} {
		require.NotContains(t, written.String(), field)
	}
	recorder.AttemptKept(request, "i-1", 410*time.Millisecond)
	require.Contains(t, written.String(), `"server":"i-1","silent":410,"message":"kept"`)
	require.InDelta(t, 1, testutil.ToFloat64(recorder.metrics.keptAttempts), 0)
	recorder.Ordered(rollout.Order{Waited: 300 * time.Millisecond}, 1, rollout.ResultAccepted, nil)
	recorder.Ordered(rollout.Order{}, 1, rollout.ResultAccepted, nil)
	require.Contains(t, written.String(), `"waited":300`)
	require.InDelta(t, 1, testutil.ToFloat64(recorder.metrics.waitedOrders), 0)
}
