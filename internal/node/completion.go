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
	// maxConcurrentProbes bounds the backends probed directly when none is known to
	// be ready, for example after a restart of the whole fleet.
	probesAtOnce   = 4
	probeTimeout   = 300 * time.Millisecond
	noEndpointWait = time.Second
	placeInterval  = 50 * time.Millisecond
)

// Completion describes one request for a model.
type Completion struct {
	Tenant  *configuration.Tenant
	Class   *configuration.Class
	Path    string
	Body    []byte
	Request *engineapi.CompletionRequest
	// EmittedText returns the text forwarded so far, for a continuation.
	Emitted func() string
	Sink    dispatch.Sink
}

// placement holds the placement state of one completion. It implements
// dispatch.Placer.
type placement struct {
	node       *Node
	completion *Completion
	prompt     []byte
	model      string
	adapter    string

	// salt and chain belong to the model version of the last placement.
	version string
	salt    string
	chain   []prefix.Hash
	// importBlocks is the number of blocks that the selected engine should import.
	importBlocks int
	// pools lists the pools that the last placement considered.
	pools []*configuration.Pool
}

// errModelNotFound is returned both for a model that does not exist and for one that
// the tenant may not use, since callers must not be able to tell these apart.
var errNoModel = failure.New(failure.KindNotFound, "the model does not exist", "use a model that GET /v1/models lists")

// Complete executes one request for a model.
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

// Place implements dispatch.Placer. While no engine is available but one may become
// so, it retries with the active configuration until the queue timeout of the job
// class.
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
				"retry after the given delay").WithRetryAfter(noEndpointWait)
		}
		select {
		case <-time.After(placeInterval):
		case <-ctx.Done():
		}
	}
}

// tryPlace makes one attempt to place the request with the active configuration.
func (place *placement) once(ctx context.Context, excluded []string) (*dispatch.Target, routing.Reason, *failure.Failure) {
	snapshot := place.node.catalog.snapshot.Load()
	model, found := snapshot.Model(place.model)
	pools := snapshot.PoolsFor(place.completion.Tenant, place.model)
	if !found || len(pools) == 0 {
		return nil, "", errNoModel
	}
	if place.completion.Emitted() != "" && model.Version != place.version {
		// A response must not mix the text of two model versions.
		return nil, "", failure.New(failure.KindStreamBroken, "the model's version changed during the response", "send the request again").
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
		// All engines were tried; one of them may have recovered, such as an engine
		// that had only restarted.
		target, reason = place.choose(ctx, snapshot, model, nil)
	}
	return target, reason, nil
}

// mayRecover reports whether waiting may help: engines are full, or one of them is
// loading weights.
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

// schedulingBuffer holds the buffers of one scheduling decision, for reuse.
type scratch struct {
	scheduler  *routing.Scheduler
	candidates []routing.Candidate
}

var scratches = sync.Pool{New: func() any { return &scratch{scheduler: routing.NewScheduler()} }}

// selectEngine selects an engine by this node's view of the fleet and counts the
// request as in flight on it.
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
		return nil, decision.Refused
	}
	chosen := memory.candidates[decision.Index]
	missing, imported := routing.Missing(request, &chosen)
	place.importBlocks = 0
	if imported > 0 {
		place.importBlocks = chosen.ImportBlocks
	}
	node.table.Begin(chosen.Endpoint, missing, now)
	node.expected.Add(now, prefixindex.NewHolder(chosen.Endpoint, chosen.Epoch), place.chain)
	return &dispatch.Target{Endpoint: chosen.Endpoint, Address: chosen.Address, Epoch: chosen.Epoch, Weights: model.Version}, routing.Accepted
}

// schedulingRequest describes the prompt to the scheduler. The pools of one model
// are assumed to be alike, so the parameters of the first one are used for all.
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
	if pool.KeptCache != nil {
		request.ImportTokensPerSecond = pool.KeptCache.TokensPerSecond
	}
	return request
}

// storeName returns the name of the prefix store in the index, or "" if the pool has
// none.
func (place *placement) storeName() string {
	if store := place.pools[0].KeptCache; store != nil {
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

// ReportResult implements dispatch.Placer.
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

// IncarnationContext implements dispatch.Placer.
func (place *placement) Alive(target dispatch.Target) context.Context {
	return place.node.table.Alive(target.Endpoint)
}

// ReportStale implements dispatch.Placer. It probes the engine and publishes the
// result to the fleet. When a zone fails, the observers of its engines fail with
// them, so the nodes that encounter dead engines have to report them. An observer
// that still reaches its engine corrects a wrong report.
func (place *placement) Stale(target dispatch.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	status, err := place.node.engines.Status(ctx, target.Address)
	place.node.observe(target.Endpoint, endpoint.Observation{Answered: err == nil, Status: status})
}

// probeUnknown queries the status of a few engines that have no observed state.
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

// body builds the engine's request: the caller's request with the fields that nodes
// set. Unknown fields are forwarded unchanged.
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
	if store := place.pools[0].KeptCache; store != nil {
		set("kv_transfer", engineapi.Transfer{Store: store.Address, ImportBlocks: place.importBlocks})
	}
	if continueAt > 0 {
		set("continue_from", engineapi.Continuation{Text: place.completion.Emitted(), Offset: continueAt})
	}
	return json.Marshal(fields)
}
