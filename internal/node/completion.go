package node

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/dispatch"
	"github.com/cloverrail/cloverrail/internal/endpoint"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/routing"
)

const (
	bytesPerToken = 4
	// probesAtOnce bounds the back ends asked directly when none is known to be
	// ready, as right after a restart of the whole fleet.
	probesAtOnce   = 4
	probeTimeout   = 300 * time.Millisecond
	noEndpointWait = time.Second
	placeInterval  = 50 * time.Millisecond
)

// Completion is one request for a model.
type Completion struct {
	Tenant  *configuration.Tenant
	Class   *configuration.Class
	Path    string
	Body    []byte
	Request *engineapi.CompletionRequest
	// Emitted returns the text passed on so far, for a continuation.
	Emitted func() string
	Sink    dispatch.Sink
}

// placement is the state of placing one completion; it implements
// dispatch.Placer.
type placement struct {
	node       *Node
	completion *Completion
	prompt     []byte
	model      string
	adapter    string

	// salt and chain belong to the version that the last placement was for.
	version string
	salt    string
	chain   []prefix.Hash
	// importBlocks is how much the chosen engine shall import.
	importBlocks int
	// pools are those through which the last placement looked.
	pools []*configuration.Pool
}

// errNoModel is the answer for a model that does not exist, or that the tenant
// does not reach: callers must not be able to tell these apart.
var errNoModel = failure.New(failure.KindNotFound, "the model does not exist", "use a model that GET /v1/models lists")

// Complete serves one request for a model.
func (node *Node) Complete(ctx context.Context, completion *Completion) error {
	model, adapter, _ := strings.Cut(completion.Request.Model, ":")
	place := &placement{node: node, completion: completion, prompt: completion.Request.PromptText(), model: model, adapter: adapter}
	snapshot := node.catalog.snapshot.Load()
	pools := snapshot.PoolsFor(completion.Tenant, model)
	if len(pools) == 0 {
		return errNoModel
	}
	ctx, cancel := context.WithTimeout(ctx, completion.Class.Deadline)
	defer cancel()
	release, err := node.acquire(ctx, completion, pools[0], len(place.prompt))
	if err != nil {
		return err
	}
	defer release()
	budget := retry.All{node.limits.tenant(completion.Tenant.Name).budget, node.retries}
	node.retries.Deposit(boottime.Now())
	return node.driver.Run(ctx, dispatch.Call{
		Path:   completion.Path,
		Body:   place.body,
		Placer: place,
		Sink:   completion.Sink,
		Limits: dispatch.DefaultLimits,
		Budget: budget,
	})
}

func (node *Node) acquire(ctx context.Context, completion *Completion, pool *configuration.Pool, promptBytes int) (func(), error) {
	places, found := node.limits.poolPlaces(pool.Name)
	if !found {
		return nil, errNoModel
	}
	return places.Acquire(ctx, admission.Ticket{
		Tenant:   completion.Tenant.Name,
		Weight:   completion.Tenant.Weight,
		Priority: priorityOf(completion),
		Cost:     float64(promptBytes) / bytesPerToken / pool.PrefillTokensPerSecond,
		Until:    boottime.Now().Add(completion.Class.QueueTimeout),
	})
}

func priorityOf(completion *Completion) int {
	if completion.Tenant.Priority > 0 {
		return completion.Tenant.Priority
	}
	return completion.Class.Priority
}

// Place implements dispatch.Placer. Where waiting can help it waits, by the
// configuration in force at each moment, as long as the class may queue.
func (place *placement) Place(ctx context.Context, excluded []string) (dispatch.Target, *failure.Failure) {
	ctx, cancel := context.WithTimeout(ctx, place.completion.Class.QueueTimeout)
	defer cancel()
	for {
		target, reason, refusal := place.once(ctx, excluded)
		if refusal != nil {
			return dispatch.Target{}, refusal
		}
		if target != nil {
			return *target, nil
		}
		if ctx.Err() != nil || !place.willPass(reason) {
			return dispatch.Target{}, failure.New(failure.KindNoEndpoint, "no engine can take the request now ("+string(reason)+")",
				"send it again after the time given").WithRetryAfter(noEndpointWait)
		}
		select {
		case <-time.After(placeInterval):
		case <-ctx.Done():
		}
	}
}

