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
	"github.com/cloverrail/cloverrail/internal/quarantine"
)

func TestReleaseIsRecorded(t *testing.T) {
	written := &bytes.Buffer{}
	recorder := NewRecorder(zerolog.New(written), NewMetrics(&catalog.AtomicReplica{}))
	request := &proxy.Request{ID: "r1"}
	recorder.Attempt(request, "i-1", exchange.Released{Reason: exchange.ReleaseEnded, Waited: 820 * time.Millisecond}, quarantine.Suspects{})
	require.Contains(t, written.String(), `"id":"r1","server":"i-1","reason":"ended","waited":820,"message":"released"`)
	written.Reset()
	recorder.Attempt(request, "i-1", exchange.Released{Reason: exchange.ReleaseNotRequired}, quarantine.Suspects{})
	require.Empty(t, written.String())
	require.InDelta(t, 1, testutil.ToFloat64(recorder.metrics.releases.WithLabelValues("ended")), 0)
	require.InDelta(t, 1, testutil.ToFloat64(recorder.metrics.releases.WithLabelValues("not_required")), 0)
}
