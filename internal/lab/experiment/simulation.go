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
	poolName     = "pool"
	modelName    = "model"
	readInterval = 100 * time.Millisecond
	expectedLife = time.Second
	exportLag    = 500 * time.Millisecond
)

// startTime is the time at which virtual time starts.
var start = time.Unix(1_800_000_000, 0)

// simulatedEngine is an engine with its event reader.
type simulatedEngine struct {
	name     string
	number   int
	epoch    int
	engine   *enginemodel.Engine
	stepping bool
	reader   *eventreader.Reader
	// eventLog holds the events that the reader has not read yet, without lost ones.
	log []engineapi.CacheEvent
	// knownLoad is the load last reported by the engine's reader.
	reported   engineapi.Load
	reportedAt time.Time
	// inFlight maps request IDs to the requests on the engine.
	open map[string]*flight
}

// activeRequest is a request that has been sent to an engine.
type flight struct {
	arrival *arrival
	node    int
	engine  *simulatedEngine
	first   time.Duration
	last    time.Duration
}

// simulation is a run of one policy.
type simulation struct {
	profile Profile
	policy  policy
	random  *rand.Rand
	agenda  agenda.Agenda[func()]
	now     time.Duration
	engines []*simulatedEngine
	tables  []*endpoint.Table
	index   *prefixindex.Index
	// expected records for each node where it recently sent prompts.
	expected []*prefixindex.Expected
	// scheduler annotates candidates for all policies.
	scheduler *routing.Scheduler
	kept      *enginemodel.Kept
	result    result
}

type result struct {
	firstTokens  []time.Duration
	betweenTimes []time.Duration
	promptTokens int
	recomputed   int
	imported     int
	refused      int
	completed    int
}

func newSimulation(profile Profile, chosen policy, seed uint64) *simulation {
	run := &simulation{profile: profile, policy: chosen, random: rand.New(rand.NewPCG(seed, 31)), index: prefixindex.New(), scheduler: routing.NewScheduler(), kept: enginemodel.NewKept(profile.KeptBlocks)}
	declaration := &configuration.Declaration{Pools: []configuration.Pool{{Name: poolName}}}
	for number := range profile.Engines {
		name := fmt.Sprintf("engine-%02d", number)
		declaration.Pools[0].Engines = append(declaration.Pools[0].Engines, configuration.Backend{Name: name})
		run.engines = append(run.engines, &simulatedEngine{name: name, number: number, engine: enginemodel.New(profile.Engine), reader: eventreader.New(name), open: map[string]*flight{}})
	}
	snapshot := configuration.Compile(1, "experiment", declaration)
	for range profile.Nodes {
		table := endpoint.NewTable()
		table.Configure(snapshot)
		run.tables = append(run.tables, table)
		run.expected = append(run.expected, prefixindex.NewExpected(expectedLife))
	}
	for _, engine := range run.engines {
		run.announce(engine)
		run.at(time.Duration(run.random.Int64N(int64(readInterval))), func() { run.read(engine) })
	}
	return run
}

func (run *simulation) clock() time.Time { return start.Add(run.now) }

func (run *simulation) at(when time.Duration, do func()) {
	run.agenda.Add(start.Add(when), do)
}

// announceIncarnation publishes the current incarnation of an engine to all nodes.
func (run *simulation) announce(engine *simulatedEngine) {
	for _, table := range run.tables {
		table.Merge(endpoint.Record{Name: engine.name, Version: uint64(engine.epoch + 1), Epoch: engine.epochName(), Weights: map[string]string{modelName: "v"}})
	}
}

func (engine *simulatedEngine) epochName() string { return fmt.Sprint("epoch-", engine.epoch) }

func (run *simulation) run(requests []arrival, crashes []crash) result {
	for index := range requests {
		request := &requests[index]
		run.at(request.at, func() { run.place(request) })
	}
	for _, item := range crashes {
		run.at(item.at, func() { run.crash(run.engines[item.engine]) })
	}
	remaining := len(requests)
	for run.result.completed < remaining {
		next, found := run.agenda.Next()
		if !found {
			break
		}
		run.now = next.At.Sub(start)
		next.Item()
	}
	return run.result
}

