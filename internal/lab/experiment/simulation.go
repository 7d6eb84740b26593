package experiment

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/endpoint"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/eventreader"
	"github.com/cloverrail/cloverrail/internal/lab/agenda"
	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/routing"
)

const (
	poolName       = "pool"
	modelName      = "model"
	readInterval   = 100 * time.Millisecond
	speculativeTTL = time.Second
	exportDelay    = 500 * time.Millisecond
)

// startTime is the time at which virtual time starts.
var startTime = time.Unix(1_800_000_000, 0)

// simulatedEngine is an engine with its event reader.
type simulatedEngine struct {
	name     string
	number   int
	epoch    int
	engine   *enginemodel.Engine
	stepping bool
	reader   *eventreader.Reader
	// eventLog holds the events that the reader has not read yet, without lost ones.
	eventLog []engineapi.CacheEvent
	// reportedLoad is the load last reported by the engine's reader.
	knownLoad   engineapi.Load
	knownLoadAt time.Time
	// inFlight maps request IDs to the requests on the engine.
	inFlight map[string]*activeRequest
}

// activeRequest is a request that has been sent to an engine.
type activeRequest struct {
	request      *workloadRequest
	node         int
	engine       *simulatedEngine
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
}

// simulation is a run of one policy.
type simulation struct {
	profile Profile
	policy  policy
	random  *rand.Rand
	events  agenda.Queue[func()]
	now     time.Duration
	engines []*simulatedEngine
	tables  []*endpoint.Table
	index   *prefixindex.Index
	// speculative records for each node where it recently sent prompts.
	speculative []*prefixindex.SpeculativeIndex
	// scheduler annotates candidates for all policies.
	scheduler   *routing.Scheduler
	prefixStore *enginemodel.PrefixStore
	result      result
}

type result struct {
	firstTokenTimes []time.Duration
	interTokenTimes []time.Duration
	promptTokens    int
	recomputed      int
	imported        int
	refused         int
	completed       int
}

func newSimulation(profile Profile, chosen policy, seed uint64) *simulation {
	run := &simulation{profile: profile, policy: chosen, random: rand.New(rand.NewPCG(seed, 31)), index: prefixindex.New(), scheduler: routing.NewScheduler(), prefixStore: enginemodel.NewPrefixStore(profile.PrefixStoreBlocks)}
	declaration := &configuration.Declaration{Pools: []configuration.Pool{{Name: poolName}}}
	for number := range profile.Engines {
		name := fmt.Sprintf("engine-%02d", number)
		declaration.Pools[0].Engines = append(declaration.Pools[0].Engines, configuration.Backend{Name: name})
		run.engines = append(run.engines, &simulatedEngine{name: name, number: number, engine: enginemodel.New(profile.Engine), reader: eventreader.New(name), inFlight: map[string]*activeRequest{}})
	}
	snapshot := configuration.Compile(1, "experiment", declaration)
	for range profile.Nodes {
		table := endpoint.NewTable()
		table.Configure(snapshot)
		run.tables = append(run.tables, table)
		run.speculative = append(run.speculative, prefixindex.NewSpeculativeIndex(speculativeTTL))
	}
	for _, engine := range run.engines {
		run.announceIncarnation(engine)
		run.at(time.Duration(run.random.Int64N(int64(readInterval))), func() { run.readEvents(engine) })
	}
	return run
}

func (run *simulation) clock() time.Time { return startTime.Add(run.now) }

func (run *simulation) at(when time.Duration, action func()) {
	run.events.Add(startTime.Add(when), action)
}

// announceIncarnation publishes the current incarnation of an engine to all nodes.
func (run *simulation) announceIncarnation(engine *simulatedEngine) {
	for _, table := range run.tables {
		table.Merge(endpoint.Record{Name: engine.name, Version: uint64(engine.epoch + 1), Epoch: engine.epochName(), Weights: map[string]string{modelName: "v"}})
	}
}

func (engine *simulatedEngine) epochName() string { return fmt.Sprint("epoch-", engine.epoch) }

func (run *simulation) run(requests []workloadRequest, crashes []crash) result {
	for index := range requests {
		request := &requests[index]
		run.at(request.at, func() { run.placeRequest(request) })
	}
	for _, item := range crashes {
		run.at(item.at, func() { run.crashEngine(run.engines[item.engine]) })
	}
	remaining := len(requests)
	for run.result.completed < remaining {
		next, found := run.events.Pop()
		if !found {
			break
		}
		run.now = next.At.Sub(startTime)
		next.Item()
	}
	return run.result
}

