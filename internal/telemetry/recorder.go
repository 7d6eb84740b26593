package telemetry

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/proxy"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/rollout"
	"github.com/cloverrail/cloverrail/internal/routing"
)

const (
	// linesPerSecond bounds the lines that concern requests; burstLines may come
	// at once.
	linesPerSecond = 200
	burstLines     = 400
)

// Recorder writes one line for each decision that touches a request or changes
// what the process believes, and counts it.
type Recorder struct {
	log     zerolog.Logger
	metrics *Metrics
	limiter *rate.Limiter

	mutex      sync.Mutex
	suppressed int
	storeLost  bool
	nodes      int
	// words holds the words of servers that nobody here knows.
	words map[string]bool
}

// NewRecorder returns a recorder.
func NewRecorder(log zerolog.Logger, metrics *Metrics) *Recorder {
	return &Recorder{log: log, metrics: metrics, limiter: rate.NewLimiter(linesPerSecond, burstLines), words: map[string]bool{}}
}

// line returns an event for a line that concerns a request, or nil if there are
// too many. The next line that is written tells how many were left out.
func (recorder *Recorder) line(level zerolog.Level) *zerolog.Event {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if !recorder.limiter.Allow() {
		recorder.suppressed++
		recorder.metrics.suppressedLines.Inc()
		return nil
	}
	event := recorder.log.WithLevel(level)
	if recorder.suppressed > 0 {
		event = event.Int("suppressed_before", recorder.suppressed)
		recorder.suppressed = 0
	}
	return event
}

// eventName is the name of an event's type in logs and metrics.
func eventName(event exchange.Event) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", event), "exchange."))
}

// Placed hears of each placement with what decided it.
func (recorder *Recorder) Placed(request *proxy.Request, choice proxy.Choice) {
	chosen := choice.Chosen
	if chosen.ReplacedLoss > 0 {
		recorder.metrics.replaced.Inc()
	}
	line := recorder.line(zerolog.InfoLevel).Str("id", request.ID).Str("server", chosen.Endpoint).
		Int("distance", chosen.Distance).Int("in_flight", chosen.InFlight).Float64("failures", chosen.FailureShare)
	if prompt := request.Prompt; prompt != nil {
		line.Int64("version", chosen.Version).Int("prompt", prompt.Tokens).Int("held", chosen.HitBlocks).
			Int("in_store", chosen.ImportBlocks).Int("queued", chosen.QueuedTokens).Int("rank", chosen.AffinityRank)
	}
	if choice.Deferred {
		recorder.metrics.deferred.Inc()
		line.Bool("deferred", true)
	}
	if choice.PassedOver > 0 {
		line.Int("passed_over", choice.PassedOver)
	}
	if choice.Looks > 1 {
		recorder.metrics.conflicts.Add(float64(choice.Looks - 1))
		line.Int("looks", choice.Looks)
	}
	if choice.LastResort {
		line.Bool("last_resort", true)
	}
	line.Dict("costs", costs(choice.Terms))
	if choice.Next != "" {
		line.Str("next", choice.Next).Dict("next_costs", costs(choice.NextTerms))
	}
	line.Msg("placed")
}

// Limited hears of a request beyond its tenant's limit.
func (recorder *Recorder) Limited(request *proxy.Request, tenant string, limit quota.Limit, decision quota.Decision) {
	recorder.metrics.limited.Inc()
	recorder.line(zerolog.InfoLevel).Str("id", request.ID).Str("tenant", tenant).Float64("limit", limit.PerSecond).
		Float64("asked", math.Round(decision.Asked)).Float64("level", math.Round(decision.Level)).
		Float64("share", decision.Share).Int("nodes", decision.Nodes).Dur("age", decision.Age).
		Dur("retry_after", decision.RetryAfter).Msg("limited")
}

// OverLimits hears of a request that no server takes for the limits that they name.
func (recorder *Recorder) OverLimits(request *proxy.Request, over proxy.OverLimits) {
	recorder.metrics.overLimits.WithLabelValues(over.Service).Inc()
	recorder.line(zerolog.InfoLevel).Str("id", request.ID).Str("service", over.Service).Int("servers", over.Servers).
		Dur("shortest", over.Shortest).Dur("retry_after", over.RetryAfter).Msg("over the limits of servers")
}

// HeldOff hears of a request that is refused for the servers that ended under it.
func (recorder *Recorder) HeldOff(request *proxy.Request, fingerprint quarantine.Fingerprint, verdict quarantine.Verdict) {
	recorder.metrics.heldOff.Inc()
	recorder.line(zerolog.InfoLevel).Str("id", request.ID).Stringer("fingerprint", fingerprint).Int("ended", verdict.Ends).
		Float64("weight", verdict.Weight).Bool("company", verdict.Company).Bool("stored", verdict.Stored).Dur("retry_after", boottime.Until(verdict.Until)).Msg("held off")
}

