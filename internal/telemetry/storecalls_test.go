package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
)

// Guards against a call that waits for its response being taken for one that failed, or was never made.
func TestStoreCallThatWaitsIsToldFromFailedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &bytes.Buffer{}
		metrics := NewMetrics(&catalog.AtomicReplica{})
		recorder := NewRecorder(zerolog.New(log), metrics)
		lines := func(message string) int {
			synctest.Wait()
			return strings.Count(log.String(), `"message":"`+message+`"`)
		}
		waiting := func() float64 {
			return testutil.ToFloat64(metrics.storeCalls.waiting.WithLabelValues("software", "read"))
		}
		results := func(result coordination.CallResult) float64 {
			return testutil.ToFloat64(metrics.storeCalls.results.WithLabelValues("software", string(result)))
		}

		for range 2 {
			ended := recorder.StoreCall("software", "read")
			time.Sleep(2 * waitingCallAge)
			require.Equal(t, 1, lines("store call waits for its response"))
			require.EqualValues(t, 1, waiting())
			ended(coordination.CallTimedOut, errors.New("no response"))
			require.Equal(t, 1, lines("store call failed"), "one line for each outage")
			require.Zero(t, waiting())
		}
		require.EqualValues(t, 2, results(coordination.CallTimedOut))
		require.Contains(t, log.String(), `"result":"timeout"`)

		recorder.StoreCall("software", "read")(coordination.CallAnswered, nil)
		require.Equal(t, 1, lines("store calls are answered again"))
		recorder.StoreCall("software", "read")(coordination.CallAnswered, nil)
		require.Equal(t, 1, lines("store calls are answered again"))
		recorder.StoreCall("software", "read")(coordination.CallCancelled, nil)
		require.Equal(t, 1, lines("store call failed"))

		watched := recorder.StoreCall("declared", "watch")
		time.Sleep(time.Minute)
		watched(coordination.CallAnswered, nil)
		require.Equal(t, 1, lines("store call waits for its response"), "a watch is meant to wait")
	})
}
