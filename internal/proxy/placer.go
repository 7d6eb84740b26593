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
	// plainTurn is the assumed share of a plain request's time that it takes from
	// the next one at its server, in seconds.
	plainTurn = 0.01
	// placementPart is the part of the target latency for which a request waits
	// for a server with room before it is refused.
	placementPart = 8
	// firstPatience and gapPatience are the silences, in targets, after which a
	// request that may run again is tried elsewhere.
	firstPatience = 0.5
	gapPatience   = 4
	leastGap      = time.Second
	// lastDoubt is the silence, in targets, after which an attempt is tried elsewhere
	// even if its server answers others.
	lastDoubt = 2.5
	// readingAllowance is how much longer than expected the reading of a prompt may
	// take before its server is doubted.
	readingAllowance = 2
	// saveTime is how long after the first event the parts of a prompt have surely
	// reached the store.
	saveTime = 150 * time.Millisecond
	// workWeight is how much dearer a second of reading a prompt is than a second
	// of waiting: it is taken from every request that comes after.
	workWeight = 4
	// answerWorth is how many target latencies of engine time an answer in time is
	// worth: to save one that would be lost, others may wait for so long in all.
	answerWorth = 4
)

// exchange builds what the driver needs of an admitted request.
func (proxy *Proxy) exchange(admitted *admitted, caller exchange.Caller) exchange.Request {
	route := admitted.route
	return exchange.Request{
		Rules: exchange.Rules{
			Repeatable:    route.MayRunAgain(),
			Runs:          max(1, route.MaxAttempts),
			Sends:         exchange.DefaultSends,
			PlacementWait: route.TargetLatency / placementPart,
			RetryAfter:    retryAfter(route),
		},
		Budget:      proxy.retries.Of(admitted.service.Name),
		Patience:    patience(route),
		ResumeAfter: admitted.request.ResumeAfter,
		Placer:      newPlacer(proxy, admitted),
		Caller:      caller,
		Stopping:    proxy.stopping,
		Observe: func(server string, event exchange.Event) {
			fingerprint := quarantine.Fingerprint(0)
			if _, broke := event.(exchange.Broken); broke {
				fingerprint = admitted.fingerprint()
			}
			proxy.recorder.Attempt(admitted.request, server, event, fingerprint)
		},
	}
}

func patience(route *catalog.Route) exchange.Patience {
	if !route.MayRunAgain() {
		return exchange.Patience{}
	}
	return exchange.Patience{
		First:   time.Duration(firstPatience * float64(route.TargetLatency)),
		Between: max(leastGap, gapPatience*route.GapTarget),
	}
}

// retryAfter is when a caller that was refused should come back: soon enough to
// be served in time, and late enough for a queue to have moved on.
func retryAfter(route *catalog.Route) time.Duration {
	return max(50*time.Millisecond, route.TargetLatency/4)
}

// placer chooses servers for one request.
type placer struct {
	proxy    *Proxy
	admitted *admitted
	// pieces holds the shared parts of the prompt as they are named at each version.
	pieces map[int64][]residency.Piece
	// stored holds how much of it the store of kept KV cache has at each version.
	stored map[int64]int
	// comeBack is when the caller is to come back that meets the limits of all servers; zero if it
	// has not met them.
	comeBack time.Time
	// excluded names the servers that have been tried.
	excluded []string
}

func newPlacer(proxy *Proxy, admitted *admitted) *placer {
	return &placer{proxy: proxy, admitted: admitted, pieces: map[int64][]residency.Piece{}, stored: map[int64]int{}}
}

// Place filters, scores and picks among the servers known now.
func (placer *placer) Place(excluded []string) (exchange.Placement, *exchange.Unplaced) {
	placer.excluded = excluded
	now := boottime.Now()
	if verdict := placer.proxy.heldOff(placer.admitted, now); verdict.Held {
		return nil, &exchange.Unplaced{Reason: heldOffProblem(verdict), Lasting: true}
	}
	// A suspension stops the timer that would have ended the request.
	if !now.Before(placer.admitted.deadline) {
		return nil, &exchange.Unplaced{Reason: "the request's time is over", Lasting: true}
	}
	scheduler, request := routing.NewScheduler(placer.scorers()...), placer.routingRequest()
	for look := 1; look <= mostLooks; look++ {
		if look == 2 {
			placer.proxy.replacing.Lock()
			defer placer.proxy.replacing.Unlock()
		}
		choice := &choice{scheduler: scheduler, request: request, strict: look < mostLooks}
		placed, unplaced := placer.choose(choice, excluded, boottime.Now())
		if placed != nil {
			placer.proxy.recorder.Placed(placer.admitted.request, placer.explain(choice, placed, look))
			return placed, nil
		}
		if unplaced != nil {
			return nil, unplaced
		}
	}
	return nil, &exchange.Unplaced{Reason: "servers fill up faster than the request is placed"}
}

