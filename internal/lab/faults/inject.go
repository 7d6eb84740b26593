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
func (run *run) beginDisruption(node int) func() {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.disruptions = append(run.disruptions, disruption{node: node, from: time.Now(), until: time.Now().Add(forever)})
	index := len(run.disruptions) - 1
	return func() {
		run.mutex.Lock()
		defer run.mutex.Unlock()
		run.disruptions[index].until = time.Now()
	}
}

func (run *run) randomNode() int { return run.random.IntN(len(run.cluster.Nodes)) }

func (run *run) randomEngine() *cluster.Backend {
	return run.cluster.Engines[run.random.IntN(len(run.cluster.Engines))]
}

// restartNode restarts a node and measures the time to its first token.
func (run *run) restartNode(node int) {
	startedAt := time.Now()
	attempts := []string{}
	if err := run.cluster.StartNode(node); err != nil {
		run.recordViolation("cannot restart a node: %v", err)
		return
	}
	for time.Since(startedAt) < settleTime {
		record := run.generator.Probe(context.Background(), node)
		attempts = append(attempts, fmt.Sprint(record.Status, " ", record.Code, " ", record.Elapsed.Round(time.Millisecond)))
		if record.Status == 200 {
			run.mutex.Lock()
			run.restarts = append(run.restarts, restart{elapsed: record.Started.Add(record.FirstToken).Sub(startedAt), attempts: attempts})
			run.mutex.Unlock()
			return
		}
		time.Sleep(pollInterval / 5)
	}
	run.recordViolation("a restarted node served no request within %s", settleTime)
}

func (run *run) killNode(ctx context.Context) {
	node := run.randomNode()
	endDisruption := run.beginDisruption(node)
	run.cluster.Nodes[node].Process.Kill()
	pause.For(ctx, restartDelay)
	run.restartNode(node)
	endDisruption()
}

func (run *run) stopNode(context.Context) {
	node := run.randomNode()
	process := run.cluster.Nodes[node].Process
	process.Signal(syscall.SIGTERM)
	if !process.Wait(20 * time.Second) {
		run.recordViolation("a graceful shutdown did not finish in time")
		process.Kill()
	}
	endDisruption := run.beginDisruption(node)
	run.restartNode(node)
	endDisruption()
}

func (run *run) freezeNode(context.Context) {
	node := run.randomNode()
	endDisruption := run.beginDisruption(node)
	process := run.cluster.Nodes[node].Process
	process.Signal(syscall.SIGSTOP)
	time.Sleep(nodeFreezeDuration)
	process.Signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	endDisruption()
}

func (run *run) restartAllNodes(ctx context.Context) {
	endDisruptions := []func(){}
	for node := range run.cluster.Nodes {
		endDisruptions = append(endDisruptions, run.beginDisruption(node))
		run.cluster.Nodes[node].Process.Kill()
	}
	pause.For(ctx, restartDelay)
	var done sync.WaitGroup
	for node := range run.cluster.Nodes {
		done.Go(func() {
			run.restartNode(node)
			endDisruptions[node]()
		})
	}
	done.Wait()
}

func (run *run) crashEngine(context.Context) {
	_ = run.cluster.Control(run.randomEngine().Address, "control/crash", nil)
}

func (run *run) killEngine(ctx context.Context) {
	engine := run.randomEngine()
	run.collectExecutions(engine)
	engine.Process.Kill()
	pause.For(ctx, restartDelay)
	if err := run.cluster.StartEngine(engine); err != nil {
		run.recordViolation("cannot restart an engine: %v", err)
	}
}

func (run *run) freezeEngine(context.Context) {
	engine := run.randomEngine()
	engine.Process.Signal(syscall.SIGSTOP)
	time.Sleep(engineFreezeDuration)
	engine.Process.Signal(syscall.SIGCONT)
}

// drainEngine drains an engine by an operator statement. The engine itself does not reject
// requests, so its log shows every dispatch that ignores the drain.
func (run *run) drainEngine(ctx context.Context) {
	engine := run.randomEngine()
	if !run.execute(ctx, "drain engine "+engine.Name) {
		return
	}
	run.mutex.Lock()
	run.drains = append(run.drains, drainInterval{engine: engine.Name, from: time.Now().Add(drainGrace), until: time.Now().Add(forever)})
	index := len(run.drains) - 1
	run.mutex.Unlock()
	pause.For(ctx, drainGrace+2*time.Second)
	run.mutex.Lock()
	run.drains[index].until = time.Now()
	run.mutex.Unlock()
	run.execute(ctx, "readmit engine "+engine.Name)
}

// execute runs an operator statement through a random node, with retries, and reports
// whether the change was accepted.
func (run *run) execute(ctx context.Context, statement string) bool {
	for range len(run.cluster.Nodes) {
		table, err := cluster.Post[operator.Table](ctx, run.cluster, run.randomNode(), "query", operator.QueryRequest{Statement: statement})
		if err == nil && len(table.Rows) == 1 {
			var revision int64
			_, _ = fmt.Sscan(table.Rows[0][1], &revision)
			run.recordAccepted(change{id: table.Rows[0][2], revision: revision, acceptedAt: time.Now()})
			return true
		}
	}
	return false
}

func (run *run) recordAccepted(accepted change) {
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
	node := run.randomNode()
	endDisruption := run.beginDisruption(node)
	run.cluster.Nodes[node].Process.Kill()
	run.restartNode(node)
	endDisruption()
	pause.For(ctx, outageDuration)
	run.setOutage(false, kvstub.Faults{})
}

func (run *run) keyValueDropsResponses(ctx context.Context) {
	run.setOutage(true, kvstub.Faults{DropResponses: 0.5, Delay: 20 * time.Millisecond})
	run.raceOperators(ctx)
	run.setOutage(false, kvstub.Faults{})
}

// raceOperators lets two operators change the same setting concurrently through nodes
// chosen at random.
func (run *run) raceOperators(ctx context.Context) {
	tenant := run.config.Target.Tenants[0]
	var done sync.WaitGroup
	for operator := range 2 {
		priority := 1 + run.random.IntN(9)
		node := run.randomNode()
		done.Go(func() { run.applyPriority(ctx, node, tenant, priority, operator) })
	}
	done.Wait()
}

func (run *run) applyPriority(ctx context.Context, node int, tenant string, priority, operatorIndex int) {
	declaration := *run.cluster.Declaration
	declaration.Tenants = append([]configuration.Tenant(nil), declaration.Tenants...)
	for index := range declaration.Tenants {
		if declaration.Tenants[index].Name == tenant {
			declaration.Tenants[index].Priority = priority
		}
	}
	id := fmt.Sprintf("race-%d-%d", time.Now().UnixNano(), operatorIndex)
	answer, err := run.cluster.Apply(ctx, node, &declaration, id)
	switch {
	case err == nil:
		run.recordAccepted(change{id: id, revision: answer.Revision, acceptedAt: time.Now()})
	case isConflict(err):
		run.mutex.Lock()
		run.rejectedChanges = append(run.rejectedChanges, id)
		run.mutex.Unlock()
	}
}

func (run *run) dropResponse(context.Context) {
	server := run.cluster.Servers[run.random.IntN(len(run.cluster.Servers))]
	_ = run.cluster.Control(server.Address, "control/cut", nil)
}

func (run *run) clearFaults(context.Context) {
	run.setOutage(false, kvstub.Faults{})
}