// placeRequest lets the request's node choose an engine and sends the request to it.
func (run *simulation) place(request *arrival) {
	table := run.tables[request.node]
	candidates := run.survey(request, table)
	message := routing.Request{
		PromptTokens:           request.tokens,
		BlockTokens:            run.profile.Engine.BlockTokens,
		Blocks:                 len(request.chain),
		PrefillTokensPerSecond: run.profile.Engine.PrefillTokensPerSecond,
		WaitWeight:             run.profile.WaitWeight,
		WorkWeight:             run.profile.WorkWeight,
	}
	if run.policy.imports() {
		message.ImportTokensPerSecond = run.profile.Engine.ImportTokensPerSecond
	}
	chosen := run.policy.choose(request.node, &message, candidates)
	run.expected[request.node].Add(run.clock(), prefixindex.NewHolder(candidates[chosen].Endpoint, candidates[chosen].Epoch), request.chain)
	missing, _ := routing.Missing(&message, &candidates[chosen])
	table.Begin(candidates[chosen].Endpoint, missing, run.clock())
	travelling := &flight{arrival: request, node: request.node, engine: run.engines[chosen]}
	run.at(run.now+run.profile.OneWay, func() { run.submit(travelling) })
}

// collectCandidates returns the engines as the node knows them, or in their true state
// for policies with perfect information.
func (run *simulation) survey(request *arrival, table *endpoint.Table) []routing.Candidate {
	depths := run.index.Lookup(nil, request.chain)
	if run.profile.LoadView == LoadsByLookup {
		run.learnLoads(table, depths)
	}
	candidates := table.Candidates(nil, poolName, modelName, "v", run.clock())
	key := keyOf(request.chain, run.profile.Workload.RuleBlocks+1)
	if run.isScheduled() {
		depths = run.expected[request.node].Lookup(run.clock(), depths, request.chain)
		key = routing.AffinityKey(request.chain, depths, keptName)
	}
	if run.policy.perfect() {
		run.reveal(candidates, request.chain)
		depths = nil
	}
	run.scheduler.Annotate(candidates, key, depths, keptName)
	return candidates
}

func (run *simulation) isScheduled() bool {
	_, scheduled := run.policy.(*scheduled)
	return scheduled
}

// revealTrueState sets the candidates to the current state of the engines, without delay.
func (run *simulation) reveal(candidates []routing.Candidate, chain []prefix.Hash) {
	for index := range candidates {
		engine := run.engines[index]
		load := engine.engine.Load()
		candidates[index].HitBlocks = engine.engine.Depth(chain)
		candidates[index].Running = load.Running + load.Waiting
		candidates[index].QueuedTokens = load.PrefillTokens
		candidates[index].ImportBlocks = run.kept.Depth(chain)
	}
}

func (run *simulation) submit(travelling *flight) {
	engine := travelling.engine
	request := travelling.arrival
	engine.open[request.id] = travelling
	engine.engine.Submit(enginemodel.Request{ID: request.id, Chain: request.chain, PromptTokens: request.tokens, OutputTokens: request.output, ImportBlocks: run.offered(request)})
	run.step(engine)
}

// stepEngine runs the engine's steps one after another until it is idle.
func (run *simulation) step(engine *simulatedEngine) {
	if engine.stepping || engine.engine.Idle() {
		return
	}
	engine.stepping = true
	epoch := engine.epoch
	elapsed, outputs := engine.engine.Step(run.clock())
	run.publish(engine)
	run.at(run.now+elapsed, func() {
		if engine.epoch != epoch {
			return
		}
		engine.stepping = false
		for _, output := range outputs {
			run.deliver(engine, output)
		}
		run.step(engine)
	})
}

// logEvents appends the engine's new cache events to its log and drops some at random.
func (run *simulation) publish(engine *simulatedEngine) {
	for _, event := range engine.engine.TakeEvents() {
		if run.random.Float64() >= run.profile.EventGap {
			engine.log = append(engine.log, event)
		}
	}
}

