// Package metrics defines the metrics of a node. Labels may contain the names of
// tenants, models and backends, but never keys, prompts or responses.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Set holds all metrics of one node.
type Set struct {
	Registry            *prometheus.Registry
	Requests            *prometheus.CounterVec
	Refusals            *prometheus.CounterVec
	Attempts            *prometheus.CounterVec
	LateEvents          prometheus.Counter
	PromptTokens        prometheus.Counter
	CachedTokens        prometheus.Counter
	FirstToken          prometheus.Histogram
	OpenStreams         prometheus.Gauge
	LookupFallbacks     prometheus.Counter
	CacheEvents         prometheus.Counter
	CacheGaps           prometheus.Counter
	Revision            prometheus.Gauge
	Members             *prometheus.GaugeVec
	ClaimRounds         *prometheus.CounterVec
	DatagramsSent       prometheus.Counter
	ConfigurationErrors prometheus.Counter
	RejectedHeads       *prometheus.CounterVec
	TurnedAway          *prometheus.CounterVec
}

// New creates and registers all metrics.
func New() *Set {
	set := &Set{Registry: prometheus.NewRegistry()}
	counter := func(name, help string) prometheus.Counter {
		created := prometheus.NewCounter(prometheus.CounterOpts{Name: "cloverrail_" + name, Help: help})
		set.Registry.MustRegister(created)
		return created
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		created := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cloverrail_" + name, Help: help}, labels)
		set.Registry.MustRegister(created)
		return created
	}
	gauge := func(name, help string) prometheus.Gauge {
		created := prometheus.NewGauge(prometheus.GaugeOpts{Name: "cloverrail_" + name, Help: help})
		set.Registry.MustRegister(created)
		return created
	}
	set.Requests = counters("requests_total", "Requests by route and result.", "route", "result")
	set.Refusals = counters("refusals_total", "Refused requests by kind and outcome.", "kind", "outcome")
	set.Attempts = counters("attempts_total", "Attempts on back ends by result.", "backend", "result")
	set.LateEvents = counter("late_events_total", "Events dropped because they belonged to another attempt.")
	set.PromptTokens = counter("prompt_tokens_total", "Prompt tokens of completed requests, as engines count them.")
	set.CachedTokens = counter("cached_tokens_total", "Prompt tokens that engines took from their prefix cache.")
	set.FirstToken = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "cloverrail_first_token_seconds", Help: "Time from a request's arrival to its first token.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
	})
	set.Registry.MustRegister(set.FirstToken)
	set.OpenStreams = gauge("open_streams", "Requests in service.")
	set.LookupFallbacks = counter("lookup_fallbacks_total", "Placements made without the index because its home did not answer.")
	set.CacheEvents = counter("cache_events_total", "Cache events read from engines.")
	set.CacheGaps = counter("cache_gaps_total", "Snapshots read after a gap in the events or a restart.")
	set.Revision = gauge("configuration_revision", "Revision of the configuration in force.")
	set.Members = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "cloverrail_members", Help: "Known nodes by status."}, []string{"status"})
	set.Registry.MustRegister(set.Members)
	set.ClaimRounds = counters("claim_rounds_total", "Claims of idempotency keys by decision.", "decision")
	set.DatagramsSent = counter("datagrams_sent_total", "Gossip datagrams sent.")
	set.ConfigurationErrors = counter("configuration_errors_total", "Versions of the configuration that could not be read.")
	set.RejectedHeads = counters("rejected_heads_total", "Heads of requests that were rejected before they were read whole, by the bound that they exceed (head, memory).", "bound")
	set.TurnedAway = counters("connections_turned_away_total", "Connections that were closed unread, as their address had as many as it may have.", "address")
	return set
}
