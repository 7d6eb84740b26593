package proxy

import (
	"math"
	"slices"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/routing"
)

const (
	// plainRequestCost is the estimated delay in seconds that each running plain request
	// adds to the next one on the same server.
	plainRequestCost = 0.01
	// placementWaitDivisor sets how long a request waits for a server with free capacity
	// before it is refused: the target latency divided by it.
	placementWaitDivisor = 8
	// firstEventTimeoutFactor and eventGapTimeoutFactor bound the silence before the
	// first event, as a multiple of the target latency, and between events, as a multiple
	// of the target gap. Then a repeatable request may be retried on another server.
	firstEventTimeoutFactor = 0.5
	eventGapTimeoutFactor   = 4
	minEventGapTimeout      = time.Second
	// maxSilenceFactor is the silence, as a multiple of the target latency, after which
	// an attempt is retried elsewhere even if its server answers other requests.
	maxSilenceFactor = 2.5
	// prefillAllowanceFactor is how many times its estimated duration a prefill may take
	// before the silence counts against the server.
	prefillAllowanceFactor = 2
	// storeSaveDelay is the time after the first event by which the saved parts of a
	// prompt are assumed to have reached the store.
	storeSaveDelay = 150 * time.Millisecond
	// workWeight is the cost of a second of prefill relative to a second of waiting.
	// Prefill costs more because it delays every later request on the engine.
	workWeight = 4
	// answerValueFactor is the value of a timely answer in engine time, as a multiple of
	// the target latency: other requests may wait that long in total to save one answer.
	answerValueFactor = 4
)

// exchangeRequest returns the exchange.Request for an admitted request.
func (proxy *Proxy) exchangeRequest(admitted *admitted, caller exchange.Caller) exchange.Request {
	route, placer := admitted.route, newPlacer(proxy, admitted)
	service := admitted.service.Name
	budget := &requestBudget{budget: proxy.retryBudgets.ForService(service), service: service, recorder: proxy.recorder, borrow: proxy.borrowRetries}
	return exchange.Request{
		Rules: exchange.Rules{
			Repeatable:    route.Retryable(),
			MaxRuns:       max(1, route.MaxAttempts),
			MaxSends:      exchange.DefaultMaxSends,
			PlacementWait: route.TargetLatency / placementWaitDivisor,
			RetryAfter:    retryAfter(route),
		},
		Budget:          budget,
		RetryQueue:      budget,
		SilenceTimeouts: placer.silenceTimeouts(),
		ResumeAfter:     admitted.request.ResumeAfter,
		Placer:          placer,
		Caller:          caller,
		Stopping:        proxy.stopping,
		Observe: func(server string, event exchange.Event) {
			suspects := quarantine.Suspects{}
			if _, broke := event.(exchange.Broken); broke {
				suspects = admitted.suspects()
			}
			proxy.recorder.Attempt(admitted.request, server, event, suspects)
		},
		ObserveResend: func(resend exchange.Resend) { proxy.recorder.Resent(admitted.request, resend) },
		ObserveWait:   func(wait exchange.Wait) { proxy.recorder.StreamWaits(admitted.request, wait) },
	}
}

// silenceTimeouts returns the bounds on the silence of attempts.
func (placer *placer) silenceTimeouts() exchange.SilenceTimeouts {
	route := placer.admitted.route
	if !route.Retryable() {
		return exchange.SilenceTimeouts{}
	}
	timeouts := exchange.SilenceTimeouts{
		FirstEvent:    time.Duration(firstEventTimeoutFactor * float64(route.TargetLatency)),
		BetweenEvents: placer.eventGapTimeout(),
	}
	if placer.sharesPriorities() {
		timeouts.Recheck = silenceRecheckInterval
	}
	return timeouts
}

// eventGapTimeout returns how long a server may be silent between two events.
func (placer *placer) eventGapTimeout() time.Duration {
	return max(minEventGapTimeout, eventGapTimeoutFactor*placer.admitted.route.GapTarget)
}

// retryAfter returns the retry delay for refused callers: short enough that a retry can
// still be served in time, and long enough for queues to have drained a little.
func retryAfter(route *catalog.Route) time.Duration {
	return max(50*time.Millisecond, route.TargetLatency/4)
}

