package telemetry

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/connlimit"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/proxy"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/rollout"
	"github.com/cloverrail/cloverrail/internal/routing"
)

const (
	// linesPerSecond and lineBurst are the rate limit of lines about requests.
	linesPerSecond = 200
	lineBurst      = 400
	// abortedLinesPerSecond and abortedLineBurst are the rate limit of lines about requests that ended without a response,
	// so that others do not displace them.
	abortedLinesPerSecond = 20
	abortedLineBurst      = 200
	// turnedAwayLinesPerSecond and turnedAwayLineBurst are the rate limit of lines about connections that were closed unread.
	turnedAwayLinesPerSecond = 2000
	turnedAwayLineBurst      = 4000
)

// Recorder logs and counts each decision about a request and each change of the
// process's state.
type Recorder struct {
	log     zerolog.Logger
	metrics *Metrics
	limiter *rate.Limiter
	// abortedLimiter limits lines about requests that ended without a response.
	abortedLimiter *rate.Limiter
	// turnedAwayLimiter limits lines about connections that were closed unread.
	turnedAwayLimiter *rate.Limiter

	mutex        sync.Mutex
	suppressed   int
	storeFailing bool
	storeCalls   storeCallLog
	nodes        int
	// unknownHeaders holds the unknown server headers that have been logged.
	unknownHeaders map[string]bool
}

// NewRecorder returns a recorder that writes to log and metrics.
func NewRecorder(log zerolog.Logger, metrics *Metrics) *Recorder {
	return &Recorder{
		log: log, metrics: metrics, unknownHeaders: map[string]bool{},
		limiter:           rate.NewLimiter(linesPerSecond, lineBurst),
		abortedLimiter:    rate.NewLimiter(abortedLinesPerSecond, abortedLineBurst),
		turnedAwayLimiter: rate.NewLimiter(turnedAwayLinesPerSecond, turnedAwayLineBurst),
	}
}

// limitedLine returns an event for a line about a request, or nil if the rate limit is exceeded.
// The next line that is written carries the number of suppressed ones.
func (recorder *Recorder) limitedLine(level zerolog.Level) *zerolog.Event {
	return recorder.lineWithin(recorder.limiter, level)
}

