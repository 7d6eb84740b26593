// Package faults injects faults into a running fleet under load and checks the recorded
// history against the guarantees of the system.
package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/lab/cluster"
	"github.com/cloverrail/cloverrail/internal/lab/enginestub"
	"github.com/cloverrail/cloverrail/internal/lab/load"
	"github.com/cloverrail/cloverrail/internal/lab/plainstub"
	"github.com/cloverrail/cloverrail/internal/pause"
)

// Config holds the settings of a run.
type Config struct {
	Cluster  *cluster.Cluster
	Target   load.Target
	Seed     uint64
	Duration time.Duration
	Callers  int
	Output   io.Writer
}

// disruption is an interval in which a node is not expected to serve requests.
type harm struct {
	node  int
	from  time.Time
	until time.Time
}

// drainInterval is an interval in which an engine must receive no new requests.
type departure struct {
	engine string
	from   time.Time
	until  time.Time
}

// change is an accepted configuration change.
type change struct {
	id       string
	revision int64
	at       time.Time
	// propagatedAt is when the last node that is not disrupted had applied the change.
	reached time.Time
}

// restart is the interval from the start of a node's process to its first token.
type restart struct {
	elapsed time.Duration
	// attempts describes the result of each request that the node was sent.
	tries []string
}

// run is the state of a run.
type run struct {
	config    Config
	cluster   *cluster.Cluster
	random    *rand.Rand
	generator *load.Generator

	mutex      sync.Mutex
	harms      []harm
	departures []departure
	changes    []change
	// rejectedChanges holds the IDs of the changes that were rejected as conflicts.
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

// Run injects faults into the cluster for the configured duration and returns the
// verdicts.
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
	for caller := range run.config.Callers {
		done.Go(func() {
			for turn := caller; ctx.Err() == nil; turn++ {
				background := context.WithoutCancel(ctx)
				if turn%7 == 0 {
					first, second := run.readyNode(turn), run.readyNode(turn+1)
					run.generator.Duplicate(background, []int{first, second, first})
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

// readyNode returns the next node that reports itself ready, as a load balancer does. If
// none is ready, it returns the next node.
func (run *run) readyNode(turn int) int {
	nodes := len(run.cluster.Nodes)
	for offset := range nodes {
		if node := (turn + offset) % nodes; !run.unready[node].Load() {
			return node
		}
	}
	return turn % nodes
}

// watchReadiness polls the readiness of every node.
func (run *run) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for node := range run.cluster.Nodes {
			run.unready[node].Store(!run.cluster.Ready(node))
		}
		pause.For(ctx, pollPause)
	}
}

// injectFaults injects one fault after another until the context ends, in an order that
// the seed determines.
func (run *run) harmUntil(ctx context.Context) {
	faults := []struct {
		name string
		do   func(context.Context)
	}{
		{"kill a node", run.killNode},
		{"shut down a node gracefully", run.stopNode},
		{"freeze a node", run.freezeNode},
		{"restart all nodes at once", run.herd},
		{"restart an engine at its address", run.crashEngine},
		{"kill an engine", run.killEngine},
		{"freeze an engine", run.freezeEngine},
		{"drain and readmit an engine", run.leaveEngine},
		{"key-value service outage", run.keyValueOutage},
		{"key-value service drops responses", run.keyValueLoses},
		{"concurrent operator changes", run.race},
		{"a server drops a response", run.cutAnswers},
	}
	order := run.random.Perm(len(faults))
	for index := 0; ctx.Err() == nil; index++ {
		fault := faults[order[index%len(order)]]
		fmt.Fprintf(run.config.Output, "  %s: %s\n", time.Now().Format("15:04:05.0"), fault.name)
		fault.do(ctx)
		pause.For(ctx, betweenFaults)
	}
}

func (run *run) note(format string, values ...any) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.violations = append(run.violations, fmt.Sprintf(format, values...))
}

// collectExecutions saves the log of an engine, which is lost when its process ends.
func (run *run) collect(engine *cluster.Backend) {
	log, err := cluster.Fetch[[]enginestub.Execution](run.cluster, engine.Address, "/control/log")
	if err != nil {
		return
	}
	for index := range log {
		// The name of the engine is appended to the attempt's ID.
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
			run.note("cannot read the log of a server: %v", err)
		}
		all = append(all, log...)
	}
	return all
}
