// Package faults harms a running fleet under load and checks the whole history
// against what must always hold.
package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/lab/cluster"
	"github.com/cloverrail/cloverrail/internal/lab/enginestub"
	"github.com/cloverrail/cloverrail/internal/lab/kvstub"
	"github.com/cloverrail/cloverrail/internal/lab/load"
	"github.com/cloverrail/cloverrail/internal/lab/plainstub"
	"github.com/cloverrail/cloverrail/internal/operator"
)

// Config sets up a run.
type Config struct {
	Cluster  *cluster.Cluster
	Target   load.Target
	Seed     uint64
	Duration time.Duration
	Callers  int
	Output   io.Writer
}

// harm is an interval in which a node could not be expected to serve.
type harm struct {
	node  int
	from  time.Time
	until time.Time
}

// departure is an interval in which an engine must get nothing new.
type departure struct {
	engine string
	from   time.Time
	until  time.Time
}

// change is an accepted change of the configuration.
type change struct {
	id       string
	revision int64
	at       time.Time
	// reached is when the last node that could be expected to had it in force.
	reached time.Time
}

// restart is one start of a node's process until its first token.
type restart struct {
	elapsed time.Duration
	// tries tells what each request before was answered.
	tries []string
}

// run is the state of one run.
type run struct {
	config    Config
	cluster   *cluster.Cluster
	random    *rand.Rand
	generator *load.Generator

	mutex      sync.Mutex
	harms      []harm
	departures []departure
	changes    []change
	// refused are changes that were said not to be in force.
	refused    []string
	restarts   []restart
	violations []string
	executions []enginestub.Execution
	outage     bool
	unready    []atomic.Bool
}

const (
	nodeFreeze    = 4 * time.Second
	engineFreeze  = 2 * time.Second
	outageLength  = 4 * time.Second
	settleTime    = 6 * time.Second
	leaveGrace    = 2 * time.Second
	reachLimit    = 3 * time.Second
	forever       = 24 * time.Hour
	restartPause  = 300 * time.Millisecond
	betweenFaults = 700 * time.Millisecond
	pollPause     = 50 * time.Millisecond
)

// Run harms the cluster for the duration and returns the verdicts.
func Run(ctx context.Context, config Config) []Verdict {
	run := &run{
		config: config, cluster: config.Cluster,
		random:    rand.New(rand.NewPCG(config.Seed, 4)),
		generator: load.New(config.Target, config.Seed),
		unready:   make([]atomic.Bool, len(config.Cluster.Nodes)),
	}
	loading, stop := context.WithTimeout(ctx, config.Duration)
	defer stop()
	var done sync.WaitGroup
	go run.watchReadiness(loading)
	run.callers(loading, &done)
	monitoring, stopMonitor := context.WithCancel(ctx)
	done.Go(func() { run.watchRevisions(monitoring) })
	run.harmUntil(loading)
	run.heal(ctx)
	time.Sleep(settleTime)
	stopMonitor()
	done.Wait()
	run.collectAll()
	return run.verdicts()
}

func (run *run) callers(ctx context.Context, done *sync.WaitGroup) {
	kinds := []load.Kind{load.Streamed, load.Whole, load.Once, load.Streamed}
	nodes := len(run.cluster.Nodes)
	for caller := range run.config.Callers {
		done.Go(func() {
			for turn := caller; ctx.Err() == nil; turn++ {
				background := context.WithoutCancel(ctx)
				if turn%7 == 0 {
					run.generator.Duplicate(background, []int{turn % nodes, (turn + 1) % nodes, turn % nodes})
					continue
				}
				if turn%11 == 0 && run.generator.Again(background, run.readyNode(turn)) {
					continue
				}
				record := run.generator.Request(background, kinds[turn%len(kinds)], run.readyNode(turn))
				if record.Status != 200 {
					time.Sleep(pollPause)
				}
			}
		})
	}
}

// readyNode is the next node whose readiness is up, as a load balancer would
// have it; without any, all get requests.
func (run *run) readyNode(turn int) int {
	nodes := len(run.cluster.Nodes)
	for offset := range nodes {
		if node := (turn + offset) % nodes; !run.unready[node].Load() {
			return node
		}
	}
	return turn % nodes
}

// watchReadiness polls every node's readiness.
func (run *run) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for node := range run.cluster.Nodes {
			run.unready[node].Store(!run.cluster.Ready(node))
		}
		sleep(ctx, pollPause)
	}
}