// placer chooses servers for one request.
type placer struct {
	proxy    *Proxy
	admitted *admitted
	// pieces caches the keys of the prompt's shared parts by the build of the servers.
	pieces map[cacheBuild][]residency.Piece
	// storedTokens caches how many shared tokens the KV cache store holds, by build.
	storedTokens map[cacheBuild]int
	// retryAt is when the caller is told to retry because all servers were at their request
	// limits; zero if that has not happened.
	retryAt time.Time
	// resident caches the result of residentPrefixes.
	resident []backend.Prefix
	// excluded lists the servers that were already tried.
	excluded []string
	// readmitted lists the servers that the request returns to because no other one can serve it.
	readmitted []string
	overload   overloadCheck
	// verdict is the latest one on the request.
	verdict quarantine.Verdict
	// foundNoRoom is set once a brittle server had no room for the request.
	foundNoRoom bool
	// passesEarlier is set once the stream may go on at any server, whatever becomes of an earlier attempt.
	passesEarlier bool
}

func newPlacer(proxy *Proxy, admitted *admitted) *placer {
	return &placer{proxy: proxy, admitted: admitted, pieces: map[cacheBuild][]residency.Piece{}, storedTokens: map[cacheBuild]int{}}
}

// Readmit makes the request return to servers that were silent, although their circuit breakers are open. All that left
// one return: if the others' refusals had been known, they would not have left.
func (placer *placer) Readmit(servers []string) {
	placer.readmitted = append(placer.readmitted, servers...)
}

// Place chooses the cheapest available server and begins an attempt on it.
func (placer *placer) Place(excluded []string) (exchange.Placement, *exchange.Unplaced) {
	placement, unplaced := placer.choose(excluded)
	if unplaced != nil {
		placer.admitted.returnPass()
		return nil, unplaced
	}
	return placement, nil
}

// choose is Place, but for the pass of a request that is not placed.
func (placer *placer) choose(excluded []string) (*placement, *exchange.Unplaced) {
	placer.excluded = excluded
	now := boottime.Now()
	if unplaced := placer.checkBarred(now); unplaced != nil {
		return nil, unplaced
	}
	if placer.lacksPass() {
		// This is cheaper than to choose a server first.
		return nil, placer.unplacedOnProbation()
	}
	scheduler, request := routing.NewScheduler(placer.scorers()...), placer.routingRequest()
	for round := 1; round <= maxPlacementRounds; round++ {
		if round == 2 {
			placer.proxy.conflictMutex.Lock()
			defer placer.proxy.conflictMutex.Unlock()
		}
		selection := &selection{scheduler: scheduler, request: request, readmitted: placer.readmitted, strict: round < maxPlacementRounds}
		placed, unplaced := placer.selectAndBegin(selection, excluded, boottime.Now())
		if placed != nil {
			placer.admitted.placedAt = placed.placedAt
			if placer.proxy.running != nil {
				placer.admitted.stream.setLatest(placed)
			}
			placed.prepareDispatch()
			placer.proxy.recorder.Placed(placer.admitted.request, placer.describe(selection, placed, round))
			if placer.verdict.Crashes >= minReportedCrashes {
				placer.proxy.recorder.SuspectSent(placer.admitted.request, placer.verdict)
			}
			return placed, nil
		}
		if unplaced != nil {
			return nil, unplaced
		}
	}
	return nil, &exchange.Unplaced{Reason: "servers filled up with other requests during placement"}
}

// checkBarred returns why no server may get the request any more, or nil.
func (placer *placer) checkBarred(now time.Time) *exchange.Unplaced {
	if reason := placer.blockedByQuarantine(now); reason != "" {
		return &exchange.Unplaced{Reason: reason, Permanent: true, Final: true}
	}
	// The timer that ends the request does not advance while the machine is suspended.
	if !now.Before(placer.admitted.deadline) {
		return &exchange.Unplaced{Expired: true}
	}
	if unplaced := placer.unplacedInStop(now); unplaced != nil {
		return unplaced
	}
	return placer.checkOrigin()
}