// placeRequest lets the request's node choose an engine and sends the request to it.
func (run *simulation) placeRequest(request *workloadRequest) {
	table := run.tables[request.node]
	candidates := run.collectCandidates(request, table)
	message := routing.Request{
		PromptTokens:           request.inputTokens,
		BlockTokens:            run.profile.Engine.BlockTokens,
		Blocks:                 len(request.chain),
		PrefillTokensPerSecond: run.profile.Engine.PrefillTokensPerSecond,
		WaitWeight:             run.profile.WaitWeight,
		WorkWeight:             run.profile.WorkWeight,
	}
	if run.policy.importsBlocks() {
		message.ImportTokensPerSecond = run.profile.Engine.ImportTokensPerSecond
	}
	chosen := run.policy.choose(request.node, &message, candidates)
	run.speculative[request.node].Add(run.clock(), prefixindex.NewHolder(candidates[chosen].Endpoint, candidates[chosen].Epoch), request.chain)
	missing, _ := routing.MissingTokens(&message, &candidates[chosen])
	table.Begin(candidates[chosen].Endpoint, missing, run.clock())
	active := &activeRequest{request: request, node: request.node, engine: run.engines[chosen]}
	run.at(run.now+run.profile.OneWayDelay, func() { run.submit(active) })
}

// collectCandidates returns the engines as the node knows them, or in their true state
// for policies with perfect information.
func (run *simulation) collectCandidates(request *workloadRequest, table *endpoint.Table) []routing.Candidate {
	depths := run.index.Lookup(nil, request.chain)
	if run.profile.LoadPropagation == LoadsWithLookup {
		run.reportLoads(table, depths)
	}
	candidates := table.Candidates(nil, poolName, modelName, "v", run.clock())
	key := rendezvousKey(request.chain, run.profile.Workload.SystemPromptBlocks+1)
	if run.usesScheduler() {
		depths = run.speculative[request.node].Lookup(run.clock(), depths, request.chain)
		key = routing.AffinityKey(request.chain, depths, prefixStoreName)
	}
	if run.policy.perfectInformation() {
		run.revealTrueState(candidates, request.chain)
		depths = nil
	}
	run.scheduler.Annotate(candidates, key, depths, prefixStoreName)
	return candidates
}

func (run *simulation) usesScheduler() bool {
	_, schedulerPolicy := run.policy.(*schedulerPolicy)
	return schedulerPolicy
}

// revealTrueState sets the candidates to the current state of the engines, without delay.
func (run *simulation) revealTrueState(candidates []routing.Candidate, chain []prefix.Hash) {
	for index := range candidates {
		engine := run.engines[index]
		load := engine.engine.Load()
		candidates[index].HitBlocks = engine.engine.Depth(chain)
		candidates[index].Running = load.Running + load.Waiting
		candidates[index].QueuedTokens = load.PrefillTokens
		candidates[index].ImportBlocks = run.prefixStore.Depth(chain)
	}
}

func (run *simulation) submit(active *activeRequest) {
	engine := active.engine
	request := active.request
	engine.inFlight[request.id] = active
	engine.engine.Submit(enginemodel.Request{ID: request.id, Chain: request.chain, PromptTokens: request.inputTokens, OutputTokens: request.outputTokens, ImportBlocks: run.importableBlocks(request)})
	run.stepEngine(engine)
}

// stepEngine runs the engine's steps one after another until it is idle.
func (run *simulation) stepEngine(engine *simulatedEngine) {
	if engine.stepping || engine.engine.Idle() {
		return
	}
	engine.stepping = true
	epoch := engine.epoch
	elapsed, outputs := engine.engine.Step(run.clock())
	run.logEvents(engine)
	run.at(run.now+elapsed, func() {
		if engine.epoch != epoch {
			return
		}
		engine.stepping = false
		for _, output := range outputs {
			run.deliver(engine, output)
		}
		run.stepEngine(engine)
	})
}

// logEvents appends the engine's new cache events to its log and drops some at random.
func (run *simulation) logEvents(engine *simulatedEngine) {
	for _, event := range engine.engine.TakeEvents() {
		if run.random.Float64() >= run.profile.EventLossRate {
			engine.eventLog = append(engine.eventLog, event)
		}
	}
}

