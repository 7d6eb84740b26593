package proxy

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/prefix"
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
	firstPatience = 1
	gapPatience   = 4
	leastGap      = time.Second
	// leastUrgent is the last rank that servers know.
	leastUrgent = 9
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
		Budget:      proxy.retries.Of(admitted.service.Name, time.Now()),
		Patience:    patience(route),
		ResumeAfter: admitted.request.ResumeAfter,
		Placer:      &placer{proxy: proxy, admitted: admitted},
		Caller:      caller,
		Stopping:    proxy.stopping,
		Observe: func(server string, event exchange.Event) {
			proxy.recorder.Attempt(admitted.request, server, event)
		},
	}
}

func patience(route *catalog.Route) exchange.Patience {
	if !route.MayRunAgain() {
		return exchange.Patience{}
	}
	return exchange.Patience{
		First:   firstPatience * route.TargetLatency,
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
}

// Place filters, scores and picks among the servers known now.
func (placer *placer) Place(excluded []string) (exchange.Placement, *exchange.Unplaced) {
	now := time.Now()
	proxy, admitted := placer.proxy, placer.admitted
	query := placer.query(now)
	candidates := proxy.set.Candidates(nil, query, now)
	if len(candidates) == 0 {
		return nil, &exchange.Unplaced{Reason: "no server is known"}
	}
	routing.Exclude(candidates, excluded)
	request := placer.routingRequest()
	if admitted.request.Prompt != nil {
		for index := range candidates {
			candidates[index].Affinity = prefix.Weight(placer.affinityKey(), candidates[index].Endpoint)
			candidates[index].ImportBlocks = placer.importable()
		}
	}
	decision := placer.schedule(request, candidates)
	if decision.Index < 0 {
		return nil, &exchange.Unplaced{Reason: "every server is " + string(decision.Refused)}
	}
	chosen := candidates[decision.Index]
	tokens := 0
	if admitted.request.Prompt != nil {
		tokens = admitted.request.Prompt.Tokens - placer.importable()
	}
	return &placement{
		placer:  placer,
		chosen:  chosen,
		attempt: proxy.set.Begin(chosen.Endpoint, tokens, now),
		tokens:  tokens,
		idle:    chosen.InFlight == 0,
		begun:   now,
	}, nil
}

// schedule prefers servers that were not tried and do not rest; a server that
// rests or was tried is better than none.
func (placer *placer) schedule(request *routing.Request, candidates []routing.Candidate) routing.Decision {
	scheduler := routing.NewScheduler(placer.scorers()...)
	decision := scheduler.Schedule(request, candidates)
	if decision.Index >= 0 {
		return decision
	}
	relaxed := make([]routing.Candidate, len(candidates))
	copy(relaxed, candidates)
	for index := range relaxed {
		relaxed[index].Resting = false
	}
	return scheduler.Schedule(request, relaxed)
}

func (placer *placer) scorers() []routing.Scorer {
	if placer.admitted.request.Prompt == nil {
		return []routing.Scorer{routing.TurnScorer{}, routing.DistanceScorer{}, routing.FailureScorer{}}
	}
	return []routing.Scorer{routing.WorkScorer{}, routing.WaitScorer{}, routing.AffinityScorer{}, routing.DistanceScorer{}, routing.FailureScorer{}}
}

func (placer *placer) routingRequest() *routing.Request {
	request := &routing.Request{
		WaitWeight:  1,
		WorkWeight:  1,
		TurnSeconds: plainTurn,
		Bytes:       len(placer.admitted.request.Body),
		FailureCost: placer.admitted.route.TargetLatency.Seconds(),
	}
	prompt := placer.admitted.request.Prompt
	if prompt == nil {
		return request
	}
	request.PromptTokens = prompt.Tokens
	request.BlockTokens = 1
	request.Blocks = prompt.Tokens
	request.PrefillTokensPerSecond = placer.proxy.pace.tokensPerSecond()
	request.ImportTokensPerSecond = importSpeed(placer.admitted.service.Engine)
	return request
}

// importSpeed is how many tokens of kept KV cache an engine takes in a second.
func importSpeed(engine *catalog.Engine) float64 {
	if engine == nil || engine.TokenBytes <= 0 {
		return 0
	}
	return engine.LinkBitsPerSecond / 8 / engine.TokenBytes
}

// query says which servers may serve the request.
func (placer *placer) query(now time.Time) backend.Query {
	query := backend.Query{Service: placer.admitted.service.Name, Distance: placer.proxy.distance}
	prompt := placer.admitted.request.Prompt
	if prompt == nil || placer.admitted.service.Engine == nil {
		return query
	}
	query.Model = prompt.Model
	query.MinimumVersion = placer.proxy.minimumVersion(prompt.Model, now)
	return query
}

// minimumVersion is the oldest version of a model's weights that may serve now.
// It follows the newest belief, not the one that the request was admitted by.
func (proxy *Proxy) minimumVersion(model string, now time.Time) int64 {
	tolerated := proxy.bounds.Weights - weightsMargin
	// What was found at the first reading may have been named at any time before.
	found := proxy.started.Add(settlingTime - tolerated)
	return proxy.belief.Load().Weights[model].Required(now.Add(-tolerated), found)
}

// shared returns the parts that other requests may have in common with this one.
func (placer *placer) shared() []Part {
	parts := placer.admitted.request.Prompt.Parts
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}

// importable is how many leading tokens the store of kept KV cache is taken to
// hold: all that is shared.
func (placer *placer) importable() int {
	if placer.admitted.belief.Snapshot.Store() == nil {
		return 0
	}
	tokens := 0
	for _, part := range placer.shared() {
		tokens += part.Tokens
	}
	return tokens
}

// affinityKey is the last shared part: requests that share it, share all before.
func (placer *placer) affinityKey() prefix.Hash {
	shared := placer.shared()
	if len(shared) == 0 {
		return prefix.KeyOf(placer.admitted.request.ID)
	}
	return prefix.KeyOf(placer.wall() + "/" + shared[len(shared)-1].ID)
}

// wall is the tenant's name if nothing that is cached for it may be shared.
func (placer *placer) wall() string {
	tenant := placer.admitted.tenant
	if tenant == nil || !tenant.Isolated {
		return ""
	}
	return tenant.Name
}

// placement is one attempt at a chosen server.
type placement struct {
	placer  *placer
	chosen  routing.Candidate
	attempt *backend.Attempt
	tokens  int
	idle    bool
	begun   time.Time
	started bool
}

// Server names the server's incarnation.
func (placement *placement) Server() string { return placement.chosen.Endpoint }

// Send sends the request to the server.
func (placement *placement) Send(ctx context.Context, resumes bool, after int64) (*exchange.Reply, error) {
	admitted := placement.placer.admitted
	dispatch := Dispatch{
		Request:    admitted.request,
		Instance:   placement.chosen.Endpoint,
		Address:    placement.chosen.Address,
		Stream:     admitted.route.Kind == catalog.Stream,
		Deadline:   admitted.deadline,
		Urgency:    urgency(admitted),
		Resumes:    resumes,
		After:      after,
		Repeatable: admitted.route.MayRunAgain(),
	}
	if admitted.tenant != nil {
		dispatch.Tenant = admitted.tenant.Name
	}
	if prompt := admitted.request.Prompt; prompt != nil && admitted.service.Engine != nil {
		dispatch.Version = placement.chosen.Version
		dispatch.Salt = placement.salt(prompt.Model)
		if store := admitted.belief.Snapshot.Store(); store != nil {
			dispatch.FetchFrom, dispatch.SaveTo = store.Address, store.Address
		}
	}
	reply, err := placement.placer.proxy.servers.Send(ctx, dispatch)
	placement.learn(dispatch, err)
	return reply, err
}

// learn takes what a refusal says of the server's weights.
func (placement *placement) learn(dispatch Dispatch, err error) {
	var refused *exchange.ErrRefused
	if dispatch.Version != 0 && errors.As(err, &refused) && refused.LoadedVersion != 0 {
		versions := map[string]int64{dispatch.Request.Prompt.Model: refused.LoadedVersion}
		placement.placer.proxy.set.Learn(placement.chosen.Endpoint, versions)
	}
}

// salt keeps cached prefixes of different walls, models and versions apart.
func (placement *placement) salt(model string) string {
	return prefix.Salt(nil, prefix.Identity{
		Tenant:  placement.placer.wall(),
		Model:   model,
		Version: strconv.FormatInt(placement.chosen.Version, 10),
	})
}

func urgency(admitted *admitted) int {
	priority := admitted.route.Priority
	if admitted.tenant != nil && admitted.tenant.Priority != nil {
		priority = *admitted.tenant.Priority
	}
	return min(max(priority, 0), leastUrgent)
}

// Started says that the server has begun to answer.
func (placement *placement) Started() {
	if placement.started {
		return
	}
	placement.started = true
	if placement.idle {
		placement.placer.proxy.pace.measure(placement.tokens, time.Since(placement.begun))
	}
	placement.attempt.Started()
}

// End says that the attempt is over.
func (placement *placement) End(result exchange.Result) {
	placement.attempt.End(result, time.Now())
}
