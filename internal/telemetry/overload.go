package telemetry

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/overload"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

// overloadMetrics are the metrics of overload control.
type overloadMetrics struct {
	refusals *prometheus.CounterVec
	promises *prometheus.CounterVec
}

func newOverloadMetrics() *overloadMetrics {
	return &overloadMetrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_overload_refusals_total", Help: "Requests refused because of the load of their service, by urgency rank and reason.",
		}, []string{"service", "rank", "reason"}),
		promises: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_overload_promises_total", Help: "Refusals whose callers can come back in time and are then not refused for load again, by urgency rank.",
		}, []string{"service", "rank"}),
	}
}

// pressureCollector collects the state of each service when the metrics are scraped.
type pressureCollector struct {
	description *prometheus.Desc
	states      func() map[string]overload.State
}

// Describe implements prometheus.Collector.
func (p *pressureCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- p.description
}

// Collect implements prometheus.Collector.
func (p *pressureCollector) Collect(metrics chan<- prometheus.Metric) {
	for service, state := range p.states() {
		metrics <- prometheus.MustNewConstMetric(p.description, prometheus.GaugeValue, float64(state), service)
	}
}

// OverloadGauges registers the gauges of overload control: the state of each service, and the
// number of requests and of rows of other nodes with invalid values.
func (metrics *Metrics) OverloadGauges(states func() map[string]overload.State, invalid func() (requests, rows int)) {
	metrics.Registry.MustRegister(&pressureCollector{
		description: prometheus.NewDesc("cloverrail_proxy_overload_pressure", "1 while requests of the service miss their target latency, so that some are refused; else 0.", []string{"service"}, nil),
		states:      states,
	})
	metrics.Gauge("cloverrail_proxy_overload_invalid", "Requests and rows of other nodes with impossible values, which were clamped or dropped.", func() float64 {
		requests, rows := invalid()
		return float64(requests + rows)
	})
}

// Overload records a refusal of overload control, or a change of a service's state.
func (recorder *Recorder) Overload(request *proxy.Request, decision proxy.OverloadDecision) {
	verdict, rank := decision.Verdict, strconv.Itoa(decision.Rank)
	metrics := recorder.metrics.overload
	if verdict.Refused != 0 {
		metrics.refusals.WithLabelValues(decision.Service, rank, verdict.Refused.String()).Inc()
	}
	if verdict.Promised {
		metrics.promises.WithLabelValues(decision.Service, rank).Inc()
	}
	line := recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("service", decision.Service).Int("rank", decision.Rank).
		Dur("predicted", verdict.Expected).Dur("target", decision.Target).Str("state", verdict.State.String())
	if verdict.Refused != 0 {
		line.Str("refused", verdict.Refused.String()).Bool("promised", verdict.Promised).Dur("retry_after", verdict.RetryAfter)
	}
	if verdict.Changed {
		line.Bool("changed", true)
	}
	line.Msg("overload")
}
