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
type disruption struct {
	node  int
	from  time.Time
	until time.Time
}

// drainInterval is an interval in which an engine must receive no new requests.
type drainInterval struct {
	engine string
	from   time.Time
	until  time.Time
}

// change is an accepted configuration change.
type change struct {
	id         string
	revision   int64
	acceptedAt time.Time
	// propagatedAt is when the last node that is not disrupted had applied the change.
	propagatedAt time.Time
}

// restart is the interval from the start of a node's process to its first token.
type restart struct {
	elapsed time.Duration
	// attempts describes the result of each request that the node was sent.
	attempts []string
}

// run is the state of a run.
type run struct {
	config    Config
	cluster   *cluster.Cluster
	random    *rand.Rand
	generator *load.Generator

	mutex       sync.Mutex
	disruptions []disruption
	drains      []drainInterval
	changes     []change
	// rejectedChanges holds the IDs of the changes that were rejected as conflicts.
	rejectedChanges []string
	restarts        []restart
	violations      []string
	executions      []enginestub.Execution
	outage          bool
	unready         []atomic.Bool
}

const (
	nodeFreezeDuration   = 4 * time.Second
	engineFreezeDuration = 2 * time.Second
	outageDuration       = 4 * time.Second
	settleTime           = 6 * time.Second
	drainGrace           = 2 * time.Second
	propagationLimit     = 3 * time.Second
	forever              = 24 * time.Hour
	restartDelay         = 300 * time.Millisecond
	faultInterval        = 700 * time.Millisecond
	pollInterval         = 50 * time.Millisecond
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
	loadCtx, stop := context.WithTimeout(ctx, config.Duration)
	defer stop()
	var done sync.WaitGroup
	go run.watchReadiness(loadCtx)
	run.startCallers(loadCtx, &done)
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	done.Go(func() { run.watchRevisions(monitorCtx) })
	run.injectFaults(loadCtx)
	run.clearFaults(ctx)
	time.Sleep(settleTime)
	stopMonitor()
	done.Wait()
	run.collectAllExecutions()
	return run.checkAll()
}

func (run *run) startCallers(ctx context.Context, done *sync.WaitGroup) {
	kinds := []load.Kind{load.Streaming, load.NonStreaming, load.AtMostOnce, load.Streaming}
	for caller := range run.config.Callers {
		done.Go(func() {
			for turn := caller; ctx.Err() == nil; turn++ {
				background := context.WithoutCancel(ctx)
				if turn%7 == 0 {
					first, second := run.readyNode(turn), run.readyNode(turn+1)
					run.generator.Duplicate(background, []int{first, second, first})
					continue
				}
				if turn%11 == 0 && run.generator.Replay(background, run.readyNode(turn)) {
					continue
				}
				record := run.generator.Request(background, kinds[turn%len(kinds)], run.readyNode(turn))
				if record.Status != 200 {
					time.Sleep(pollInterval)
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
		pause.For(ctx, pollInterval)
	}
}

// injectFaults injects one fault after another until the context ends, in an order that
// the seed determines.
func (run *run) injectFaults(ctx context.Context) {
	faults := []struct {
		name string
		do   func(context.Context)
	}{
		{"kill a node", run.killNode},
		{"shut down a node gracefully", run.stopNode},
		{"freeze a node", run.freezeNode},
		{"restart all nodes at once", run.restartAllNodes},
		{"restart an engine at its address", run.crashEngine},
		{"kill an engine", run.killEngine},
		{"freeze an engine", run.freezeEngine},
		{"drain and readmit an engine", run.drainEngine},
		{"key-value service outage", run.keyValueOutage},
		{"key-value service drops responses", run.keyValueDropsResponses},
		{"concurrent operator changes", run.raceOperators},
		{"a server drops a response", run.dropResponse},
	}
	order := run.random.Perm(len(faults))
	for index := 0; ctx.Err() == nil; index++ {
		fault := faults[order[index%len(order)]]
		fmt.Fprintf(run.config.Output, "  %s: %s\n", time.Now().Format("15:04:05.0"), fault.name)
		fault.do(ctx)
		pause.For(ctx, faultInterval)
	}
}

func (run *run) recordViolation(format string, values ...any) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.violations = append(run.violations, fmt.Sprintf(format, values...))
}

// collectExecutions saves the log of an engine, which is lost when its process ends.
func (run *run) collectExecutions(engine *cluster.Backend) {
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

func (run *run) collectAllExecutions() {
	for _, engine := range run.cluster.Engines {
		run.collectExecutions(engine)
	}
}

func (run *run) plainExecutions() []plainstub.Execution {
	all := []plainstub.Execution{}
	for _, server := range run.cluster.Servers {
		log, err := cluster.Fetch[[]plainstub.Execution](run.cluster, server.Address, "/control/log")
		if err != nil {
			run.recordViolation("cannot read the log of a server: %v", err)
		}
		all = append(all, log...)
	}
	return all
}