func (run *simulation) deliver(engine *simulatedEngine, output enginemodel.Output) {
	active, found := engine.inFlight[output.ID]
	if !found {
		return
	}
	if output.Offset == 0 {
		active.firstTokenAt = run.now
		run.result.firstTokenTimes = append(run.result.firstTokenTimes, run.now+run.profile.OneWayDelay-active.request.at)
		run.result.promptTokens += active.request.inputTokens
		run.result.recomputed += output.RecomputedTokens
		run.result.imported += output.ImportedBlocks * run.profile.Engine.BlockTokens
		run.exportBlocks(active.request)
	} else {
		run.result.interTokenTimes = append(run.result.interTokenTimes, run.now-active.lastTokenAt)
	}
	active.lastTokenAt = run.now
	if output.Done {
		delete(engine.inFlight, output.ID)
		run.result.completed++
		run.tables[active.node].End(engine.name, false, run.clock())
	}
}

// crashEngine restarts an engine with an empty cache and places its requests again.
func (run *simulation) crashEngine(engine *simulatedEngine) {
	engine.epoch++
	engine.engine = enginemodel.New(run.profile.Engine)
	engine.stepping = false
	engine.eventLog = nil
	lost := make([]*activeRequest, 0, len(engine.inFlight))
	for _, active := range engine.inFlight {
		lost = append(lost, active)
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].request.id < lost[j].request.id })
	engine.inFlight = map[string]*activeRequest{}
	run.announceIncarnation(engine)
	for _, active := range lost {
		run.tables[active.node].End(engine.name, false, run.clock())
		run.placeRequest(active.request)
	}
}

// readEvents reads the engine's event log once. The nodes see the result after a random
// delay.
func (run *simulation) readEvents(engine *simulatedEngine) {
	batch := engineapi.EventBatch{Epoch: engine.epochName(), Runs: engineapi.Pack(engine.eventLog), Load: engine.engine.Load()}
	engine.eventLog = nil
	change := engine.reader.ApplyBatch(batch)
	if engine.reader.SnapshotDue(run.clock()) {
		sequence, blocks := engine.engine.Snapshot()
		change = engine.reader.ApplySnapshot(run.clock(), engineapi.Snapshot{Epoch: engine.epochName(), Sequence: sequence, Blocks: blocks})
	}
	update := change.Update(engine.reader.Holder())
	readAt := run.clock()
	lag := time.Duration(run.random.Int64N(int64(run.profile.MaxEventDelay - readInterval)))
	run.at(run.now+lag, func() {
		run.index.Apply(update)
		engine.knownLoad, engine.knownLoadAt = batch.Load, readAt
		if run.profile.LoadPropagation == LoadsBroadcast {
			for _, table := range run.tables {
				table.ReportLoad(engine.name, batch.Load, readAt)
			}
		}
	})
	run.at(run.now+readInterval, func() { run.readEvents(engine) })
}

// prefixStoreName is the name of the prefix store among the holders of the index.
const prefixStoreName = "kept"

// exportBlocks saves the computed blocks of a request to the prefix store after exportDelay.
func (run *simulation) exportBlocks(request *workloadRequest) {
	run.at(run.now+exportDelay, func() {
		run.prefixStore.Store(request.chain, run.clock())
		run.index.Apply(run.prefixStoreUpdate())
	})
}

func (run *simulation) prefixStoreUpdate() prefixindex.Update {
	update := prefixindex.Update{Holder: prefixindex.NewHolder(prefixStoreName, "1")}
	for _, event := range run.prefixStore.TakeEvents() {
		if event.Kind == engineapi.BlockStored {
			update.Stored = append(update.Stored, event.Block)
		} else {
			update.Evicted = append(update.Evicted, event.Block)
		}
	}
	return update
}

// importableBlocks returns the number of blocks that the request may import.
func (run *simulation) importableBlocks(request *workloadRequest) int {
	if !run.policy.importsBlocks() {
		return 0
	}
	run.prefixStore.Touch(request.chain, run.clock())
	return run.prefixStore.Depth(request.chain)
}

// reportLoads gives a node the loads that are returned with an index lookup.
func (run *simulation) reportLoads(table *endpoint.Table, depths []prefixindex.Depth) {
	for _, depth := range depths {
		for _, engine := range run.engines {
			if engine.name == depth.Holder.Endpoint {
				table.ReportLoad(engine.name, engine.knownLoad, engine.knownLoadAt)
			}
		}
	}
}