// Settled hears whether a server ended under a request.
func (recorder *Recorder) Settled(suspicion proxy.Suspicion) {
	outcome := "lives"
	if suspicion.Ended {
		outcome = "ended"
	}
	recorder.metrics.suspicions.WithLabelValues(outcome).Inc()
	recorder.line(zerolog.InfoLevel).Stringer("fingerprint", suspicion.Fingerprint).Str("server", suspicion.Server).
		Str("settled", outcome).Dur("after", suspicion.After).Msg("suspicion")
}

// Cleared hears of a request that was suspected and has had a whole answer.
func (recorder *Recorder) Cleared(request *proxy.Request, fingerprint quarantine.Fingerprint) {
	recorder.metrics.cleared.Inc()
	recorder.line(zerolog.InfoLevel).Str("id", request.ID).Stringer("fingerprint", fingerprint).Msg("cleared")
}

// Kept hears of what is written of requests that are held off into the shared store.
func (recorder *Recorder) Kept(fingerprint quarantine.Fingerprint, held bool, err error) {
	recorder.log.Info().Stringer("fingerprint", fingerprint).Bool("held", held).Err(err).Msg("the store is told of a request that is held off")
}

// Noticed hears what a server says of itself beside an answer, what of it is news, and what
// cannot be read.
func (recorder *Recorder) Noticed(server string, notice, news backend.Notice, unreadable error) {
	if unreadable != nil {
		recorder.metrics.notices.WithLabelValues("unreadable").Inc()
		recorder.line(zerolog.WarnLevel).Str("server", server).Err(unreadable).Msg("a server's word of itself is passed over")
	}
	if notice.Leaving {
		recorder.metrics.notices.WithLabelValues("leaving").Inc()
	}
	if news.Leaving {
		recorder.line(zerolog.InfoLevel).Str("server", server).Msg("a server says that it leaves")
	}
	if notice.Unknown != "" {
		recorder.unknown(server, notice.Unknown)
	}
	if notice.Limited {
		recorder.metrics.notices.WithLabelValues("limit").Inc()
	}
	if notice.Rest > 0 {
		recorder.metrics.notices.WithLabelValues("rest").Inc()
		recorder.line(zerolog.InfoLevel).Str("server", server).Dur("asked", notice.Rest).Dur("rest", news.Rest).Msg("a server asks for rest")
	}
}

// mostWords bounds the words that nobody here knows of which there is a line, each once.
const mostWords = 32

// unknown tells once of a word of servers that nobody here knows.
func (recorder *Recorder) unknown(server, word string) {
	recorder.metrics.notices.WithLabelValues("unknown").Inc()
	recorder.mutex.Lock()
	told := recorder.words[word] || len(recorder.words) >= mostWords
	if !told {
		recorder.words[word] = true
	}
	recorder.mutex.Unlock()
	if !told {
		recorder.log.Warn().Str("server", server).Str("word", word).Msg("servers say a word of themselves that this build does not know")
	}
}

// Called hears of each call that this node makes to servers on its own.
func (recorder *Recorder) Called(call string) {
	recorder.metrics.serverCalls.WithLabelValues(call).Inc()
}

// LimitNamed hears how many requests a second a server takes of all nodes, if that is news.
func (recorder *Recorder) LimitNamed(server string, perSecond float64) {
	recorder.line(zerolog.InfoLevel).Str("server", server).Float64("limit", perSecond).Msg("a server names how much it takes")
}

// LimitEnded hears that a server names no limit any more.
func (recorder *Recorder) LimitEnded(server string) {
	recorder.line(zerolog.InfoLevel).Str("server", server).Msg("a server names no limit any more")
}

// ToldLimit hears what another node has heard of a server's limit.
func (recorder *Recorder) ToldLimit(server string, told quota.Told) {
	line := recorder.line(zerolog.InfoLevel).Str("server", server)
	if told.Ended {
		line.Msg("another node says that a server names no limit any more")
		return
	}
	line.Float64("limit", told.PerSecond).Msg("another node says how much a server takes")
}

// ToldLeaving hears of a server that has said to another node that it leaves.
func (recorder *Recorder) ToldLeaving(server string) {
	recorder.line(zerolog.InfoLevel).Str("server", server).Msg("another node says that a server leaves")
}

// costs writes the terms of a cost in milliseconds of engine time.
func costs(terms []routing.Term) *zerolog.Event {
	all := zerolog.Dict()
	for _, term := range terms {
		all.Int64(term.Name, int64(math.Round(term.Seconds*1000)))
	}
	return all
}