const (
	// subsetSize is the number of servers of a large service that a request chooses from.
	// The best of 64 is as good as the best of thousands while a few percent are busy: with
	// five zones, about 12 are in each, and with a third of all servers unreachable, all 64
	// are with probability 1e-30. Placement among 64 takes about 40 us and 18 kB, among
	// 10,000 it takes 9.8 ms and 2.8 MB (BenchmarkPlace).
	subsetSize = 64
	// subsetGrowth is the factor by which the subset grows if none of its servers accepts
	// the request.
	subsetGrowth = 4
	// maxPlacementRounds bounds the rounds of a placement whose choice is invalidated by
	// concurrent placements on the same server. From the second round on, placements hold
	// conflictMutex, so that they can lose only to first rounds. The last round requires
	// only that the server accepts the request.
	maxPlacementRounds = 4
)

// selection is one round of placement: a snapshot of the candidates and the decision.
type selection struct {
	scheduler  *routing.Scheduler
	request    *routing.Request
	candidates []routing.Candidate
	decision   routing.Decision
	// strict requires that the chosen server is still the first in rank when the attempt begins,
	// and not only that it still accepts the request.
	strict bool
	// lastResort is set if the circuit breakers of all remaining servers are open.
	lastResort bool
	// readmitted lists the servers that the request returns to.
	readmitted []string
}

// passBreaker makes a candidate eligible as a last resort although its circuit breaker is open. It gets one probe at a time,
// and the requests that return to it.
func (s *selection) passBreaker(candidate *routing.Candidate) {
	candidate.BreakerOpen = false
	candidate.Probing = candidate.Probing && !slices.Contains(s.readmitted, candidate.Endpoint)
}

// schedule runs the scheduler on the candidates.
func (s *selection) schedule() { s.decision = s.scheduler.Schedule(s.request, s.candidates) }

// chosen returns the chosen candidate.
func (s *selection) chosen() *routing.Candidate { return &s.candidates[s.decision.Index] }

// stillValid reports whether the decision holds with the current state of the chosen server.
func (s *selection) stillValid(current *routing.Candidate) bool {
	if current.Version != s.chosen().Version || current.Software != s.chosen().Software {
		return false
	}
	if s.lastResort {
		s.passBreaker(current)
	}
	if routing.Filter(s.request, current) != routing.Accepted {
		return false
	}
	if !s.strict || s.decision.Next < 0 {
		return true
	}
	next := s.scheduler.Rank(s.request, &s.candidates[s.decision.Next])
	return !next.Less(s.scheduler.Rank(s.request, current))
}

// selectAndBegin begins an attempt on the cheapest server of the prompt's subset, which is the
// same on all nodes. It widens the subset only if none of its servers accepts the request or if
// slots are scarce. If it returns neither a placement nor a reason, a concurrent placement
// invalidated the decision.
func (placer *placer) selectAndBegin(selection *selection, excluded []string, now time.Time) (*placement, *exchange.Unplaced) {
	query := placer.query(now)
	for query.Limit = subsetSize; ; query.Limit *= subsetGrowth {
		selection.candidates = placer.loadCandidates(query, excluded, now)
		all := len(selection.candidates) < query.Limit
		for placer.selectCandidate(selection, all) {
			if refusal := placer.checkOverload(selection, excluded, now); refusal != nil {
				return nil, refusal
			}
			if unplaced := placer.takePass(); unplaced != nil {
				return nil, unplaced
			}
			placed := placer.begin(selection, query, now)
			if placed == nil || placer.takeFromLimit(selection.chosen(), now) {
				return placed, nil
			}
			placed.attempt.End(exchange.ResultNeutral, now)
		}
		if len(selection.candidates) == 0 && query.BeginsStream && placer.proxy.set.ListsUnrecordedSoftware(query.Service, now) {
			return nil, &exchange.Unplaced{Reason: "the software versions of the service's servers are not recorded in the store yet"}
		}
		if len(selection.candidates) == 0 {
			return nil, placer.noServer()
		}
		if !all {
			continue
		}
		keepsToEarlier := placer.keepsToEarlier(now)
		if unplaced := placer.unplacedBesideEarlier(now); unplaced != nil {
			return nil, unplaced
		}
		if !keepsToEarlier {
			return nil, placer.unplaced(selection.candidates, selection.decision, now)
		}
		placer.passesEarlier = true
	}
}

