package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/admission"
)

// MemoryRecorder logs and counts requests that are refused because of the node's memory.
type MemoryRecorder struct {
	recorder *Recorder
	refused  prometheus.Counter
}

// NewMemoryRecorder registers the metrics of a memory budget and returns a recorder of its refusals.
func NewMemoryRecorder(recorder *Recorder, budget *admission.MemoryBudget) *MemoryRecorder {
	refused := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cloverrail_proxy_memory_refused_total", Help: "Requests refused because the node holds as many bytes for requests as it may.",
	})
	recorder.metrics.Registry.MustRegister(refused)
	recorder.metrics.Gauge("cloverrail_proxy_memory_held_bytes", "Bytes of headers and bodies that the node holds for requests.", func() float64 {
		return float64(budget.Held())
	})
	recorder.metrics.Gauge("cloverrail_proxy_memory_limit_bytes", "Bytes that the node may hold for requests; 0 if there is no bound.", func() float64 {
		return float64(budget.Limit())
	})
	return &MemoryRecorder{recorder: recorder, refused: refused}
}

// Refused records a refused request.
func (m *MemoryRecorder) Refused(id string, refusal *admission.MemoryRefusal) {
	m.refused.Inc()
	m.recorder.limitedLine(zerolog.InfoLevel).Str("id", id).Int64("wanted_bytes", refusal.Wanted).Int64("held_bytes", refusal.Held).
		Int64("limit_bytes", refusal.Limit).Dur("retry_after", refusal.RetryAfter).Msg("memory budget exceeded")
}