// once tries to place the request by the configuration in force now.
func (place *placement) once(ctx context.Context, excluded []string) (*dispatch.Target, routing.Reason, *failure.Failure) {
	snapshot := place.node.catalog.snapshot.Load()
	model, found := snapshot.Model(place.model)
	pools := snapshot.PoolsFor(place.completion.Tenant, place.model)
	if !found || len(pools) == 0 {
		return nil, "", errNoModel
	}
	if place.completion.Emitted() != "" && model.Version != place.version {
		// Text of two versions in one answer would be neither's.
		return nil, "", failure.New(failure.KindStreamBroken, "the model's version changed while the answer was written", "send the request again").
			WithRetryAfter(noEndpointWait)
	}
	place.pools = pools
	place.identify(model, pools[0])
	target, reason := place.choose(ctx, snapshot, model, excluded)
	if target == nil && reason == routing.ReasonNotReady {
		place.node.probeUnknown(ctx, pools)
		target, reason = place.choose(ctx, snapshot, model, excluded)
	}
	if target == nil && reason == routing.ReasonExcluded {
		// All were tried; one of them may have recovered, such as an engine that
		// had merely restarted.
		target, reason = place.choose(ctx, snapshot, model, nil)
	}
	return target, reason, nil
}

// willPass reports whether waiting can help: engines are full, or one is loading
// the model.
func (place *placement) willPass(reason routing.Reason) bool {
	if reason == routing.ReasonFull {
		return true
	}
	for _, pool := range place.pools {
		for _, candidate := range place.node.table.Candidates(nil, pool.Name, "", "", boottime.Now()) {
			if candidate.Loading && !candidate.Down && !candidate.Leaving {
				return true
			}
		}
	}
	return false
}

func (place *placement) identify(model *configuration.Model, pool *configuration.Pool) {
	identity := prefix.Identity{Tenant: place.completion.Tenant.Name, Model: model.Name, Version: model.Version, Adapter: place.adapter}
	salt := prefix.Salt(place.node.key, identity)
	if salt != place.salt {
		place.version = model.Version
		place.salt = salt
		place.chain = prefix.Chain(salt, place.prompt, pool.BlockBytes)
		if len(place.chain) > 0 {
			place.node.hot.add(place.chain[0], identity.Tenant, identity.Model, boottime.Now())
		}
	}
}

// scratch is the memory of one decision, used again by later ones.
type scratch struct {
	scheduler  *routing.Scheduler
	candidates []routing.Candidate
}

var scratches = sync.Pool{New: func() any { return &scratch{scheduler: routing.NewScheduler()} }}

// choose decides on an engine by what this node knows, and counts the request as
// sent to it.
func (place *placement) choose(ctx context.Context, snapshot *configuration.Snapshot, model *configuration.Model, excluded []string) (*dispatch.Target, routing.Reason) {
	node := place.node
	now := boottime.Now()
	depths := node.expected.Lookup(now, node.lookup(ctx, place.chain), place.chain)
	memory := scratches.Get().(*scratch)
	defer scratches.Put(memory)
	memory.candidates = memory.candidates[:0]
	for _, pool := range place.pools {
		memory.candidates = node.table.Candidates(memory.candidates, pool.Name, model.Name, model.Version, now)
	}
	request := place.request(snapshot.Declaration.Routing)
	memory.scheduler.Annotate(memory.candidates, place.affinityKey(depths), depths, place.storeName())
	routing.Exclude(memory.candidates, excluded)
	decision := memory.scheduler.Schedule(request, memory.candidates)
	if decision.Index < 0 {
		return nil, decision.LastRejection
	}
	chosen := memory.candidates[decision.Index]
	missing, imported := routing.MissingTokens(request, &chosen)
	place.importBlocks = 0
	if imported > 0 {
		place.importBlocks = chosen.ImportBlocks
	}
	node.table.Begin(chosen.Endpoint, missing, now)
	node.expected.Add(now, prefixindex.NewHolder(chosen.Endpoint, chosen.Epoch), place.chain)
	return &dispatch.Target{Endpoint: chosen.Endpoint, Address: chosen.Address, Epoch: chosen.Epoch, Weights: model.Version}, routing.Accepted
}