// noServerRetryAfter is when callers may come back to a service without servers. Servers take seconds to
// start.
const noServerRetryAfter = time.Second

// noServer returns the refusal of a request whose service has no server. It waits only until this node has a
// list of servers.
func (placer *placer) noServer() *exchange.Unplaced {
	unplaced := &exchange.Unplaced{Reason: "no server of the service is registered"}
	if !placer.proxy.set.ListReadSince(time.Time{}) {
		return unplaced
	}
	unplaced.Permanent = true
	unplaced.RetryAfter = noServerRetryAfter + time.Duration(retryJitter*hashFraction(placer.admitted.request.ID)*float64(noServerRetryAfter))
	return unplaced
}

// hasAlternative reports whether the request may go to another server, and the subset has one that was not yet tried
// and accepts it now.
func (placer *placer) hasAlternative(server string) bool {
	now := boottime.Now()
	if placer.checkBarred(now) != nil || placer.lacksPass() {
		return false
	}
	selection := &selection{scheduler: routing.NewScheduler(placer.scorers()...), request: placer.routingRequest()}
	query := placer.query(now)
	query.Limit = subsetSize
	excluded := append(slices.Clone(placer.excluded), server)
	selection.candidates = placer.loadCandidates(query, excluded, now)
	selection.schedule()
	return selection.decision.Index >= 0
}

// loadCandidates returns the current state of the servers, annotated for the request.
func (placer *placer) loadCandidates(query backend.Query, excluded []string, now time.Time) []routing.Candidate {
	candidates := placer.proxy.set.Candidates(nil, query, now)
	routing.Exclude(candidates, excluded)
	placer.markLimited(candidates, now)
	placer.markNoRoom(candidates, now)
	if placer.prompt() != nil {
		placer.annotate(candidates, now)
		placer.annotateOccupancy(candidates)
	}
	if placer.estimatesCapacity() {
		placer.annotateCapacity(candidates, now)
	}
	placer.isolateSuspect(candidates)
	placer.keepToEarlier(candidates, now)
	return candidates
}

// selectCandidate runs the scheduler and reports whether it chose a candidate. If the candidates
// are all servers of the service and none is accepted, those with an open circuit breaker become
// eligible. Each of them gets one probe at a time, since all concurrent requests would fail with it.
func (placer *placer) selectCandidate(selection *selection, all bool) bool {
	selection.schedule()
	if !all && (selection.decision.Index < 0 || routing.SlotsScarce(selection.candidates)) {
		return false
	}
	if selection.decision.Index < 0 && selection.request.AvoidFull {
		// A server that refuses other nodes may still accept this request, and no other one does.
		selection.request.AvoidFull = false
		selection.schedule()
	}
	if selection.decision.Index < 0 && !placer.keepsToEarlier(boottime.Now()) {
		selection.lastResort = true
		for i := range selection.candidates {
			selection.passBreaker(&selection.candidates[i])
		}
		selection.schedule()
	}
	return selection.decision.Index >= 0
}

// describe returns the record of a placement for the Recorder.
func (placer *placer) describe(s *selection, placed *placement, rounds int) PlacementDecision {
	decision := PlacementDecision{
		Chosen: placed.chosen, Terms: s.scheduler.Terms(s.request, &placed.chosen), Deferred: placed.deferred,
		OverLimit: countLimited(s.candidates), NoRoom: countNoRoom(s.candidates), Rounds: rounds, LastResort: s.lastResort, Prediction: placed.prediction(),
	}
	if s.decision.Next >= 0 {
		next := &s.candidates[s.decision.Next]
		decision.Next, decision.NextTerms = next.Endpoint, s.scheduler.Terms(s.request, next)
	}
	return decision
}

// retryJitter is the fraction of a backoff over which the retries of refused callers are spread.
const retryJitter = 0.25

