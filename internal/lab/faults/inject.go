package faults

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/lab/cluster"
	"github.com/cloverrail/cloverrail/internal/lab/kvstub"
	"github.com/cloverrail/cloverrail/internal/operator"
	"github.com/cloverrail/cloverrail/internal/pause"
)

// beginDisruption records that a node is disrupted from now on; the returned function ends
// the disruption.
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

// restartNode restarts a node and measures the time to its first token.
func (run *run) restartNode(node int) {
	begin := time.Now()
	tries := []string{}
	if err := run.cluster.StartNode(node); err != nil {
		run.note("cannot restart a node: %v", err)
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
	run.note("a restarted node served no request within %s", settleTime)
}

func (run *run) killNode(ctx context.Context) {
	node := run.anyNode()
	over := run.harmNode(node)
	run.cluster.Nodes[node].Process.Kill()
	pause.For(ctx, restartPause)
	run.restartNode(node)
	over()
}

func (run *run) stopNode(context.Context) {
	node := run.anyNode()
	process := run.cluster.Nodes[node].Process
	process.Signal(syscall.SIGTERM)
	if !process.Wait(20 * time.Second) {
		run.note("a graceful shutdown did not finish in time")
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
	pause.For(ctx, restartPause)
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
	pause.For(ctx, restartPause)
	if err := run.cluster.StartEngine(engine); err != nil {
		run.note("cannot restart an engine: %v", err)
	}
}

func (run *run) freezeEngine(context.Context) {
	engine := run.anyEngine()
	engine.Process.Signal(syscall.SIGSTOP)
	time.Sleep(engineFreeze)
	engine.Process.Signal(syscall.SIGCONT)
}

// drainEngine drains an engine by an operator statement. The engine itself does not reject
// requests, so its log shows every dispatch that ignores the drain.
func (run *run) leaveEngine(ctx context.Context) {
	engine := run.anyEngine()
	if !run.command(ctx, "drain engine "+engine.Name) {
		return
	}
	run.mutex.Lock()
	run.departures = append(run.departures, departure{engine: engine.Name, from: time.Now().Add(leaveGrace), until: time.Now().Add(forever)})
	index := len(run.departures) - 1
	run.mutex.Unlock()
	pause.For(ctx, leaveGrace+2*time.Second)
	run.mutex.Lock()
	run.departures[index].until = time.Now()
	run.mutex.Unlock()
	run.command(ctx, "readmit engine "+engine.Name)
}

// execute runs an operator statement through a random node, with retries, and reports
// whether the change was accepted.
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
	pause.For(ctx, outageLength)
	run.setOutage(false, kvstub.Faults{})
}

func (run *run) keyValueLoses(ctx context.Context) {
	run.setOutage(true, kvstub.Faults{LoseAnswers: 0.5, Delay: 20 * time.Millisecond})
	run.race(ctx)
	run.setOutage(false, kvstub.Faults{})
}

// raceOperators lets two operators change the same setting concurrently through nodes
// chosen at random.
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