// harmUntil draws one fault after another from the seed.
func (run *run) harmUntil(ctx context.Context) {
	faults := []struct {
		name string
		do   func(context.Context)
	}{
		{"kill a node", run.killNode},
		{"stop a node as planned", run.stopNode},
		{"freeze a node", run.freezeNode},
		{"restart all nodes at once", run.herd},
		{"crash an engine under its address", run.crashEngine},
		{"kill an engine", run.killEngine},
		{"freeze an engine", run.freezeEngine},
		{"an engine leaves and comes back", run.leaveEngine},
		{"key-value service outage", run.keyValueOutage},
		{"key-value service loses answers", run.keyValueLoses},
		{"operators race", run.race},
		{"a server answers nothing", run.cutAnswers},
	}
	order := run.random.Perm(len(faults))
	for index := 0; ctx.Err() == nil; index++ {
		fault := faults[order[index%len(order)]]
		fmt.Fprintf(run.config.Output, "  %s: %s\n", time.Now().Format("15:04:05.0"), fault.name)
		fault.do(ctx)
		sleep(ctx, betweenFaults)
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

func (run *run) note(format string, values ...any) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.violations = append(run.violations, fmt.Sprintf(format, values...))
}

// harmNode opens an interval of harm; the returned function closes it.
func (run *run) harmNode(node int) func() {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.harms = append(run.harms, harm{node: node, from: time.Now(), until: time.Now().Add(forever)})
	index := len(run.harms) - 1
	return func() {
		run.mutex.Lock()
		defer run.mutex.Unlock()
		run.harms[index].until = time.Now()
	}
}

func (run *run) anyNode() int { return run.random.IntN(len(run.cluster.Nodes)) }

func (run *run) anyEngine() *cluster.Backend {
	return run.cluster.Engines[run.random.IntN(len(run.cluster.Engines))]
}

// restartNode starts a node again and times its first answer.
func (run *run) restartNode(node int) {
	begin := time.Now()
	tries := []string{}
	if err := run.cluster.StartNode(node); err != nil {
		run.note("a node did not start: %v", err)
		return
	}
	for time.Since(begin) < settleTime {
		record := run.generator.Probe(context.Background(), node)
		tries = append(tries, fmt.Sprint(record.Status, " ", record.Code, " ", record.Elapsed.Round(time.Millisecond)))
		if record.Status == 200 {
			run.mutex.Lock()
			run.restarts = append(run.restarts, restart{elapsed: record.Started.Add(record.FirstToken).Sub(begin), tries: tries})
			run.mutex.Unlock()
			return
		}
		time.Sleep(pollPause / 5)
	}
	run.note("a restarted node gave no answer within %s", settleTime)
}

func (run *run) killNode(ctx context.Context) {
	node := run.anyNode()
	over := run.harmNode(node)
	run.cluster.Nodes[node].Process.Kill()
	sleep(ctx, restartPause)
	run.restartNode(node)
	over()
}

func (run *run) stopNode(context.Context) {
	node := run.anyNode()
	process := run.cluster.Nodes[node].Process
	process.Signal(syscall.SIGTERM)
	if !process.Wait(20 * time.Second) {
		run.note("a planned stop did not end")
		process.Kill()
	}
	over := run.harmNode(node)
	run.restartNode(node)
	over()
}

func (run *run) freezeNode(context.Context) {
	node := run.anyNode()
	over := run.harmNode(node)
	process := run.cluster.Nodes[node].Process
	process.Signal(syscall.SIGSTOP)
	time.Sleep(nodeFreeze)
	process.Signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	over()
}

func (run *run) herd(ctx context.Context) {
	ends := []func(){}
	for node := range run.cluster.Nodes {
		ends = append(ends, run.harmNode(node))
		run.cluster.Nodes[node].Process.Kill()
	}
	sleep(ctx, restartPause)
	var done sync.WaitGroup
	for node := range run.cluster.Nodes {
		done.Go(func() {
			run.restartNode(node)
			ends[node]()
		})
	}
	done.Wait()
}

func (run *run) crashEngine(context.Context) {
	_ = run.cluster.Control(run.anyEngine().Address, "control/crash", nil)
}

func (run *run) killEngine(ctx context.Context) {
	engine := run.anyEngine()
	run.collect(engine)
	engine.Process.Kill()
	sleep(ctx, restartPause)
	if err := run.cluster.StartEngine(engine); err != nil {
		run.note("an engine did not start: %v", err)
	}
}

func (run *run) freezeEngine(context.Context) {
	engine := run.anyEngine()
	engine.Process.Signal(syscall.SIGSTOP)
	time.Sleep(engineFreeze)
	engine.Process.Signal(syscall.SIGCONT)
}

// leaveEngine drains an engine by the operator's command, so that the engine
// itself does not refuse and every dispatch to it would show.
func (run *run) leaveEngine(ctx context.Context) {
	engine := run.anyEngine()
	if !run.command(ctx, "drain engine "+engine.Name) {
		return
	}
	run.mutex.Lock()
	run.departures = append(run.departures, departure{engine: engine.Name, from: time.Now().Add(leaveGrace), until: time.Now().Add(forever)})
	index := len(run.departures) - 1
	run.mutex.Unlock()
	sleep(ctx, leaveGrace+2*time.Second)
	run.mutex.Lock()
	run.departures[index].until = time.Now()
	run.mutex.Unlock()
	run.command(ctx, "readmit engine "+engine.Name)
}

// command runs a statement through any node and reports whether it is in force.
func (run *run) command(ctx context.Context, statement string) bool {
	for range len(run.cluster.Nodes) {
		table, err := cluster.Post[operator.Table](ctx, run.cluster, run.anyNode(), "query", operator.QueryRequest{Statement: statement})
		if err == nil && len(table.Rows) == 1 {
			var revision int64
			_, _ = fmt.Sscan(table.Rows[0][1], &revision)
			run.accept(change{id: table.Rows[0][2], revision: revision, at: time.Now()})
			return true
		}
	}
	return false
}

func (run *run) accept(accepted change) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.changes = append(run.changes, accepted)
}