// request describes the prompt to the scheduler. The pools of one model are taken
// to be alike, and the first one's figures stand for all.
func (place *placement) request(weights configuration.Routing) *routing.Request {
	pool := place.pools[0]
	request := &routing.Request{
		PromptTokens:           len(place.prompt)/bytesPerToken + 1,
		BlockTokens:            pool.BlockBytes / bytesPerToken,
		Blocks:                 len(place.chain),
		PrefillTokensPerSecond: pool.PrefillTokensPerSecond,
		ConcurrentPerEngine:    pool.ConcurrentPerEngine,
		WaitWeight:             weights.WaitWeight,
		WorkWeight:             weights.WorkWeight,
	}
	if pool.PrefixStore != nil {
		request.ImportTokensPerSecond = pool.PrefixStore.TokensPerSecond
	}
	return request
}

// storeName names the kept-KV store among the index's holders, or "".
func (place *placement) storeName() string {
	if store := place.pools[0].PrefixStore; store != nil {
		return store.Name
	}
	return ""
}

func (place *placement) affinityKey(depths []prefixindex.Depth) prefix.Hash {
	if len(place.chain) == 0 {
		return prefix.KeyOf(place.salt)
	}
	return routing.AffinityKey(place.chain, depths, place.storeName())
}

// Ended implements dispatch.Placer.
func (place *placement) Ended(target dispatch.Target, failed bool) {
	place.node.ended(target.Endpoint, failed)
}

func (node *Node) ended(endpoint string, failed bool) {
	result := "ok"
	if failed {
		result = "failed"
	}
	node.metrics.Attempts.WithLabelValues(endpoint, result).Inc()
	node.table.End(endpoint, failed, boottime.Now())
}

// Alive implements dispatch.Placer.
func (place *placement) Alive(target dispatch.Target) context.Context {
	return place.node.table.Alive(target.Endpoint)
}

// Stale implements dispatch.Placer: it asks the engine itself, and tells the
// fleet what it finds. When a zone is lost, the engines' readers are lost with
// them; those who meet the dead engines then tell the others. A reader that does
// get through contradicts.
func (place *placement) Stale(target dispatch.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	status, err := place.node.engines.Status(ctx, target.Address)
	place.node.observe(target.Endpoint, endpoint.Observation{Answered: err == nil, Status: status})
}

// probeUnknown asks a few engines that were never seen for their state.
func (node *Node) probeUnknown(ctx context.Context, pools []*configuration.Pool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var done sync.WaitGroup
	probes := 0
	for _, pool := range pools {
		for _, engine := range pool.Engines {
			known, found := node.table.Record(engine.Name)
			if !found || known.Epoch != "" || probes >= probesAtOnce {
				continue
			}
			probes++
			done.Go(func() {
				if status, err := node.engines.Status(ctx, engine.Address); err == nil {
					node.observe(engine.Name, endpoint.Observation{Answered: true, Status: status})
				}
			})
		}
	}
	done.Wait()
}

// body builds the engine's request: the caller's own with the fields that the
// fleet sets. Unknown fields pass through.
func (place *placement) body(continueAt int) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	decoder := json.NewDecoder(bytes.NewReader(place.completion.Body))
	if err := decoder.Decode(&fields); err != nil {
		return nil, errors.Trace(err)
	}
	set := func(name string, value any) {
		fields[name], _ = json.Marshal(value)
	}
	set("stream", true)
	set("stream_options", engineapi.StreamOptions{IncludeUsage: true})
	set("cache_salt", place.salt)
	set("priority", priorityOf(place.completion))
	delete(fields, "continue_from")
	delete(fields, "kv_transfer")
	if store := place.pools[0].PrefixStore; store != nil {
		set("kv_transfer", engineapi.Transfer{Store: store.Address, ImportBlocks: place.importBlocks})
	}
	if continueAt > 0 {
		set("continue_from", engineapi.Continuation{Text: place.completion.Emitted(), Offset: continueAt})
	}
	return json.Marshal(fields)
}
