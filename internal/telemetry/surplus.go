package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/keepalive"
)

// SurplusRecorder logs and counts responses too many of servers, and attempts that need another connection for them.
type SurplusRecorder struct {
	recorder  *Recorder
	responses *prometheus.CounterVec
	repeats   prometheus.Counter
}

// NewSurplusRecorder registers the metrics and returns a recorder of responses too many.
func NewSurplusRecorder(recorder *Recorder) *SurplusRecorder {
	s := &SurplusRecorder{
		recorder: recorder,
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_surplus_responses_total", Help: "Responses too many of servers, by what they were.",
		}, []string{"kind"}),
		repeats: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_repeat_connections_total", Help: "Attempts that needed another connection, as theirs had carried an earlier attempt of their request.",
		}),
	}
	recorder.metrics.Registry.MustRegister(s.responses, s.repeats)
	return s
}

// Received records a response too many of the server at an address.
func (s *SurplusRecorder) Received(address string, kind keepalive.Surplus) {
	s.responses.WithLabelValues(string(kind)).Inc()
	s.recorder.limitedLine(zerolog.WarnLevel).Str("address", address).Str("kind", string(kind)).Msg("response too many")
}

// Repeated records an attempt that needs another connection, as its own has carried an earlier attempt of its request.
func (s *SurplusRecorder) Repeated(address, id string) {
	s.repeats.Inc()
	s.recorder.limitedLine(zerolog.InfoLevel).Str("id", id).Str("address", address).Msg("connection has carried the request before")
}