func (run *run) setOutage(outage bool, faults kvstub.Faults) {
	run.mutex.Lock()
	run.outage = outage
	run.mutex.Unlock()
	_ = run.cluster.SetKeyValueFaults(faults)
}

func (run *run) keyValueOutage(ctx context.Context) {
	run.setOutage(true, kvstub.Faults{Outage: true})
	node := run.anyNode()
	over := run.harmNode(node)
	run.cluster.Nodes[node].Process.Kill()
	run.restartNode(node)
	over()
	sleep(ctx, outageLength)
	run.setOutage(false, kvstub.Faults{})
}

func (run *run) keyValueLoses(ctx context.Context) {
	run.setOutage(true, kvstub.Faults{LoseAnswers: 0.5, Delay: 20 * time.Millisecond})
	run.race(ctx)
	run.setOutage(false, kvstub.Faults{})
}

// race lets two operators change the same thing through different nodes.
func (run *run) race(ctx context.Context) {
	tenant := run.config.Target.Tenants[0]
	var done sync.WaitGroup
	for operator := range 2 {
		priority := 1 + run.random.IntN(9)
		node := run.anyNode()
		done.Go(func() { run.applyPriority(ctx, node, tenant, priority, operator) })
	}
	done.Wait()
}

func (run *run) applyPriority(ctx context.Context, node int, tenant string, priority, number int) {
	declared := *run.cluster.Declaration
	declared.Tenants = append([]configuration.Tenant(nil), declared.Tenants...)
	for index := range declared.Tenants {
		if declared.Tenants[index].Name == tenant {
			declared.Tenants[index].Priority = priority
		}
	}
	id := fmt.Sprintf("race-%d-%d", time.Now().UnixNano(), number)
	answer, err := run.cluster.Apply(ctx, node, &declared, id)
	switch {
	case err == nil:
		run.accept(change{id: id, revision: answer.Revision, at: time.Now()})
	case isConflict(err):
		run.mutex.Lock()
		run.refused = append(run.refused, id)
		run.mutex.Unlock()
	}
}

func (run *run) cutAnswers(context.Context) {
	server := run.cluster.Servers[run.random.IntN(len(run.cluster.Servers))]
	_ = run.cluster.Control(server.Address, "control/cut", nil)
}

func (run *run) heal(context.Context) {
	run.setOutage(false, kvstub.Faults{})
}

// collect keeps an engine's log, which dies with its process.
func (run *run) collect(engine *cluster.Backend) {
	log, err := cluster.Fetch[[]enginestub.Execution](run.cluster, engine.Address, "/control/log")
	if err != nil {
		return
	}
	for index := range log {
		// The attempt is followed by its engine's name from here on.
		log[index].Attempt += "@" + engine.Name
	}
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.executions = append(run.executions, log...)
}

func (run *run) collectAll() {
	for _, engine := range run.cluster.Engines {
		run.collect(engine)
	}
}

func (run *run) plainExecutions() []plainstub.Execution {
	all := []plainstub.Execution{}
	for _, server := range run.cluster.Servers {
		log, err := cluster.Fetch[[]plainstub.Execution](run.cluster, server.Address, "/control/log")
		if err != nil {
			run.note("a server's log cannot be read: %v", err)
		}
		all = append(all, log...)
	}
	return all
}
