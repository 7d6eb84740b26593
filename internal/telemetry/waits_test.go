package telemetry

import (
	"bytes"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

func TestWaitOfStreamIsRecorded(t *testing.T) {
	written := &bytes.Buffer{}
	recorder := NewRecorder(zerolog.New(written), NewMetrics(&catalog.AtomicReplica{}))
	request := &proxy.Request{ID: "r1"}
	recorder.StreamWaits(request, exchange.Wait{Cause: exchange.WaitForServer, Reason: "no server is eligible: down"})
	require.Contains(t, written.String(), `"id":"r1","for":"server","reason":"no server is eligible: down","message":"waits"`)
	waiting := recorder.metrics.waits.waiting.WithLabelValues("server")
	require.InDelta(t, 1, testutil.ToFloat64(waiting), 0)
	written.Reset()
	recorder.StreamWaits(request, exchange.Wait{Cause: exchange.WaitForServer, Ended: true, Waited: 300 * time.Millisecond})
	require.Contains(t, written.String(), `"id":"r1","for":"server","waited":300,"message":"waited"`)
	require.InDelta(t, 0, testutil.ToFloat64(waiting), 0)
}