// Connected hears for each request to a server whether its connection was kept.
func (recorder *Recorder) Connected(kept bool) {
	kind := "new"
	if kept {
		kind = "kept"
	}
	recorder.metrics.connections.WithLabelValues(kind).Inc()
}

// Attempt hears of each event of an attempt. Those of the ordinary course are
// told by the request's last line alone.
func (recorder *Recorder) Attempt(request *proxy.Request, server string, event exchange.Event, fingerprint quarantine.Fingerprint) {
	reason := ""
	switch event := event.(type) {
	case exchange.Arrived, exchange.Opened, exchange.Ended:
		return
	case exchange.Placed, exchange.Unplaced:
		// A placement has its own line; the want of one is told at the end.
		recorder.metrics.attempts.WithLabelValues(eventName(event)).Inc()
		return
	case exchange.Answered:
		if !event.Faulty {
			return
		}
		reason = "the server failed"
	case exchange.Refused:
		reason = event.Reason
	case exchange.Unreached:
		reason = event.Reason
	case exchange.Broken:
		reason = event.Reason
	}
	name := eventName(event)
	recorder.metrics.attempts.WithLabelValues(name).Inc()
	line := recorder.line(zerolog.InfoLevel).Str("id", request.ID).Str("server", server).Str("event", name).Str("reason", reason)
	if fingerprint != 0 {
		line.Stringer("fingerprint", fingerprint)
	}
	line.Dur("after", boottime.Since(request.Arrived)).Msg("attempt")
}

// Request hears of the end of a request.
func (recorder *Recorder) Request(request *proxy.Request, route *catalog.Route, version int64, outcome exchange.Outcome) {
	name, result := "", "answered"
	if route != nil {
		name = route.Name
	}
	line := recorder.line(zerolog.InfoLevel).Str("id", request.ID).Str("route", name).Int64("declaration", version)
	if outcome.Failure != nil {
		result = string(outcome.Failure.Kind)
		line.Str("problem", outcome.Failure.Problem).Str("outcome", string(outcome.Failure.Outcome))
	}
	recorder.metrics.requests.WithLabelValues(name, result).Inc()
	if outcome.FirstAfter > 0 {
		recorder.metrics.firstAnswer.WithLabelValues(name).Observe(outcome.FirstAfter.Seconds())
	}
	line.Str("result", result).Int("status", outcome.Status).Int("sends", outcome.Sends).Int("runs", outcome.Runs).
		Dur("first", outcome.FirstAfter).Dur("took", boottime.Since(request.Arrived)).Msg("request")
}

// StoreCalled hears of each call of the shared store.
func (recorder *Recorder) StoreCalled(purpose, call string) {
	recorder.metrics.storeCalls.WithLabelValues(purpose, call).Inc()
}

// Read hears of each reading of the shared store.
func (recorder *Recorder) Read(took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	recorder.metrics.reads.WithLabelValues(result).Inc()
	recorder.mutex.Lock()
	changed := recorder.storeLost != (err != nil)
	recorder.storeLost = err != nil
	recorder.mutex.Unlock()
	switch {
	case changed && err != nil:
		recorder.log.Warn().Dur("took", took).Err(err).Msg("the store cannot be read")
	case changed:
		recorder.log.Info().Dur("took", took).Msg("the store can be read again")
	}
}

// Heard hears of the size of another node's answer to a call.
func (recorder *Recorder) Heard(call string, bytes int) {
	recorder.metrics.heardBytes.WithLabelValues(call).Observe(float64(bytes))
}

// Follows hears which node this one asks, and why it left the one before.
func (recorder *Recorder) Follows(node string, left error) {
	recorder.metrics.follows.Inc()
	recorder.log.Info().Str("asks", node).AnErr("left", left).Msg("another node is followed")
}

// Declared hears of a change of the belief.
func (recorder *Recorder) Declared(before, after *catalog.Belief) {
	if after.Snapshot != nil && (before == nil || before.Snapshot != after.Snapshot) {
		recorder.metrics.version.Set(float64(after.Snapshot.Version))
		recorder.log.Info().Int64("declaration", after.Snapshot.Version).Msg("a declaration is in force")
	}
	for model, namings := range after.Weights {
		newest := namings.Newest()
		if before == nil || before.Weights[model].Newest() != newest {
			recorder.log.Info().Str("model", model).Int64("version", newest).Msg("weights were named")
		}
	}
}

// mostChanges is how many changes of the list of servers have a line each. Those of more,
// such as the first list that a node hears, are told in one line by their number: at 10,000
// servers, a line each took a node longer to write than all else at its start.
const mostChanges = 64

// Listed hears of changes to the list of servers.
func (recorder *Recorder) Listed(changes []backend.Change) {
	if len(changes) > mostChanges {
		recorder.listedMany(changes)
		return
	}
	for _, change := range changes {
		server := change.Server
		recorder.log.Info().Str("server", server.Instance).Str("service", server.Service).Str("address", server.Address).
			Bool("draining", server.Draining).Bool("gone", change.Gone).Msg("a server changed")
	}
}

