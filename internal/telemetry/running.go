package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/proxy"
)

// runningMetrics are the metrics of attempts that servers went on with after their callers had left.
type runningMetrics struct {
	left  *prometheus.CounterVec
	found *prometheus.CounterVec
}

func newRunningMetrics() *runningMetrics {
	return &runningMetrics{
		left: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_left_attempts_total", Help: "Attempts of streams that servers did not end at once when their callers had left, by what is known of their end.",
		}, []string{"end"}),
		found: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_earlier_attempts_total", Help: "Streams that callers resumed while a server worked on an earlier attempt, by whether other servers might get them.",
		}, []string{"state"}),
	}
}

// collectors returns all metrics.
func (m *runningMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.left, m.found}
}

// AttemptLeft records what became of an attempt that its server did not end at once when its caller had left.
func (recorder *Recorder) AttemptLeft(request *proxy.Request, left proxy.LeftAttempt) {
	recorder.metrics.running.left.WithLabelValues(string(left.End)).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Stringer("stream", left.Stream).Str("server", left.Server).
		Str("end", string(left.End)).Dur("waited", left.Waited).Msg("attempt left")
}

// EarlierAttemptFound records that a server may still work on an earlier attempt of a stream that a caller resumes.
func (recorder *Recorder) EarlierAttemptFound(request *proxy.Request, earlier proxy.EarlierAttempt) {
	state := "running"
	if earlier.Released {
		state = "released"
	}
	recorder.metrics.running.found.WithLabelValues(state).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Stringer("stream", earlier.Stream).Str("server", earlier.Server).
		Str("state", state).Dur("took", earlier.Took).Msg("earlier attempt")
}
