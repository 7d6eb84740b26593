package telemetry

import (
	"bytes"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/overload"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

// Guards against refusals and changes of state that cannot be explained from the log.
func TestOverloadDecisionsAreLoggedAndCounted(t *testing.T) {
	output, metrics := &bytes.Buffer{}, NewMetrics(&catalog.AtomicReplica{})
	recorder := NewRecorder(zerolog.New(output), metrics)
	decision := proxy.OverloadDecision{Service: "s", Rank: 2, Target: 500 * time.Millisecond, Verdict: overload.Verdict{
		Refused: overload.TargetMissed, RetryAfter: 700 * time.Millisecond, Promised: true, Expected: 900 * time.Millisecond, State: overload.Pressure, Changed: true,
	}}
	recorder.Overload(&proxy.Request{ID: "r1"}, decision)
	require.JSONEq(t, `{"level":"info","id":"r1","service":"s","rank":2,"predicted":900,"target":500,"state":"pressure","refused":"target","promised":true,"retry_after":700,"changed":true,"message":"overload"}`, output.String())
	output.Reset()
	recorder.Overload(&proxy.Request{ID: "r2"}, proxy.OverloadDecision{Service: "s", Verdict: overload.Verdict{Changed: true}})
	require.JSONEq(t, `{"level":"info","id":"r2","service":"s","rank":0,"predicted":0,"target":0,"state":"normal","changed":true,"message":"overload"}`, output.String())
	require.Equal(t, 1.0, testutil.ToFloat64(metrics.overload.refusals.WithLabelValues("s", "2", "target")))
	require.Equal(t, 1.0, testutil.ToFloat64(metrics.overload.promises.WithLabelValues("s", "2")))
	require.Zero(t, testutil.ToFloat64(metrics.overload.refusals.WithLabelValues("s", "0", "target")))
}

func TestOverloadGaugesShowStateOfEachService(t *testing.T) {
	metrics := NewMetrics(&catalog.AtomicReplica{})
	states := map[string]overload.State{"a": overload.Normal, "b": overload.Pressure}
	metrics.OverloadGauges(func() map[string]overload.State { return states }, func() (int, int) { return 2, 3 })
	families, err := metrics.Registry.Gather()
	require.NoError(t, err)
	values := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.Metric {
			label := ""
			if len(metric.Label) == 1 {
				label = metric.Label[0].GetValue()
			}
			values[family.GetName()+label] = metric.GetGauge().GetValue()
		}
	}
	require.Equal(t, 1.0, values["cloverrail_proxy_overload_pressureb"])
	require.Contains(t, values, "cloverrail_proxy_overload_pressurea")
	require.Zero(t, values["cloverrail_proxy_overload_pressurea"])
	require.Equal(t, 5.0, values["cloverrail_proxy_overload_invalid"])
}