// unplaced returns why no candidate accepts the request. Waiting helps only if a candidate can
// become available while the request waits. If all remaining servers have requested a backoff,
// RetryAfter is the end of the shortest one, plus jitter, since servers accept few requests at
// first after a backoff. If no node reaches them, it is the time of the next attempt to reach one.
func (placer *placer) unplaced(candidates []routing.Candidate, decision routing.Decision, now time.Time) *exchange.Unplaced {
	if placer.admitted.origin != nil && allLeaving(candidates) {
		return placer.cannotGoOn("all servers of the software version that began the stream are shutting down")
	}
	unplaced := &exchange.Unplaced{Reason: "no server is eligible: " + string(decision.LastRejection), Permanent: true}
	tried := false
	var limited []uint64
	shortest, shortestDown := time.Duration(math.MaxInt64), time.Duration(0)
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.Leaving:
		case c.LimitWait > 0 && !c.Excluded && c.BackoffLeft == 0:
			limited, shortest = append(limited, backend.ServerKey(c.Endpoint)), min(shortest, c.LimitWait)
		case c.BackoffLeft > 0:
			if unplaced.RetryAfter == 0 || c.BackoffLeft < unplaced.RetryAfter {
				unplaced.RetryAfter = c.BackoffLeft
			}
		case c.Down:
			if shortestDown == 0 || c.DownFor < shortestDown {
				shortestDown = c.DownFor
			}
		case c.Excluded:
			tried = true
		default:
			return &exchange.Unplaced{Reason: unplaced.Reason}
		}
	}
	if len(limited) > 0 {
		return placer.allOverLimit(unplaced, limited, shortest, now)
	}
	if unplaced.RetryAfter == 0 || shortestDown > 0 && shortestDown < unplaced.RetryAfter {
		unplaced.RetryAfter = shortestDown
	}
	if tried {
		// A retry by the caller may use a server that this request has already tried.
		unplaced.RetryAfter = 0
	}
	unplaced.Permanent = unplaced.RetryAfter == 0 || unplaced.RetryAfter > placer.admitted.route.TargetLatency/placementWaitDivisor
	unplaced.RetryAfter += time.Duration(retryJitter * hashFraction(placer.admitted.request.ID) * float64(unplaced.RetryAfter))
	return unplaced
}

// allLeaving reports whether all candidates are shutting down.
func allLeaving(candidates []routing.Candidate) bool {
	return !slices.ContainsFunc(candidates, func(c routing.Candidate) bool { return !c.Leaving })
}

// hashFraction maps a request ID to a number from 0 to 1.
func hashFraction(id string) float64 { return float64(prefix.HashName(id)) / math.MaxUint64 }

// annotate fills in the candidates' affinity, cache hits, import sources and replaced loss.
func (placer *placer) annotate(candidates []routing.Candidate, now time.Time) {
	key := placer.affinityKey()
	clear(placer.storedTokens)
	for index := range candidates {
		candidate := &candidates[index]
		candidate.Affinity = prefix.Weight(key, candidate.Endpoint)
		pieces := placer.piecesAt(cacheBuildOf(candidate))
		candidate.HitBlocks = placer.proxy.ledger.CachedTokens(candidate.Address, candidate.Endpoint, pieces, now)
		candidate.ReplacedLoss = placer.proxy.replacedLoss(placer.prompt().Model, candidate.Version, now)
	}
	placer.annotateSources(candidates, now)
}

// begin registers an attempt on the chosen server. It returns nil if the decision is no longer
// valid.
func (placer *placer) begin(selection *selection, query backend.Query, now time.Time) *placement {
	chosen := *selection.chosen()
	deferred, tokens := placer.deferred(selection.request, &chosen, now), 0
	if prompt := placer.prompt(); prompt != nil {
		tokens = max(0, prompt.Tokens-max(chosen.HitBlocks, chosen.ImportBlocks))
	}
	rooms, groups := placer.proxy.serverRooms, placer.serverGroups()
	proposed := backend.Placement{Query: query, Chosen: chosen, Tokens: tokens, ResidentTokens: placer.privateTokens(), Deferred: deferred, StillValid: func(current *routing.Candidate) bool {
		valid := selection.stillValid(current) && rooms.Admits(placer.serverUse(current, groups), placer.draw(current), now)
		chosen = *current
		return valid
	}}
	attempt := placer.proxy.set.Begin(proposed, now)
	if attempt == nil {
		return nil
	}
	return &placement{placer: placer, continues: placer.admitted.origin != nil, request: selection.request, chosen: chosen, attempt: attempt, prefillTokens: tokens, deferred: deferred, placedAt: now, suspendedAtPlacement: boottime.Suspended()}
}