func (run *simulation) deliver(engine *simulatedEngine, output enginemodel.Output) {
	travelling, found := engine.open[output.ID]
	if !found {
		return
	}
	if output.Offset == 0 {
		travelling.first = run.now
		run.result.firstTokens = append(run.result.firstTokens, run.now+run.profile.OneWay-travelling.arrival.at)
		run.result.promptTokens += travelling.arrival.tokens
		run.result.recomputed += output.RecomputedTokens
		run.result.imported += output.ImportedBlocks * run.profile.Engine.BlockTokens
		run.export(travelling.arrival)
	} else {
		run.result.betweenTimes = append(run.result.betweenTimes, run.now-travelling.last)
	}
	travelling.last = run.now
	if output.Done {
		delete(engine.open, output.ID)
		run.result.completed++
		run.tables[travelling.node].End(engine.name, false, run.clock())
	}
}

// crashEngine restarts an engine with an empty cache and places its requests again.
func (run *simulation) crash(engine *simulatedEngine) {
	engine.epoch++
	engine.engine = enginemodel.New(run.profile.Engine)
	engine.stepping = false
	engine.log = nil
	lost := make([]*flight, 0, len(engine.open))
	for _, travelling := range engine.open {
		lost = append(lost, travelling)
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].arrival.id < lost[j].arrival.id })
	engine.open = map[string]*flight{}
	run.announce(engine)
	for _, travelling := range lost {
		run.tables[travelling.node].End(engine.name, false, run.clock())
		run.place(travelling.arrival)
	}
}

// readEvents reads the engine's event log once. The nodes see the result after a random
// delay.
func (run *simulation) read(engine *simulatedEngine) {
	batch := engineapi.EventBatch{Epoch: engine.epochName(), Runs: engineapi.Pack(engine.log), Load: engine.engine.Load()}
	engine.log = nil
	change := engine.reader.Take(batch)
	if engine.reader.SnapshotDue(run.clock()) {
		sequence, blocks := engine.engine.Snapshot()
		change = engine.reader.Reset(run.clock(), engineapi.Snapshot{Epoch: engine.epochName(), Sequence: sequence, Blocks: blocks})
	}
	update := change.Update(engine.reader.Holder())
	taken := run.clock()
	lag := time.Duration(run.random.Int64N(int64(run.profile.EventLag - readInterval)))
	run.at(run.now+lag, func() {
		run.index.Apply(update)
		engine.reported, engine.reportedAt = batch.Load, taken
		if run.profile.LoadView == LoadsToAll {
			for _, table := range run.tables {
				table.Report(engine.name, batch.Load, taken)
			}
		}
	})
	run.at(run.now+readInterval, func() { run.read(engine) })
}

// prefixStoreName is the name of the prefix store among the holders of the index.
const keptName = "kept"

// exportBlocks saves the computed blocks of a request to the prefix store after exportDelay.
func (run *simulation) export(request *arrival) {
	run.at(run.now+exportLag, func() {
		run.kept.Store(request.chain, run.clock())
		run.index.Apply(run.keptUpdate())
	})
}

func (run *simulation) keptUpdate() prefixindex.Update {
	update := prefixindex.Update{Holder: prefixindex.NewHolder(keptName, "1")}
	for _, event := range run.kept.TakeEvents() {
		if event.Kind == engineapi.BlockStored {
			update.Stored = append(update.Stored, event.Block)
		} else {
			update.Evicted = append(update.Evicted, event.Block)
		}
	}
	return update
}

// importableBlocks returns the number of blocks that the request may import.
func (run *simulation) offered(request *arrival) int {
	if !run.policy.imports() {
		return 0
	}
	run.kept.Touch(request.chain, run.clock())
	return run.kept.Depth(request.chain)
}

// reportLoads gives a node the loads that are returned with an index lookup.
func (run *simulation) learnLoads(table *endpoint.Table, depths []prefixindex.Depth) {
	for _, depth := range depths {
		for _, engine := range run.engines {
			if engine.name == depth.Holder.Endpoint {
				table.Report(engine.name, engine.reported, engine.reportedAt)
			}
		}
	}
}