const (
	// neighbourhood is how many servers of a large service a request chooses from. The best
	// of 64 that are drawn by its prompt is as good as the best of thousands while a few in a
	// hundred are busy: of five zones each has a dozen in it, and a third of all may be dark
	// at once without a neighbourhood that is all dark (1 in 10^30). To look at all of 10,000
	// takes 9.8 ms and 2.8 MB, to look at 64 some 40 us and 18 kB (BenchmarkPlace).
	neighbourhood = 64
	// widening is by how much the neighbourhood grows if none of it takes the request.
	widening = 4
	// mostLooks is how often a placement looks at the servers if others are placed at the one that
	// it chose before it is. From the second look on, placements take turns, so that they lose
	// to first looks only; the last look asks only whether the server takes the request.
	mostLooks = 4
)

// choice is one look at the servers, and what was decided by it.
type choice struct {
	scheduler  *routing.Scheduler
	request    *routing.Request
	candidates []routing.Candidate
	decision   routing.Decision
	// strict says that the chosen server must still be the best when the attempt begins there, and
	// not only take the request.
	strict bool
	// lastResort says that all servers that are left rest after failures.
	lastResort bool
}

// schedule chooses among the candidates.
func (c *choice) schedule() { c.decision = c.scheduler.Schedule(c.request, c.candidates) }

// chosen is the chosen candidate.
func (c *choice) chosen() *routing.Candidate { return &c.candidates[c.decision.Index] }

// stands reports whether the choice would be the same with the chosen server as it is now.
func (c *choice) stands(current *routing.Candidate) bool {
	if current.Version != c.chosen().Version {
		return false
	}
	if c.lastResort {
		current.Resting = false
	}
	if routing.Filter(c.request, current) != routing.Accepted {
		return false
	}
	if !c.strict || c.decision.Next < 0 {
		return true
	}
	return c.scheduler.Cost(c.request, current) <= c.scheduler.Cost(c.request, &c.candidates[c.decision.Next])
}

// choose looks at the servers and begins at the best of them. It looks at the neighbourhood of
// the prompt, which is the same for all nodes, and further only if nothing there takes the request
// or if slots are scarce there. Without a placement and a reason, the choice did not stand.
func (placer *placer) choose(choice *choice, excluded []string, now time.Time) (*placement, *exchange.Unplaced) {
	query := placer.query(now)
	for query.Most = neighbourhood; ; query.Most *= widening {
		choice.candidates = placer.look(query, excluded, now)
		all := len(choice.candidates) < query.Most
		for placer.decide(choice, all) {
			placed := placer.begin(choice, query, now)
			if placed == nil || placer.mayTake(choice.chosen(), now) {
				return placed, nil
			}
			placed.attempt.End(exchange.ResultNeutral, now)
		}
		if len(choice.candidates) == 0 {
			return nil, &exchange.Unplaced{Reason: "no server is known"}
		}
		if all {
			return nil, placer.unplaced(choice.candidates, choice.decision, now)
		}
	}
}

// elsewhere reports whether a server of the neighbourhood takes the request now that has not been
// tried and is not the given one.
func (placer *placer) elsewhere(server string) bool {
	now := boottime.Now()
	choice := &choice{scheduler: routing.NewScheduler(placer.scorers()...), request: placer.routingRequest()}
	query := placer.query(now)
	query.Most = neighbourhood
	excluded := append(slices.Clone(placer.excluded), server)
	choice.candidates = placer.look(query, excluded, now)
	choice.schedule()
	return choice.decision.Index >= 0
}

// look returns the servers as they are now, with what is known of the prompt at each.
func (placer *placer) look(query backend.Query, excluded []string, now time.Time) []routing.Candidate {
	candidates := placer.proxy.set.Candidates(nil, query, now)
	routing.Exclude(candidates, excluded)
	placer.limit(candidates, now)
	if placer.prompt() != nil {
		placer.annotate(candidates, now)
	}
	placer.separate(candidates)
	return candidates
}

