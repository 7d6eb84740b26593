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
	maxConcurrentProbes    = 4
	probeTimeout           = 300 * time.Millisecond
	noEndpointRetryAfter   = time.Second
	placementRetryInterval = 50 * time.Millisecond
)

// Completion describes one request for a model.
type Completion struct {
	Tenant  *configuration.Tenant
	Class   *configuration.Class
	Path    string
	Body    []byte
	Request *engineapi.CompletionRequest
	// EmittedText returns the text forwarded so far, for a continuation.
	EmittedText func() string
	Sink        dispatch.Sink
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
var errModelNotFound = failure.New(failure.KindNotFound, "the model does not exist", "use a model that GET /v1/models lists")

// Complete executes one request for a model.
func (node *Node) Complete(ctx context.Context, completion *Completion) error {
	model, adapter, _ := strings.Cut(completion.Request.Model, ":")
	p := &placement{node: node, completion: completion, prompt: completion.Request.PromptText(), model: model, adapter: adapter}
	snapshot := node.activeConfig.snapshot.Load()
	pools := snapshot.PoolsFor(completion.Tenant, model)
	if len(pools) == 0 {
		return errModelNotFound
	}
	ctx, cancel := context.WithTimeout(ctx, completion.Class.Deadline)
	defer cancel()
	release, err := node.acquireSlot(ctx, completion, pools[0], len(p.prompt))
	if err != nil {
		return err
	}
	defer release()
	budget := retry.All{node.limits.tenant(completion.Tenant.Name).budget, node.retryBudget}
	node.retryBudget.Deposit(boottime.Now())
	return node.driver.Run(ctx, dispatch.Call{
		Path:   completion.Path,
		Body:   p.body,
		Placer: p,
		Sink:   completion.Sink,
		Limits: dispatch.DefaultLimits,
		Budget: budget,
	})
}

func (node *Node) acquireSlot(ctx context.Context, completion *Completion, pool *configuration.Pool, promptBytes int) (func(), error) {
	slots, found := node.limits.slotPool(pool.Name)
	if !found {
		return nil, errModelNotFound
	}
	return slots.Acquire(ctx, admission.Ticket{
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
func (p *placement) Place(ctx context.Context, excluded []string) (dispatch.Target, *failure.Failure) {
	ctx, cancel := context.WithTimeout(ctx, p.completion.Class.QueueTimeout)
	defer cancel()
	for {
		target, reason, refusal := p.tryPlace(ctx, excluded)
		if refusal != nil {
			return dispatch.Target{}, refusal
		}
		if target != nil {
			return *target, nil
		}
		if ctx.Err() != nil || !p.mayRecover(reason) {
			return dispatch.Target{}, failure.New(failure.KindNoEndpoint, "no engine can take the request now ("+string(reason)+")",
				"retry after the given delay").WithRetryAfter(noEndpointRetryAfter)
		}
		select {
		case <-time.After(placementRetryInterval):
		case <-ctx.Done():
		}
	}
}

// tryPlace makes one attempt to place the request with the active configuration.
func (p *placement) tryPlace(ctx context.Context, excluded []string) (*dispatch.Target, routing.Reason, *failure.Failure) {
	snapshot := p.node.activeConfig.snapshot.Load()
	model, found := snapshot.Model(p.model)
	pools := snapshot.PoolsFor(p.completion.Tenant, p.model)
	if !found || len(pools) == 0 {
		return nil, "", errModelNotFound
	}
	if p.completion.EmittedText() != "" && model.Version != p.version {
		// A response must not mix the text of two model versions.
		return nil, "", failure.New(failure.KindStreamBroken, "the model's version changed during the response", "send the request again").
			WithRetryAfter(noEndpointRetryAfter)
	}
	p.pools = pools
	p.updateChain(model, pools[0])
	target, reason := p.selectEngine(ctx, snapshot, model, excluded)
	if target == nil && reason == routing.ReasonNotReady {
		p.node.probeUnknown(ctx, pools)
		target, reason = p.selectEngine(ctx, snapshot, model, excluded)
	}
	if target == nil && reason == routing.ReasonExcluded {
		// All engines were tried; one of them may have recovered, such as an engine
		// that had only restarted.
		target, reason = p.selectEngine(ctx, snapshot, model, nil)
	}
	return target, reason, nil
}

// mayRecover reports whether waiting may help: engines are full, or one of them is
// loading weights.
func (p *placement) mayRecover(reason routing.Reason) bool {
	if reason == routing.ReasonFull {
		return true
	}
	for _, pool := range p.pools {
		for _, candidate := range p.node.table.Candidates(nil, pool.Name, "", "", boottime.Now()) {
			if candidate.Loading && !candidate.Down && !candidate.Leaving {
				return true
			}
		}
	}
	return false
}

func (p *placement) updateChain(model *configuration.Model, pool *configuration.Pool) {
	identity := prefix.Identity{Tenant: p.completion.Tenant.Name, Model: model.Name, Version: model.Version, Adapter: p.adapter}
	salt := prefix.Salt(p.node.key, identity)
	if salt != p.salt {
		p.version = model.Version
		p.salt = salt
		p.chain = prefix.Chain(salt, p.prompt, pool.BlockBytes)
		if len(p.chain) > 0 {
			p.node.hotPrefixes.add(p.chain[0], identity.Tenant, identity.Model, boottime.Now())
		}
	}
}

// schedulingBuffer holds the buffers of one scheduling decision, for reuse.
type schedulingBuffer struct {
	scheduler  *routing.Scheduler
	candidates []routing.Candidate
}

var schedulingBuffers = sync.Pool{New: func() any { return &schedulingBuffer{scheduler: routing.NewScheduler()} }}

// selectEngine selects an engine by this node's view of the fleet and counts the
// request as in flight on it.
func (p *placement) selectEngine(ctx context.Context, snapshot *configuration.Snapshot, model *configuration.Model, excluded []string) (*dispatch.Target, routing.Reason) {
	node := p.node
	now := boottime.Now()
	depths := node.speculativeIndex.Lookup(now, node.lookupPrefix(ctx, p.chain), p.chain)
	buffer := schedulingBuffers.Get().(*schedulingBuffer)
	defer schedulingBuffers.Put(buffer)
	buffer.candidates = buffer.candidates[:0]
	for _, pool := range p.pools {
		buffer.candidates = node.table.Candidates(buffer.candidates, pool.Name, model.Name, model.Version, now)
	}
	request := p.schedulingRequest(snapshot.Declaration.Routing)
	buffer.scheduler.Annotate(buffer.candidates, p.affinityKey(depths), depths, p.storeName())
	routing.Exclude(buffer.candidates, excluded)
	decision := buffer.scheduler.Schedule(request, buffer.candidates)
	if decision.Index < 0 {
		return nil, decision.LastRejection
	}
	chosen := buffer.candidates[decision.Index]
	missing, imported := routing.MissingTokens(request, &chosen)
	p.importBlocks = 0
	if imported > 0 {
		p.importBlocks = chosen.ImportBlocks
	}
	node.table.Begin(chosen.Endpoint, missing, now)
	node.speculativeIndex.Add(now, prefixindex.NewHolder(chosen.Endpoint, chosen.Epoch), p.chain)
	return &dispatch.Target{Endpoint: chosen.Endpoint, Address: chosen.Address, Epoch: chosen.Epoch, Weights: model.Version}, routing.Accepted
}

// schedulingRequest describes the prompt to the scheduler. The pools of one model
// are assumed to be alike, so the parameters of the first one are used for all.
func (p *placement) schedulingRequest(weights configuration.Routing) *routing.Request {
	pool := p.pools[0]
	request := &routing.Request{
		PromptTokens:           len(p.prompt)/bytesPerToken + 1,
		BlockTokens:            pool.BlockBytes / bytesPerToken,
		Blocks:                 len(p.chain),
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

// storeName returns the name of the prefix store in the index, or "" if the pool has
// none.
func (p *placement) storeName() string {
	if store := p.pools[0].PrefixStore; store != nil {
		return store.Name
	}
	return ""
}

func (p *placement) affinityKey(depths []prefixindex.Depth) prefix.Hash {
	if len(p.chain) == 0 {
		return prefix.HashName(p.salt)
	}
	return routing.AffinityKey(p.chain, depths, p.storeName())
}

// ReportResult implements dispatch.Placer.
func (p *placement) ReportResult(target dispatch.Target, failed bool) {
	p.node.reportResult(target.Endpoint, failed)
}

func (node *Node) reportResult(endpoint string, failed bool) {
	result := "ok"
	if failed {
		result = "failed"
	}
	node.metrics.Attempts.WithLabelValues(endpoint, result).Inc()
	node.table.End(endpoint, failed, boottime.Now())
}

// IncarnationContext implements dispatch.Placer.
func (p *placement) IncarnationContext(target dispatch.Target) context.Context {
	return p.node.table.IncarnationContext(target.Endpoint)
}

// ReportStale implements dispatch.Placer. It probes the engine and publishes the
// result to the fleet. When a zone fails, the observers of its engines fail with
// them, so the nodes that encounter dead engines have to report them. An observer
// that still reaches its engine corrects a wrong report.
func (p *placement) ReportStale(target dispatch.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	status, err := p.node.engines.Status(ctx, target.Address)
	p.node.observe(target.Endpoint, endpoint.Observation{Responded: err == nil, Status: status})
}

// probeUnknown queries the status of a few engines that have no observed state.
func (node *Node) probeUnknown(ctx context.Context, pools []*configuration.Pool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var done sync.WaitGroup
	probes := 0
	for _, pool := range pools {
		for _, engine := range pool.Engines {
			record, found := node.table.Record(engine.Name)
			if !found || record.Epoch != "" || probes >= maxConcurrentProbes {
				continue
			}
			probes++
			done.Go(func() {
				if status, err := node.engines.Status(ctx, engine.Address); err == nil {
					node.observe(engine.Name, endpoint.Observation{Responded: true, Status: status})
				}
			})
		}
	}
	done.Wait()
}

// body builds the engine's request: the caller's request with the fields that nodes
// set. Unknown fields are forwarded unchanged.
func (p *placement) body(continueAt int) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	decoder := json.NewDecoder(bytes.NewReader(p.completion.Body))
	if err := decoder.Decode(&fields); err != nil {
		return nil, errors.Trace(err)
	}
	set := func(name string, value any) {
		fields[name], _ = json.Marshal(value)
	}
	set("stream", true)
	set("stream_options", engineapi.StreamOptions{IncludeUsage: true})
	set("cache_salt", p.salt)
	set("priority", priorityOf(p.completion))
	delete(fields, "continue_from")
	delete(fields, "kv_transfer")
	if store := p.pools[0].PrefixStore; store != nil {
		set("kv_transfer", engineapi.Transfer{Store: store.Address, ImportBlocks: p.importBlocks})
	}
	if continueAt > 0 {
		set("continue_from", engineapi.Continuation{Text: p.completion.EmittedText(), Offset: continueAt})
	}
	return json.Marshal(fields)
}
