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
		Budget:      proxy.retries.Of(admitted.service.Name),
		Patience:    patience(route),
		ResumeAfter: admitted.request.ResumeAfter,
		Placer:      &placer{proxy: proxy, admitted: admitted, pieces: map[int64][]residency.Piece{}},
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
}

// Place filters, scores and picks among the servers known now.
func (placer *placer) Place(excluded []string) (exchange.Placement, *exchange.Unplaced) {
	now := time.Now()
	candidates := placer.proxy.set.Candidates(nil, placer.query(now), now)
	if len(candidates) == 0 {
		return nil, &exchange.Unplaced{Reason: "no server is known"}
	}
	routing.Exclude(candidates, excluded)
	if placer.prompt() != nil {
		placer.annotate(candidates, now)
	}
	decision := placer.schedule(placer.routingRequest(), candidates)
	if decision.Index < 0 {
		return nil, &exchange.Unplaced{Reason: "every server is " + string(decision.Refused)}
	}
	return placer.begin(candidates[decision.Index], now), nil
}

// annotate adds what is known of the prompt's parts at each server.
func (placer *placer) annotate(candidates []routing.Candidate, now time.Time) {
	store := placer.store()
	key := placer.affinityKey()
	for index := range candidates {
		candidate := &candidates[index]
		candidate.Affinity = prefix.Weight(key, candidate.Endpoint)
		pieces := placer.named(candidate.Version)
		candidate.HitBlocks = placer.proxy.ledger.Held(candidate.Endpoint, pieces, now)
		if store != nil {
			candidate.ImportBlocks = placer.proxy.ledger.Held(store.Address, pieces, now)
		}
	}
}

// begin counts the attempt at the chosen server.
func (placer *placer) begin(chosen routing.Candidate, now time.Time) *placement {
	tokens := 0
	if prompt := placer.prompt(); prompt != nil {
		tokens = max(0, prompt.Tokens-max(chosen.HitBlocks, chosen.ImportBlocks))
	}
	placer.proxy.recorder.Placed(placer.admitted.request, chosen)
	return &placement{
		placer:  placer,
		chosen:  chosen,
		attempt: placer.proxy.set.Begin(chosen.Endpoint, tokens, now),
		tokens:  tokens,
		begun:   now,
	}
}

// prompt is nil for requests to plain services.
func (placer *placer) prompt() *Prompt {
	if placer.admitted.service.Engine == nil {
		return nil
	}
	return placer.admitted.request.Prompt
}

// store is nil if there is none, or if it does not answer: asking a dead one costs
// the server time.
func (placer *placer) store() *catalog.PrefixStore {
	store := placer.admitted.belief.Snapshot.Store()
	if store == nil || placer.proxy.ledger.Down(store.Address) {
		return nil
	}
	return store
}

// named returns the shared parts as they are named at a version.
func (placer *placer) named(version int64) []residency.Piece {
	if pieces, found := placer.pieces[version]; found {
		return pieces
	}
	salt := placer.salt(version)
	pieces := []residency.Piece{}
	for _, part := range placer.shared() {
		key := residency.Key(prefix.KeyOf(salt + part.ID))
		pieces = append(pieces, residency.Piece{Key: key, Tokens: part.Tokens})
	}
	placer.pieces[version] = pieces
	return pieces
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
	if placer.prompt() == nil {
		return []routing.Scorer{routing.TurnScorer{}, routing.DistanceScorer{}, routing.FailureScorer{}}
	}
	return []routing.Scorer{routing.WorkScorer{}, routing.WaitScorer{}, routing.CopyScorer{}, routing.DistanceScorer{}, routing.FailureScorer{}}
}

func (placer *placer) routingRequest() *routing.Request {
	request := &routing.Request{
		WaitWeight:  1,
		WorkWeight:  workWeight,
		TurnSeconds: plainTurn,
		Bytes:       len(placer.admitted.request.Body),
		FailureCost: placer.admitted.route.TargetLatency.Seconds(),
	}
	prompt := placer.prompt()
	if prompt == nil {
		return request
	}
	request.PromptTokens = prompt.Tokens
	request.BlockTokens = 1
	request.Blocks = placer.sharedTokens()
	request.PrefillTokensPerSecond = placer.proxy.pace.tokensPerSecond()
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
		return query
	}
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