// decide reports whether one of the candidates is best. If they are all that there are, one that
// rests is better than none, but it is only probed: all that come at once would fail with it.
func (placer *placer) decide(choice *choice, all bool) bool {
	choice.schedule()
	if !all && (choice.decision.Index < 0 || routing.Scarce(choice.candidates)) {
		return false
	}
	if choice.decision.Index < 0 {
		choice.lastResort = true
		for i := range choice.candidates {
			choice.candidates[i].Resting = false
		}
		choice.schedule()
	}
	return choice.decision.Index >= 0
}

// explain says what decided the placement.
func (placer *placer) explain(c *choice, placed *placement, looks int) Choice {
	explained := Choice{
		Chosen: placed.chosen, Terms: c.scheduler.Terms(c.request, &placed.chosen), Deferred: placed.deferred,
		PassedOver: passedOver(c.candidates), Looks: looks, LastResort: c.lastResort,
	}
	if c.decision.Next >= 0 {
		next := &c.candidates[c.decision.Next]
		explained.Next, explained.NextTerms = next.Endpoint, c.scheduler.Terms(c.request, next)
	}
	return explained
}

// returnSpread is the part of a rest over which the callers that were refused for it spread
// their return.
const returnSpread = 0.25

// unplaced says why no candidate takes the request. To wait helps only if one of them may take
// it while the request waits. If all that are left have asked for rest, the caller is told when
// the first of them will be back; callers return one after the other, since the server starts
// with few.
func (placer *placer) unplaced(candidates []routing.Candidate, decision routing.Decision, now time.Time) *exchange.Unplaced {
	unplaced := &exchange.Unplaced{Reason: "every server is " + string(decision.Refused), Lasting: true}
	tried := false
	var limited []uint64
	shortest := time.Duration(math.MaxInt64)
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.Leaving:
		case c.LimitWait > 0 && !c.Excluded && c.RestLeft == 0:
			limited, shortest = append(limited, backend.ServerKey(c.Endpoint)), min(shortest, c.LimitWait)
		case c.RestLeft > 0:
			if unplaced.RetryAfter == 0 || c.RestLeft < unplaced.RetryAfter {
				unplaced.RetryAfter = c.RestLeft
			}
		case c.Excluded:
			tried = true
		default:
			return &exchange.Unplaced{Reason: unplaced.Reason}
		}
	}
	if len(limited) > 0 {
		return placer.overLimits(unplaced, limited, shortest, now)
	}
	if tried {
		// A new try may go there.
		unplaced.RetryAfter = 0
	}
	unplaced.Lasting = unplaced.RetryAfter == 0 || unplaced.RetryAfter > placer.admitted.route.TargetLatency/placementPart
	unplaced.RetryAfter += time.Duration(returnSpread * draw(placer.admitted.request.ID) * float64(unplaced.RetryAfter))
	return unplaced
}

// draw returns a number from 0 to 1 that is a request's own.
func draw(id string) float64 { return float64(prefix.KeyOf(id)) / math.MaxUint64 }

// annotate adds what is known of the prompt's parts at each server.
func (placer *placer) annotate(candidates []routing.Candidate, now time.Time) {
	key := placer.affinityKey()
	clear(placer.stored)
	for index := range candidates {
		candidate := &candidates[index]
		candidate.Affinity = prefix.Weight(key, candidate.Endpoint)
		pieces := placer.named(candidate.Version)
		candidate.HitBlocks = placer.proxy.ledger.Held(candidate.Address, candidate.Endpoint, pieces, now)
		candidate.ReplacedLoss = placer.proxy.replacedLoss(placer.prompt().Model, candidate.Version, now)
	}
	placer.annotateSources(candidates, now)
}

// begin counts the attempt at the chosen server, or returns nil if the choice does not stand.
func (placer *placer) begin(choice *choice, query backend.Query, now time.Time) *placement {
	chosen := *choice.chosen()
	deferred, tokens := placer.deferred(choice.request, &chosen, now), 0
	if prompt := placer.prompt(); prompt != nil {
		tokens = max(0, prompt.Tokens-max(chosen.HitBlocks, chosen.ImportBlocks))
	}
	claim := backend.Claim{Query: query, Chosen: chosen, Tokens: tokens, Deferred: deferred, Holds: func(current *routing.Candidate) bool {
		stands := choice.stands(current)
		chosen = *current
		return stands
	}}
	attempt := placer.proxy.set.Begin(claim, now)
	if attempt == nil {
		return nil
	}
	return &placement{placer: placer, chosen: chosen, attempt: attempt, tokens: tokens, deferred: deferred, begun: now, suspended: boottime.Suspended()}
}

