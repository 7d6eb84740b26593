package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/proxy"
	"github.com/cloverrail/cloverrail/internal/retryloan"
)

// waitMetrics are the metrics of streams that have begun and wait before they go on.
type waitMetrics struct {
	waiting *prometheus.GaugeVec
	waited  *prometheus.HistogramVec
	// lent counts the retries that this node has lent to others, and borrowed those that others have lent to it.
	lent     *prometheus.CounterVec
	borrowed *prometheus.CounterVec
}

func newWaitMetrics() *waitMetrics {
	return &waitMetrics{
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cloverrail_proxy_waiting_streams", Help: "Streams that have begun and on which no server works, by what they wait for.",
		}, []string{"cause"}),
		waited: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cloverrail_proxy_stream_wait_seconds", Help: "Times that streams which had begun waited before they went on, or ended, by what they waited for.",
			Buckets: []float64{0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10},
		}, []string{"cause"}),
		lent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_lent_retries_total", Help: "Retries that this node has lent to others, by service.",
		}, []string{"service"}),
		borrowed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_borrowed_retries_total", Help: "Retries that other nodes have lent to this one, by service.",
		}, []string{"service"}),
	}
}

// collectors returns all metrics.
func (m *waitMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.waiting, m.waited, m.lent, m.borrowed}
}

// StreamWaits records that a stream which has begun waits before it goes on, or that this wait has ended.
func (recorder *Recorder) StreamWaits(request *proxy.Request, wait exchange.Wait) {
	cause := string(wait.Cause)
	if !wait.Ended {
		recorder.metrics.waits.waiting.WithLabelValues(cause).Inc()
		recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("for", cause).Str("reason", wait.Reason).Msg("waits")
		return
	}
	recorder.metrics.waits.waiting.WithLabelValues(cause).Dec()
	recorder.metrics.waits.waited.WithLabelValues(cause).Observe(wait.Waited.Seconds())
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("for", cause).Dur("waited", wait.Waited).Msg("waited")
}

// RetriesLent records how many retries this node has lent to another one that asked for some.
func (recorder *Recorder) RetriesLent(service string, lent int) {
	if lent > 0 {
		recorder.metrics.waits.lent.WithLabelValues(service).Add(float64(lent))
	}
}

// RetriesBorrowed records how many retries another node has lent to this one.
func (recorder *Recorder) RetriesBorrowed(result retryloan.Result) {
	recorder.metrics.waits.borrowed.WithLabelValues(result.Service).Add(float64(result.Granted))
	recorder.limitedLine(zerolog.InfoLevel).Str("service", result.Service).Str("from", result.Node).Int("wanted", result.Wanted).
		Int("granted", result.Granted).Err(result.Err).Msg("borrowed retries")
}
