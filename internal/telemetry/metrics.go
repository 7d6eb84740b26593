package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
)

// Metrics holds the metrics of one proxy. Labels never contain keys, prompts or responses.
type Metrics struct {
	Registry            *prometheus.Registry
	requests            *prometheus.CounterVec
	attempts            *prometheus.CounterVec
	resends             *prometheus.CounterVec
	retries             *prometheus.CounterVec
	tooLargeResponses   *prometheus.CounterVec
	firstResponse       *prometheus.HistogramVec
	predictionErrors    *prometheus.HistogramVec
	storeReads          *prometheus.CounterVec
	orders              *prometheus.CounterVec
	waitedOrders        prometheus.Counter
	connections         *prometheus.CounterVec
	connectionTimeouts  prometheus.Counter
	paths               *pathMetrics
	waits               *waitMetrics
	origins             *originMetrics
	running             *runningMetrics
	replacedPlacements  prometheus.Counter
	rateLimited         prometheus.Counter
	overServerLimits    *prometheus.CounterVec
	noRoom              *prometheus.CounterVec
	roomRejections      *prometheus.CounterVec
	deferred            prometheus.Counter
	placementConflicts  prometheus.Counter
	keptAttempts        prometheus.Counter
	releases            *prometheus.CounterVec
	releaseWait         prometheus.Histogram
	quarantined         *prometheus.CounterVec
	suspectsSent        *prometheus.CounterVec
	trials              *prometheus.CounterVec
	probation           *prometheus.CounterVec
	passClaims          *prometheus.CounterVec
	suspicions          *prometheus.CounterVec
	turnedAway          *prometheus.CounterVec
	endedWithConnection prometheus.Counter
	clearedSuspicions   prometheus.Counter
	notices             *prometheus.CounterVec
	storeRestores       prometheus.Counter
	unreadableEntries   *prometheus.CounterVec
	malformedUpdates    prometheus.Counter
	upstreamChanges     prometheus.Counter
	upstreamsLost       prometheus.Counter
	storeCalls          *storeCallMetrics
	serverCalls         *prometheus.CounterVec
	peerResponseBytes   *prometheus.HistogramVec
	declarationVersion  prometheus.Gauge
	suppressedLines     prometheus.Counter
	overload            *overloadMetrics
}

// firstResponseBuckets range from 5 ms to 10 s.
var firstResponseBuckets = prometheus.ExponentialBuckets(0.005, 2, 12)

// peerResponseBuckets range from a response without changes, some 200 bytes, to the full server
// list of a large fleet.
var peerResponseBuckets = prometheus.ExponentialBuckets(256, 4, 8)