func (placer *placer) scorers() []routing.Scorer {
	if placer.prompt() == nil {
		return []routing.Scorer{routing.TurnScorer{}, routing.DistanceScorer{}, routing.FailureScorer{}, routing.CompanyScorer{}}
	}
	return []routing.Scorer{routing.WorkScorer{}, routing.WaitScorer{}, routing.CopyScorer{}, routing.DistanceScorer{}, routing.FailureScorer{}, routing.ReplacedScorer{}, routing.CompanyScorer{}}
}

func (placer *placer) routingRequest() *routing.Request {
	request := &routing.Request{
		WaitWeight:  1,
		WorkWeight:  workWeight,
		TurnSeconds: plainTurn,
		Bytes:       len(placer.admitted.request.Body),
		FailureCost: placer.admitted.route.TargetLatency.Seconds(),
		AnswerWorth: answerWorth * placer.admitted.route.TargetLatency.Seconds(),
	}
	prompt := placer.prompt()
	if prompt == nil {
		return request
	}
	request.PromptTokens = prompt.Tokens
	request.BlockTokens = 1
	request.Blocks = placer.sharedTokens()
	request.PrefillTokensPerSecond = placer.proxy.pace.tokensPerSecond()
	request.Draw = uint64(prefix.KeyOf(placer.admitted.request.ID))
	request.SlotSeconds = placer.proxy.slotTime.seconds()
	request.ImportTokensPerSecond = importSpeed(placer.admitted.service.Engine, placer.store())
	return request
}

// importSpeed is how many tokens of kept KV cache an engine takes from the store
// in a second. The store's own link is shared by all engines, so it counts too.
func importSpeed(engine *catalog.Engine, store *catalog.PrefixStore) float64 {
	if engine == nil || store == nil || engine.TokenBytes <= 0 {
		return 0
	}
	bits := engine.LinkBitsPerSecond
	if store.LinkBitsPerSecond > 0 {
		bits = min(bits, store.LinkBitsPerSecond)
	}
	return bits / 8 / engine.TokenBytes
}

// query says which servers may serve the request.
func (placer *placer) query(now time.Time) backend.Query {
	query := backend.Query{Service: placer.admitted.service.Name, Distance: placer.proxy.distance}
	prompt := placer.prompt()
	if prompt == nil {
		query.Near = uint64(prefix.KeyOf(placer.admitted.request.ID))
		return query
	}
	query.Near = uint64(placer.neighbourhoodKey())
	query.Model = prompt.Model
	query.MinimumVersion = placer.proxy.minimumVersion(prompt.Model, now)
	return query
}

// minimumVersion is the oldest version of a model's weights that may serve now.
// It follows the newest belief, not the one that the request was admitted by.
func (proxy *Proxy) minimumVersion(model string, now time.Time) int64 {
	belief := proxy.belief.Load()
	tolerated := proxy.bounds.Weights - weightsMargin
	if now.Sub(belief.Disturbed) < tolerated {
		return 0
	}
	// What was found at the first reading may have been named at any time before.
	found := proxy.started.Add(proxy.bounds.Contact - contactMargin - tolerated)
	return belief.Weights[model].Required(now.Add(-tolerated), found)
}

// replacedLoss is the share of an answer's worth that is lost if it is begun now on
// a version of a model's weights.
func (proxy *Proxy) replacedLoss(model string, version int64, now time.Time) float64 {
	naming, replaced := proxy.belief.Load().Weights[model].After(version)
	if !replaced || (!naming.NotNamedAt.IsZero() && now.Sub(naming.NotNamedAt) < proxy.bounds.ReplacedGrace) {
		return 0
	}
	return proxy.bounds.ReplacedLoss
}

// lastStart is when a request must have begun on a version of a model's weights;
// zero if it is the newest.
func (proxy *Proxy) lastStart(model string, version int64) time.Time {
	belief := proxy.belief.Load()
	naming, replaced := belief.Weights[model].After(version)
	if !replaced {
		return time.Time{}
	}
	since := naming.Since(belief.Disturbed)
	if !since.IsZero() {
		return since.Add(proxy.bounds.Weights - startMargin)
	}
	// It may have been named at any time before the start; but what was disturbed
	// since counts from then, as in minimumVersion.
	last := proxy.started.Add(proxy.bounds.Contact - startMargin)
	if disturbed := belief.Disturbed.Add(proxy.bounds.Weights - startMargin); disturbed.After(last) {
		return disturbed
	}
	return last
}