func (recorder *Recorder) listedMany(changes []backend.Change) {
	draining, gone := 0, 0
	for _, change := range changes {
		switch {
		case change.Gone:
			gone++
		case change.Server.Draining:
			draining++
		}
	}
	recorder.log.Info().Int("changes", len(changes)).Int("draining", draining).Int("gone", gone).Msg("many servers changed")
}

// Published hears that this node has written the view of the fleet for nodes that start, or
// that this failed.
func (recorder *Recorder) Published(err error) {
	recorder.log.Info().Err(err).Msg("the view of the fleet is published")
}

// Resized hears of the number of nodes in the fleet.
func (recorder *Recorder) Resized(nodes int) {
	recorder.mutex.Lock()
	before := recorder.nodes
	recorder.nodes = nodes
	recorder.mutex.Unlock()
	if before != nodes {
		recorder.log.Info().Int("nodes", nodes).Int("before", before).Msg("the fleet changed")
	}
}

// Acquired hears that this node holds the duty of ordering.
func (recorder *Recorder) Acquired(fence int64, settled time.Duration) {
	recorder.log.Info().Int64("fence", fence).Dur("settles_in", settled).Msg("this node orders servers to load weights")
}

// Released hears that this node holds the duty no longer.
func (recorder *Recorder) Released(fence int64, reason string) {
	recorder.log.Info().Int64("fence", fence).Str("reason", reason).Msg("this node orders servers no longer")
}

var orderResults = map[rollout.Result]string{
	rollout.ResultUnknown:   "unknown",
	rollout.ResultTaken:     "taken",
	rollout.ResultHolds:     "holds",
	rollout.ResultConflict:  "conflict",
	rollout.ResultRejected:  "rejected",
	rollout.ResultFenced:    "fenced",
	rollout.ResultUnreached: "unreached",
}

// Ordered hears of an order.
func (recorder *Recorder) Ordered(order rollout.Order, fence int64, result rollout.Result, err error) {
	name := orderResults[result]
	recorder.metrics.orders.WithLabelValues(name).Inc()
	recorder.log.Info().Str("server", order.Server.Instance).Str("model", order.Model).Int64("version", order.Version).
		Int64("fence", fence).Int64("expected", order.Expected).Str("result", name).Err(err).Msg("order")
}

// Loaded hears that a server has the weights that it was ordered to load.
func (recorder *Recorder) Loaded(loaded rollout.Loaded) {
	recorder.log.Info().Str("server", loaded.Order.Server.Instance).Str("model", loaded.Order.Model).
		Int64("version", loaded.Order.Version).Dur("took", loaded.Took).Msg("weights are loaded")
}

// Unfollowed hears that a holder of cached parts cannot be followed.
func (recorder *Recorder) Unfollowed(holder string, err error) {
	recorder.log.Warn().Str("holder", holder).Err(err).Msg("cached parts cannot be followed")
}

// Followed hears that a holder of cached parts is followed.
func (recorder *Recorder) Followed(holder string) {
	recorder.log.Info().Str("holder", holder).Msg("cached parts are followed")
}

// Garbled hears of news of cached parts that cannot be read.
func (recorder *Recorder) Garbled(node string, err error) {
	recorder.metrics.garbled.Inc()
	recorder.log.Warn().Str("from", node).Err(err).Msg("news of cached parts are dropped")
}

// WentBack hears that the shared store has come back from an older copy.
func (recorder *Recorder) WentBack(before, after int64) {
	recorder.metrics.wentBack.Inc()
	recorder.log.Warn().Int64("before", before).Int64("era", after).Msg("the store has gone back")
}

// EraIgnored hears of what an answer of the store, or a node, tells of its era and is passed over.
func (recorder *Recorder) EraIgnored(told string, current int64) {
	recorder.line(zerolog.WarnLevel).Str("told", told).Int64("era", current).Msg("an era of the store is passed over")
}

// Unreadable hears of an entry of the store that is skipped.
func (recorder *Recorder) Unreadable(key string, at coordination.Position, err error) {
	recorder.metrics.unreadable.WithLabelValues(reasonOf(err)).Inc()
	recorder.line(zerolog.WarnLevel).Str("key", key).Int64("era", at.Era).Int64("revision", at.Revision).Err(err).Msg("an entry cannot be read and is skipped")
}

// reasoned is an error that names a reason for metrics.
type reasoned interface{ Kind() string }

// reasonOf returns a short word for why an entry cannot be read.
func reasonOf(err error) string {
	var known reasoned
	if errors.As(err, &known) {
		return known.Kind()
	}
	return "other"
}