// Gauge registers a gauge whose value is computed when the metrics are scraped.
func (metrics *Metrics) Gauge(name, help string, value func() float64) {
	metrics.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// NewMetrics creates and registers all metrics. The age of the declaration comes from
// replica.
func NewMetrics(replica *catalog.AtomicReplica) *Metrics {
	metrics := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_requests_total", Help: "Requests by route and result.",
		}, []string{"route", "result"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_attempts_total", Help: "Events of attempts at servers by kind.",
		}, []string{"event"}),
		resends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_resends_total", Help: "Further attempts of requests that may run once, by the sign that the previous one did not run.",
		}, []string{"sign"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_retries_total", Help: "Retries that requests asked for, by service and by whether this node's share of the fleet's budget had one.",
		}, []string{"service", "result"}),
		tooLargeResponses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_too_large_responses_total", Help: "Responses of servers that were given up because they exceed a bound (head, body, event, memory).",
		}, []string{"bound"}),
		firstResponse: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cloverrail_proxy_first_answer_seconds", Help: "Time to the head of the answer.", Buckets: firstResponseBuckets,
		}, []string{"route"}),
		predictionErrors: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cloverrail_proxy_first_token_error_seconds", Help: "Difference between the predicted and the actual time to the first token, by whether it came early or late.", Buckets: firstResponseBuckets,
		}, []string{"direction"}),
		storeReads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_store_reads_total", Help: "Readings of the shared store by result.",
		}, []string{"result"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_orders_total", Help: "Orders to servers by result.",
		}, []string{"result"}),
		waitedOrders: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_waited_orders_total", Help: "Orders that waited until the queue of their server had drained.",
		}),
		connections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_connections_total", Help: "Requests to servers by whether their connection was kept or new.",
		}, []string{"kind"}),
		connectionTimeouts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_connection_timeouts_total", Help: "Connections with an attempt that broke because their server acknowledged nothing.",
		}),
		replacedPlacements: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_replaced_placements_total", Help: "Placements on weights that had been replaced for longer than the grace.",
		}),
		rateLimited: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_limited_total", Help: "Requests refused since their tenant asks for more than its limit.",
		}),
		overServerLimits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_over_limits_total", Help: "Requests that met the limits of all servers of their service.",
		}, []string{"service"}),
		noRoom: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_no_room_total", Help: "Requests for which a brittle server of their service had no room.",
		}, []string{"service"}),
		roomRejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_room_rejections_total", Help: "Requests that brittle servers rejected for want of room.",
		}, []string{"service"}),
		deferred: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_deferred_total", Help: "Placements of requests that will be late and let others go first.",
		}),
		placementConflicts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_placement_conflicts_total", Help: "Choices of servers that did not stand since other requests were placed there first.",
		}),
		keptAttempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_kept_attempts_total", Help: "Silent attempts that were not given up because other nodes hear the server.",
		}),
		releases: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_releases_total", Help: "Attempts that were given up, by why their requests went on at another server.",
		}, []string{"reason"}),
		releaseWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cloverrail_proxy_release_wait_seconds", Help: "Time from giving an attempt up until its request could go on at another server.",
			Buckets: []float64{0.005, 0.02, 0.1, 0.4, 1, 2, 4},
		}),
		quarantined: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_held_off_total", Help: "Requests refused since servers ended while they ran them, or others with a part of their prompts, by which of these.",
		}, []string{"kind"}),
		suspectsSent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_suspects_sent_total", Help: "Attempts of requests although several servers ended while they ran them, or others with a part of their prompts, by which of these.",
		}, []string{"kind"}),
		probation: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_probation_total", Help: "Requests with a part on probation that were sent, or had to wait.",
		}, []string{"result"}),
		passClaims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_pass_claims_total", Help: "Claims of the pass for a part on probation, by result.",
		}, []string{"result"}),
		trials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_trials_total", Help: "Requests by which this node tried a part of prompts under which servers had ended, and trials that failed since the store could not be asked.",
		}, []string{"result"}),
		endedWithConnection: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_responses_ended_with_connection_total", Help: "Whole answers of servers that had neither a length nor chunks, and ended with their connections.",
		}),
		turnedAway: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_connections_turned_away_total", Help: "Connections of clients that were closed unread, since the node held as many as it can or was short of processor time.",
		}, []string{"reason"}),
		suspicions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_suspicions_total", Help: "Connections that servers closed before their whole answer, by whether the server had ended.",
		}, []string{"outcome"}),
		clearedSuspicions: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_cleared_total", Help: "Whole answers that cleared a request or a part of prompts under which servers had ended.",
		}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_server_notices_total", Help: "Answers in which servers say that they leave, ask for rest, name a limit, or say what is not known or cannot be read.",
		}, []string{"notice"}),
		unreadableEntries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_unreadable_entries_total", Help: "Entries of the shared store that are skipped, by reason.",
		}, []string{"reason"}),
		storeRestores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_store_went_back_total", Help: "Times that the shared store came back from an older copy.",
		}),
		malformedUpdates: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_garbled_news_total", Help: "Answers of other nodes about cached parts that could not be read.",
		}),
		upstreamChanges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_follows_total", Help: "Changes of the node that this one asks for what it believes.",
		}),
		upstreamsLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_upstreams_lost_total", Help: "Starts at which this node read the store because none of the nodes that it polls answered.",
		}),
		storeCalls: newStoreCallMetrics(),
		serverCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_server_calls_total", Help: "Calls that this node makes to servers on its own, by call.",
		}, []string{"call"}),
		peerResponseBytes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cloverrail_proxy_heard_bytes", Help: "Size of other nodes' answers by call.", Buckets: peerResponseBuckets,
		}, []string{"call"}),
		declarationVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cloverrail_proxy_declaration_version", Help: "Version of the declaration in force.",
		}),
		suppressedLines: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cloverrail_proxy_log_lines_suppressed_total", Help: "Log lines left out to bound their number.",
		}),
		overload: newOverloadMetrics(),
		paths:    newPathMetrics(),
		waits:    newWaitMetrics(),
		origins:  newOriginMetrics(),
		running:  newRunningMetrics(),
	}
	metrics.Registry.MustRegister(metrics.overload.refusals, metrics.overload.promises)
	metrics.Registry.MustRegister(metrics.origins.collectors()...)
	metrics.Registry.MustRegister(metrics.running.collectors()...)
	metrics.Registry.MustRegister(metrics.waits.collectors()...)
	metrics.Registry.MustRegister(metrics.paths.changes, metrics.paths.unansweredProbes, metrics.paths.forwarded, metrics.paths.forwardedForPeers)
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cloverrail_proxy_declaration_age_seconds", Help: "Time since the declaration was certainly current.",
	}, func() float64 {
		if current := replica.Load(); current != nil && current.Snapshot != nil {
			return boottime.Since(current.AsOf).Seconds()
		}
		return -1
	})
	metrics.Registry.MustRegister(metrics.requests, metrics.attempts, metrics.resends, metrics.retries, metrics.tooLargeResponses, metrics.firstResponse, metrics.predictionErrors, metrics.storeReads,
		metrics.orders, metrics.waitedOrders, metrics.connections, metrics.connectionTimeouts, metrics.replacedPlacements, metrics.rateLimited, metrics.overServerLimits, metrics.noRoom, metrics.roomRejections, metrics.deferred, metrics.placementConflicts, metrics.keptAttempts, metrics.releases, metrics.releaseWait, metrics.quarantined, metrics.suspectsSent, metrics.trials, metrics.probation, metrics.passClaims, metrics.turnedAway, metrics.endedWithConnection, metrics.suspicions, metrics.clearedSuspicions, metrics.notices, metrics.storeRestores, metrics.unreadableEntries, metrics.malformedUpdates, metrics.upstreamChanges, metrics.upstreamsLost, metrics.serverCalls, metrics.peerResponseBytes, metrics.declarationVersion, metrics.suppressedLines, age)
	metrics.Registry.MustRegister(metrics.storeCalls.collectors()...)
	return metrics
}