// shared returns the parts that other requests may have in common with this one.
func (placer *placer) shared() []Part {
	parts := placer.admitted.request.Prompt.Parts
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}

// sharedTokens is the length of the shared parts.
func (placer *placer) sharedTokens() int {
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

// salt keeps cached prefixes of different walls, models and versions apart.
func (placer *placer) salt(version int64) string {
	return prefix.Salt(nil, prefix.Identity{
		Tenant:  placer.wall(),
		Model:   placer.prompt().Model,
		Version: strconv.FormatInt(version, 10),
	})
}

// placement is one attempt at a chosen server.
type placement struct {
	placer  *placer
	chosen  routing.Candidate
	attempt *backend.Attempt
	// tokens are those of the prompt that the server is taken to read.
	tokens  int
	begun   time.Time
	started bool
	saves   bool
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
	if placement.placer.prompt() != nil {
		dispatch.Version = placement.chosen.Version
		dispatch.Salt = placement.placer.salt(placement.chosen.Version)
		placement.addStore(&dispatch)
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

// addStore says what the server fetches from the store of kept KV cache, and
// whether it saves there: only if the store lacks a shared part.
func (placement *placement) addStore(dispatch *Dispatch) {
	store := placement.placer.store()
	if store == nil {
		return
	}
	dispatch.FetchFrom = store.Address
	if placement.chosen.ImportBlocks < placement.placer.sharedTokens() {
		dispatch.SaveTo = store.Address
		placement.saves = true
	}
}

func urgency(admitted *admitted) int {
	priority := admitted.route.Priority
	if admitted.tenant != nil && admitted.tenant.Priority != nil {
		priority = *admitted.tenant.Priority
	}
	return min(max(priority, 0), leastUrgent)
}

// Started says that the server has begun to answer: it has read the prompt.
func (placement *placement) Started() {
	if placement.started {
		return
	}
	placement.started = true
	now := time.Now()
	placement.attempt.Started(now)
	if placement.placer.prompt() == nil {
		return
	}
	if placement.chosen.InFlight == 0 {
		placement.placer.proxy.pace.measure(placement.tokens, now.Sub(placement.begun))
	}
	placement.remember(now)
}

// remember notes where the parts of the prompt lie now.
func (placement *placement) remember(now time.Time) {
	placer := placement.placer
	ledger := placer.proxy.ledger
	pieces := placer.named(placement.chosen.Version)
	capacity := placer.admitted.service.Engine.CacheTokens
	ledger.Note(placement.chosen.Endpoint, pieces, placement.tokens, capacity, now)
	store := placer.store()
	switch {
	case store == nil:
	case placement.saves:
		ledger.Note(store.Address, pieces, placer.prompt().Tokens, store.CapacityTokens, now.Add(saveTime))
	case placement.chosen.HitBlocks < placer.sharedTokens():
		ledger.Note(store.Address, pieces, 0, store.CapacityTokens, now)
	}
}

// Doubtful reports whether a silent attempt is better tried elsewhere: soon if
// its server has answered nobody meanwhile, and later if it only has much to do.
// The time to read the prompt, and those before it, is allowed for.
func (placement *placement) Doubtful(silent time.Duration) bool {
	if !placement.started {
		silent -= placement.reading()
	}
	if silent <= 0 {
		return false
	}
	target := placement.placer.admitted.route.TargetLatency
	if placement.attempt.HeardSince(time.Now().Add(-silent)) {
		return silent >= time.Duration(lastDoubt*float64(target))
	}
	return silent >= target/2
}

// reading is the time that the server is allowed for reading the prompt and
// those that were sent before it.
func (placement *placement) reading() time.Duration {
	if placement.placer.prompt() == nil {
		return 0
	}
	tokens := float64(placement.chosen.QueuedTokens + placement.tokens)
	seconds := readingAllowance * tokens / placement.placer.proxy.pace.tokensPerSecond()
	return time.Duration(seconds * float64(time.Second))
}

// End says that the attempt is over.
func (placement *placement) End(result exchange.Result) {
	placement.attempt.End(result, time.Now())
}
