package telemetry

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/catalog"
)

// Guards against a refusal that neither the log nor the metrics show.
func TestMemoryRefusalIsLoggedAndCounted(t *testing.T) {
	logBuffer := &logBuffer{}
	metrics := NewMetrics(&catalog.AtomicReplica{})
	budget := admission.NewMemoryBudget(4000)
	recorder := NewMemoryRecorder(NewRecorder(zerolog.New(logBuffer), metrics), budget)
	_, refusal := budget.Reserve(900, time.Unix(0, 0))
	require.Nil(t, refusal)
	_, refusal = budget.Reserve(200, time.Unix(0, 0))
	recorder.Refused("r1", refusal)
	require.Equal(t, []string{`{"level":"info","id":"r1","wanted_bytes":200,"held_bytes":900,"limit_bytes":1000,"retry_after":100,"message":"memory budget exceeded"}`}, logBuffer.lines())
	require.NoError(t, testutil.GatherAndCompare(metrics.Registry, strings.NewReader(`
# HELP cloverrail_proxy_memory_held_bytes Bytes of headers and bodies that the node holds for requests.
# TYPE cloverrail_proxy_memory_held_bytes gauge
cloverrail_proxy_memory_held_bytes 900
# HELP cloverrail_proxy_memory_limit_bytes Bytes that the node may hold for requests; 0 if there is no bound.
# TYPE cloverrail_proxy_memory_limit_bytes gauge
cloverrail_proxy_memory_limit_bytes 1000
# HELP cloverrail_proxy_memory_refused_total Requests refused because the node holds as many bytes for requests as it may.
# TYPE cloverrail_proxy_memory_refused_total counter
cloverrail_proxy_memory_refused_total 1
`), "cloverrail_proxy_memory_held_bytes", "cloverrail_proxy_memory_limit_bytes", "cloverrail_proxy_memory_refused_total"))
}