func (recorder *Recorder) lineWithin(limiter *rate.Limiter, level zerolog.Level) *zerolog.Event {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if !limiter.Allow() {
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

// eventName returns the name of an event's type in logs and metrics.
func eventName(event exchange.Event) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", event), "exchange."))
}

// Placed records a placement and the terms that decided it.
func (recorder *Recorder) Placed(request *proxy.Request, choice proxy.PlacementDecision) {
	chosen := choice.Chosen
	if chosen.ReplacedLoss > 0 {
		recorder.metrics.replacedPlacements.Inc()
	}
	line := recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("server", chosen.Endpoint).
		Str("software", chosen.Software).Int("distance", chosen.Distance).Int("in_flight", chosen.InFlight).Float64("failures", chosen.FailureRate)
	if prompt := request.Prompt; prompt != nil {
		line.Int64("version", chosen.Version).Int("prompt", prompt.Tokens).Int("held", chosen.HitBlocks).
			Int("in_store", chosen.ImportBlocks).Int("queued", chosen.QueuedTokens).Int("rank", chosen.AffinityRank)
	}
	addOccupancy(line, choice)
	if choice.Deferred {
		recorder.metrics.deferred.Inc()
		line.Bool("deferred", true)
	}
	if choice.OverLimit > 0 {
		line.Int("passed_over", choice.OverLimit)
	}
	if choice.NoRoom > 0 {
		line.Int("no_room", choice.NoRoom)
	}
	if chosen.Detour {
		line.Bool("detour", true)
	}
	if choice.Rounds > 1 {
		recorder.metrics.placementConflicts.Add(float64(choice.Rounds - 1))
		line.Int("looks", choice.Rounds)
	}
	if choice.LastResort {
		line.Bool("last_resort", true)
	}
	if prediction := choice.Prediction; prediction.Known {
		line.Dur("predicted", prediction.FirstToken).Dur("target", prediction.Target).Bool("meets", prediction.Met)
	}
	line.Dict("costs", costDict(choice.Terms))
	if choice.Next != "" {
		line.Str("next", choice.Next).Dict("next_costs", costDict(choice.NextTerms))
	}
	line.Msg("placed")
}

// FirstTokenPredicted records by how much the first token of a request came earlier or later than
// predicted.
func (recorder *Recorder) FirstTokenPredicted(predicted, actual time.Duration) {
	direction := "late"
	if actual < predicted {
		direction = "early"
	}
	recorder.metrics.predictionErrors.WithLabelValues(direction).Observe((actual - predicted).Abs().Seconds())
}

// addOccupancy adds what the placement knew of the occupancy of the chosen server, where it mattered.
func addOccupancy(line *zerolog.Event, choice proxy.PlacementDecision) {
	if chosen := choice.Chosen; chosen.CacheTokens > 0 {
		line.Int("resident", chosen.ResidentTokens).Int("memory", chosen.CacheTokens)
	}
	if choice.Chosen.FullNodes > 0 {
		line.Int("full", choice.Chosen.FullNodes)
	}
}

// RateLimited records a request that exceeds its tenant's limit.
func (recorder *Recorder) RateLimited(request *proxy.Request, tenant string, limit quota.Limit, decision quota.Decision) {
	recorder.metrics.rateLimited.Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("tenant", tenant).Float64("limit", limit.PerSecond).
		Float64("asked", math.Round(decision.Requested)).Float64("level", math.Round(decision.Level)).
		Float64("share", decision.AdmitRatio).Int("nodes", decision.VisibleNodes).Dur("age", decision.PeersAge).
		Dur("retry_after", decision.RetryAfter).Msg("limited")
}

// OverLimits records a request that no server accepts because of their advertised rate limits.
func (recorder *Recorder) OverLimits(request *proxy.Request, over proxy.OverLimits) {
	recorder.metrics.overServerLimits.WithLabelValues(over.Service).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("service", over.Service).Int("servers", over.Servers).
		Dur("shortest", over.Shortest).Dur("retry_after", over.RetryAfter).Msg("over the limits of servers")
}

// AttemptKept records a silent attempt that is not given up because other nodes hear its server.
func (recorder *Recorder) AttemptKept(request *proxy.Request, server string, silent time.Duration) {
	recorder.metrics.keptAttempts.Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("server", server).Dur("silent", silent).Msg("kept")
}

// RequestQuarantined records a request that is rejected because servers crashed while running it, or others with a part
// of its prompt.
func (recorder *Recorder) RequestQuarantined(request *proxy.Request, suspects quarantine.Suspects, verdict quarantine.Verdict) {
	recorder.metrics.quarantined.WithLabelValues(suspectKind(verdict.Part)).Inc()
	line := recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Stringer("fingerprint", suspects.Request)
	if verdict.Part {
		line.Stringer("part", verdict.Suspect)
	}
	line.Int("ended", verdict.Crashes).
		Float64("weight", verdict.Weight).Bool("company", verdict.Ambiguous).Bool("stored", verdict.Stored).Dur("retry_after", boottime.Until(verdict.Until)).Msg("held off")
}

// SuspectSent records a request that was sent to a server although several servers crashed while running it, or others
// with a part of its prompt.
func (recorder *Recorder) SuspectSent(request *proxy.Request, verdict quarantine.Verdict) {
	recorder.metrics.suspectsSent.WithLabelValues(suspectKind(verdict.Part)).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Stringer(suspectField(verdict.Part), verdict.Suspect).
		Int("ended", verdict.Crashes).Float64("weight", verdict.Weight).Bool("ambiguous", verdict.Ambiguous).Bool("trial", verdict.TrialDue).Msg("suspect sent")
}

// suspectField returns the field of a line that names a suspect.
func suspectField(part bool) string {
	if part {
		return "part"
	}
	return "fingerprint"
}

// SuspicionResolved records whether a server crashed while running a request.
func (recorder *Recorder) SuspicionResolved(suspicion proxy.Suspicion) {
	outcome := "lives"
	if suspicion.Terminated {
		outcome = "ended"
	}
	recorder.metrics.suspicions.WithLabelValues(outcome).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Stringer("fingerprint", suspicion.Suspects.Request).Strs("parts", suspicion.Suspects.PartNames()).Str("server", suspicion.Server).
		Str("settled", outcome).Str("evidence", string(suspicion.Evidence)).Dur("after", suspicion.After).Msg("suspicion")
}

// ResponseEndedWithConnection records a response that had neither a length nor chunks.
func (recorder *Recorder) ResponseEndedWithConnection() { recorder.metrics.endedWithConnection.Inc() }

// SuspicionCleared records that a request got a complete response, which clears a suspect.
func (recorder *Recorder) SuspicionCleared(request *proxy.Request, cleared quarantine.Fingerprint) {
	recorder.metrics.clearedSuspicions.Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Stringer("fingerprint", cleared).Msg("cleared")
}

// OnProbation records that a request with a part on probation may be sent, or that it waits.
func (recorder *Recorder) OnProbation(request *proxy.Request, decision proxy.ProbationDecision) {
	result := "sent"
	if decision.Waits {
		result = "waits"
	}
	recorder.metrics.probation.WithLabelValues(result).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Stringer("part", decision.Part).Int("ended", decision.Crashes).Str("result", result).Msg("on probation")
}

// PassClaimed records a claim of the pass for a part on probation. With an error the node has taken it without the store.
func (recorder *Recorder) PassClaimed(part quarantine.Fingerprint, claimed bool, err error) {
	result := "taken"
	switch {
	case err != nil:
		result = "failed"
	case claimed:
		result = "claimed"
	}
	recorder.metrics.passClaims.WithLabelValues(result).Inc()
	if claimed {
		recorder.limitedLine(zerolog.InfoLevel).Stringer("part", part).Str("result", result).Err(err).Msg("pass claimed")
	}
}

// TrialClaimed records that a request tries a quarantined part, or the error that prevented it.
func (recorder *Recorder) TrialClaimed(request *proxy.Request, part quarantine.Fingerprint, err error) {
	result := "claimed"
	if err != nil {
		result = "failed"
	}
	recorder.metrics.trials.WithLabelValues(result).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Stringer("part", part).Err(err).Msg("trial")
}

// suspectKind returns the label of a metric for a request or a part.
func suspectKind(part bool) string {
	if part {
		return "part"
	}
	return "request"
}

// QuarantinePersisted records a write of a suspect's quarantine state to the shared store, which
// failed if err is set.
func (recorder *Recorder) QuarantinePersisted(fingerprint quarantine.Fingerprint, part, quarantined bool, err error) {
	recorder.log.Info().Stringer("fingerprint", fingerprint).Bool("part", part).Bool("held", quarantined).Err(err).Msg("store write of the quarantine state finished")
}

// NoticeReceived records the server state reported in response headers: all of it, what has
// changed, and the error of a malformed header.
func (recorder *Recorder) NoticeReceived(server string, notice, changed backend.Notice, parseError error) {
	if parseError != nil {
		recorder.metrics.notices.WithLabelValues("unreadable").Inc()
		recorder.limitedLine(zerolog.WarnLevel).Str("server", server).Err(parseError).Msg("ignored a malformed server header")
	}
	if notice.Leaving {
		recorder.metrics.notices.WithLabelValues("leaving").Inc()
	}
	if changed.Leaving {
		recorder.limitedLine(zerolog.InfoLevel).Str("server", server).Msg("server is draining")
	}
	if notice.UnknownHeader != "" {
		recorder.recordUnknownHeader(server, notice.UnknownHeader)
	}
	if notice.HasTolerance {
		recorder.metrics.notices.WithLabelValues("brittle").Inc()
	}
	if notice.HasRateLimit {
		recorder.metrics.notices.WithLabelValues("limit").Inc()
	}
	if notice.RetryAfter > 0 {
		recorder.metrics.notices.WithLabelValues("rest").Inc()
		recorder.limitedLine(zerolog.InfoLevel).Str("server", server).Dur("asked", notice.RetryAfter).Dur("rest", changed.RetryAfter).Msg("server asked for a backoff")
	}
}

// maxUnknownHeaders bounds the unknown server headers that are logged, once each.
const maxUnknownHeaders = 32

// recordUnknownHeader counts an unknown server header, and logs it the first time.
func (recorder *Recorder) recordUnknownHeader(server, header string) {
	recorder.metrics.notices.WithLabelValues("unknown").Inc()
	recorder.mutex.Lock()
	logged := recorder.unknownHeaders[header] || len(recorder.unknownHeaders) >= maxUnknownHeaders
	if !logged {
		recorder.unknownHeaders[header] = true
	}
	recorder.mutex.Unlock()
	if !logged {
		recorder.log.Warn().Str("server", server).Str("word", header).Msg("unknown server header")
	}
}

// OwnCall records one of this node's own calls to a server.
func (recorder *Recorder) OwnCall(call string) {
	recorder.metrics.serverCalls.WithLabelValues(call).Inc()
}

// RateLimitAdvertised records a new or changed rate limit of a server. The limit, in requests per
// second, applies to all nodes together.
func (recorder *Recorder) RateLimitAdvertised(server string, perSecond float64) {
	recorder.limitedLine(zerolog.InfoLevel).Str("server", server).Float64("limit", perSecond).Msg("server advertises a rate limit")
}

// RateLimitLifted records that a server no longer advertises a rate limit.
func (recorder *Recorder) RateLimitLifted(server string) {
	recorder.limitedLine(zerolog.InfoLevel).Str("server", server).Msg("server no longer advertises a rate limit")
}

// PeerRateLimit records a server's rate limit as reported by another node.
func (recorder *Recorder) PeerRateLimit(server string, change quota.LimitChange) {
	line := recorder.limitedLine(zerolog.InfoLevel).Str("server", server)
	if change.Lifted {
		line.Msg("peer reports that a server no longer advertises a rate limit")
		return
	}
	line.Float64("limit", change.PerSecond).Msg("peer reports the rate limit of a server")
}

// PeerDraining records a draining server as reported by another node.
func (recorder *Recorder) PeerDraining(server string) {
	recorder.limitedLine(zerolog.InfoLevel).Str("server", server).Msg("peer reports that a server is draining")
}

// costDict returns the terms of a cost in milliseconds of engine time.
func costDict(terms []routing.Term) *zerolog.Event {
	dict := zerolog.Dict()
	for _, term := range terms {
		dict.Int64(term.Name, int64(math.Round(term.Seconds*1000)))
	}
	return dict
}

// ConnectionUsed records whether a request to a server reused a connection.
func (recorder *Recorder) ConnectionUsed(reused bool) {
	kind := "new"
	if reused {
		kind = "kept"
	}
	recorder.metrics.connections.WithLabelValues(kind).Inc()
}

// ConnectionTurnedAway records a client's connection that was closed before anything was read from it.
func (recorder *Recorder) ConnectionTurnedAway(reason connlimit.Reason, arrival connlimit.Arrival, open, limit int) {
	recorder.metrics.turnedAway.WithLabelValues(string(reason)).Inc()
	line := recorder.lineWithin(recorder.turnedAwayLimiter, zerolog.InfoLevel).Str("reason", string(reason)).Str("client", arrival.Client)
	if arrival.Known {
		line.Int("unread", arrival.Unread).Dur("waited", arrival.Waited)
	}
	line.Int("open", open).Int("limit", limit).Msg("connection turned away")
}

// SheddingChanged records that the node begins or ceases to turn new connections away for want of processor time.
func (recorder *Recorder) SheddingChanged(share float64, delay time.Duration, open int) {
	recorder.log.Info().Float64("share", share).Dur("delay", delay).Int("open", open).Msg("connections are turned away for load")
}

// ConnectionTimedOut records that a connection with an attempt broke because its server acknowledged
// nothing.
func (recorder *Recorder) ConnectionTimedOut(address string) {
	recorder.metrics.connectionTimeouts.Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("address", address).Msg("connection to a silent server timed out")
}

// Attempt records an event of an attempt. Events of the normal course are not logged; the
// request's final line covers them.
func (recorder *Recorder) Attempt(request *proxy.Request, server string, event exchange.Event, suspects quarantine.Suspects) {
	reason := ""
	switch event := event.(type) {
	case exchange.Arrived, exchange.Opened, exchange.Ended:
		return
	case exchange.Placed, exchange.Unplaced, exchange.RetryDue:
		// A placement has its own line; a failed one is logged at the end of the request, and so is the rule against a retry.
		recorder.metrics.attempts.WithLabelValues(eventName(event)).Inc()
		return
	case exchange.Answered:
		if !event.Faulty {
			return
		}
		reason = "the server failed"
	case exchange.Unvouched:
		reason = strconv.Itoa(event.Status)
	case exchange.Refused:
		reason = event.Reason
	case exchange.Unreached:
		reason = event.Reason
	case exchange.Broken:
		reason = event.Reason
	case exchange.Released:
		recorder.recordReleased(request, server, event)
		return
	}
	name := eventName(event)
	recorder.metrics.attempts.WithLabelValues(name).Inc()
	line := recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("server", server).Str("event", name).Str("reason", reason)
	if suspects.Request != 0 {
		line.Stringer("fingerprint", suspects.Request).Strs("parts", suspects.PartNames())
	}
	line.Dur("after", boottime.Since(request.Arrived)).Msg("attempt")
}

// Resent records that a request that may run once is sent again, and what shows that it did not run.
func (recorder *Recorder) Resent(request *proxy.Request, resend exchange.Resend) {
	recorder.metrics.resends.WithLabelValues(resend.Sign.String()).Inc()
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("server", resend.Server).Str("previous", resend.Previous).
		Stringer("sign", resend.Sign).Msg("sent again")
}

// recordReleased records that the request need not wait any longer for its previous server.
func (recorder *Recorder) recordReleased(request *proxy.Request, server string, event exchange.Released) {
	recorder.metrics.releases.WithLabelValues(string(event.Reason)).Inc()
	if event.Reason == exchange.ReleaseNotRequired {
		return
	}
	recorder.metrics.releaseWait.Observe(event.Waited.Seconds())
	recorder.limitedLine(zerolog.InfoLevel).Str("id", request.ID).Str("server", server).Str("reason", string(event.Reason)).
		Dur("waited", event.Waited).Msg("released")
}

// Request records the end of a request.
func (recorder *Recorder) Request(request *proxy.Request, route *catalog.Route, version int64, outcome exchange.Outcome) {
	name, result := "", "answered"
	if route != nil {
		name = route.Name
	}
	limiter, aborted := recorder.limiter, outcome.Failure != nil && (outcome.Cut || outcome.Failure.Kind == failure.KindCallerLeft)
	if aborted {
		limiter = recorder.abortedLimiter
	}
	line := recorder.lineWithin(limiter, zerolog.InfoLevel).Str("id", request.ID).Str("route", name).Int64("declaration", version)
	if outcome.Failure != nil {
		result = string(outcome.Failure.Kind)
		line.Str("problem", outcome.Failure.Problem).Str("outcome", string(outcome.Failure.Outcome))
		if outcome.Sends > 0 && outcome.Failure.Outcome == failure.NotRun {
			line.Stringer("sign", outcome.Sign)
		}
	}
	if aborted {
		line.Bool("aborted", true)
	}
	recorder.metrics.requests.WithLabelValues(name, result).Inc()
	if outcome.TimeToHead > 0 {
		recorder.metrics.firstResponse.WithLabelValues(name).Observe(outcome.TimeToHead.Seconds())
	}
	line.Str("result", result).Int("status", outcome.Status).Int("events", outcome.Events).Int("sends", outcome.Sends).Int("runs", outcome.Runs).
		Dur("first", outcome.TimeToHead).Dur("took", boottime.Since(request.Arrived)).Msg("request")
}

// ReadDone records a read of the shared store. It logs only the start and the end of an outage.
func (recorder *Recorder) ReadDone(took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	recorder.metrics.storeReads.WithLabelValues(result).Inc()
	recorder.mutex.Lock()
	changed := recorder.storeFailing != (err != nil)
	recorder.storeFailing = err != nil
	recorder.mutex.Unlock()
	switch {
	case changed && err != nil:
		recorder.log.Warn().Dur("took", took).Err(err).Msg("store read failed")
	case changed:
		recorder.log.Info().Dur("took", took).Msg("store is readable again")
	}
}

// OnResponse records the size of another node's response to a call.
func (recorder *Recorder) OnResponse(call string, bytes int) {
	recorder.metrics.peerResponseBytes.WithLabelValues(call).Observe(float64(bytes))
}

// UpstreamChanged records which node this one polls, and why it left the previous one.
func (recorder *Recorder) UpstreamChanged(node string, reason error) {
	recorder.metrics.upstreamChanges.Inc()
	recorder.log.Info().Str("asks", node).AnErr("left", reason).Msg("upstream node changed")
}

// UpstreamsLost records that this node reads the store at its start because none of the nodes that it polls answers.
func (recorder *Recorder) UpstreamsLost() {
	recorder.metrics.upstreamsLost.Inc()
	recorder.log.Info().Msg("no upstream node answers; reading the store")
}

// ConfigurationChanged records a change of the node's replica of the declaration.
func (recorder *Recorder) ConfigurationChanged(before, after *catalog.Replica) {
	if after.Snapshot != nil && (before == nil || before.Snapshot != after.Snapshot) {
		recorder.metrics.declarationVersion.Set(float64(after.Snapshot.Version))
		recorder.log.Info().Int64("declaration", after.Snapshot.Version).Str("isolated", after.Snapshot.IsolatedTenants()).Msg("declaration is in force")
	}
	for model, releases := range after.Weights {
		newest := releases.Newest()
		if before == nil || before.Weights[model].Newest() != newest {
			recorder.log.Info().Str("model", model).Int64("version", newest).Msg("new weights version released")
		}
	}
}

// maxChangeLines is the number of changes to the server list up to which each is logged by itself.
// More, such as the first list that a node receives, are summarized in one line: at 10,000
// servers, one line each took longer to write than the rest of a node's start.
const maxChangeLines = 64

// ServersChanged records changes to the server list.
func (recorder *Recorder) ServersChanged(changes []backend.Change) {
	if len(changes) > maxChangeLines {
		recorder.summarizeChanges(changes)
		return
	}
	for _, change := range changes {
		server := change.Server
		recorder.log.Info().Str("server", server.Instance).Str("service", server.Service).Str("address", server.Address).
			Bool("draining", server.Draining).Bool("gone", change.Gone).Msg("server list entry changed")
	}
}

func (recorder *Recorder) summarizeChanges(changes []backend.Change) {
	draining, removed := 0, 0
	for _, change := range changes {
		switch {
		case change.Gone:
			removed++
		case change.Server.Draining:
			draining++
		}
	}
	recorder.log.Info().Int("changes", len(changes)).Int("draining", draining).Int("gone", removed).Msg("many server list entries changed")
}

// ViewPublished records that this node wrote, or failed to write, the fleet view that starting
// nodes bootstrap from.
func (recorder *Recorder) ViewPublished(err error) {
	recorder.log.Info().Err(err).Msg("store write of the fleet view finished")
}

// ResponseTooLarge counts a response of a server that exceeds a bound. The line of its attempt names the bound.
func (recorder *Recorder) ResponseTooLarge(bound string) {
	recorder.metrics.tooLargeResponses.WithLabelValues(bound).Inc()
}

// Retry counts a retry that the budget of a service granted or denied.
func (recorder *Recorder) Retry(service string, granted bool) {
	result := "denied"
	if granted {
		result = "granted"
	}
	recorder.metrics.retries.WithLabelValues(service, result).Inc()
}

// RetryShareChanged records the number of nodes that share the part of the fleet's retries which does not depend on
// requests; 0 if this node has no share of it.
func (recorder *Recorder) RetryShareChanged(nodes int) {
	recorder.log.Info().Int("nodes", nodes).Msg("share of retries changed")
}

// FleetResized records the number of nodes in the fleet, and logs it if it has changed, with whether the store has
// this node's registration.
func (recorder *Recorder) FleetResized(nodes int, registered bool) {
	recorder.mutex.Lock()
	before := recorder.nodes
	recorder.nodes = nodes
	recorder.mutex.Unlock()
	if before != nodes {
		recorder.log.Info().Int("nodes", nodes).Int("before", before).Bool("registered", registered).Msg("fleet size changed")
	}
}

// Acquired records that this node has become the rollout leader.
func (recorder *Recorder) Acquired(fence int64, settlesIn time.Duration) {
	recorder.log.Info().Int64("fence", fence).Dur("settles_in", settlesIn).Msg("acquired rollout leadership")
}

// Released records that this node is no longer the rollout leader.
func (recorder *Recorder) Released(fence int64, reason string) {
	recorder.log.Info().Int64("fence", fence).Str("reason", reason).Msg("released rollout leadership")
}

var orderResults = map[rollout.Result]string{
	rollout.ResultUnknown:       "unknown",
	rollout.ResultAccepted:      "taken",
	rollout.ResultAlreadyLoaded: "holds",
	rollout.ResultConflict:      "conflict",
	rollout.ResultRejected:      "rejected",
	rollout.ResultFenced:        "fenced",
	rollout.ResultUnreachable:   "unreached",
}

// Ordered records an order to a server and its result.
func (recorder *Recorder) Ordered(order rollout.Order, fence int64, result rollout.Result, err error) {
	name := orderResults[result]
	recorder.metrics.orders.WithLabelValues(name).Inc()
	if order.Waited > 0 {
		recorder.metrics.waitedOrders.Inc()
	}
	recorder.log.Info().Str("server", order.Server.Instance).Str("model", order.Model).Int64("version", order.Version).
		Int64("fence", fence).Int64("expected", order.Expected).Dur("waited", order.Waited).Str("result", name).Err(err).Msg("order")
}

// Loaded records that a server has loaded the weights that it was ordered to.
func (recorder *Recorder) Loaded(loaded rollout.Loaded) {
	recorder.log.Info().Str("server", loaded.Order.Server.Instance).Str("model", loaded.Order.Model).
		Int64("version", loaded.Order.Version).Dur("took", loaded.Took).Msg("server loaded weights")
}

// WatchLost records that the cache of a holder cannot be watched any more.
func (recorder *Recorder) WatchLost(holder string, err error) {
	recorder.log.Warn().Str("holder", holder).Err(err).Msg("cache watch failed")
}

// WatchStarted records that the cache of a holder is being watched.
func (recorder *Recorder) WatchStarted(holder string) {
	recorder.log.Info().Str("holder", holder).Msg("cache watch started")
}

// CacheUpdatesRejected records malformed cache updates from another node.
func (recorder *Recorder) CacheUpdatesRejected(node string, err error) {
	recorder.metrics.malformedUpdates.Inc()
	recorder.log.Warn().Str("from", node).Err(err).Msg("dropped malformed cache updates")
}

// StoreRestored records that the shared store was restored from an older copy.
func (recorder *Recorder) StoreRestored(before, after coordination.Era) {
	recorder.metrics.storeRestores.Inc()
	recorder.log.Warn().Any("before", before).Any("era", after).Msg("store was restored from an older copy")
}

// EraIgnored records an invalid or outdated store era in a response of the store or of a node.
func (recorder *Recorder) EraIgnored(value string, current coordination.Era) {
	recorder.limitedLine(zerolog.WarnLevel).Str("told", value).Any("era", current).Msg("ignored an invalid or outdated store era")
}

// EntryUnreadable records a store entry that was skipped.
func (recorder *Recorder) EntryUnreadable(key string, at coordination.Position, err error) {
	recorder.metrics.unreadableEntries.WithLabelValues(metricReason(err)).Inc()
	recorder.limitedLine(zerolog.WarnLevel).Str("key", key).Any("era", at.Era).Int64("revision", at.Revision).Err(err).Msg("skipped an unreadable store entry")
}

// reasonedError is an error with a reason for metrics.
type reasonedError interface{ Kind() string }

// metricReason returns the metrics label for why an entry cannot be read.
func metricReason(err error) string {
	var reasoned reasonedError
	if errors.As(err, &reasoned) {
		return reasoned.Kind()
	}
	return "other"
}
