package faults

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/lab/load"
	"github.com/cloverrail/cloverrail/internal/pause"
)

// Verdict is the result of checking one guarantee.
type Verdict struct {
	Guarantee string
	// Checked is the number of items that were checked.
	Checked    int
	Violations []string
}

func (verdict *Verdict) addViolation(format string, values ...any) {
	verdict.Violations = append(verdict.Violations, fmt.Sprintf(format, values...))
}

func isConflict(err error) bool { return strings.Contains(err.Error(), string(failure.KindConflict)) }

func (run *run) checkAll() []Verdict {
	return []Verdict{
		run.checkResponses(),
		run.checkAtMostOnce(),
		run.checkNotRun(),
		run.checkRejections(),
		run.checkCacheIsolation(),
		run.checkDrainedEngines(),
		run.checkRevisions(),
		run.checkRestarts(),
		{Guarantee: "the run completed without errors", Checked: 1, Violations: run.violations},
	}
}

// wasDisrupted reports whether the node was killed or frozen during the request.
func (run *run) wasDisrupted(record load.Record) bool {
	for _, interval := range run.disruptions {
		if interval.node == record.Node && record.Started.Before(interval.until) && record.Ended.After(interval.from) {
			return true
		}
	}
	return false
}

func (run *run) checkResponses() Verdict {
	verdict := Verdict{Guarantee: "every response is complete, in order and belongs to its request"}
	for _, record := range run.generator.History {
		verdict.Checked++
		switch {
		case record.ConnectionBroken && !run.wasDisrupted(record):
			verdict.addViolation("%s on node %d: connection broke at %s", record.ID, record.Node, record.Ended.Format("15:04:05.000"))
		case !record.ConnectionBroken && record.Status == 200 && (!record.Complete || !record.Correct):
			verdict.addViolation("%s on node %d: complete %v, correct %v", record.ID, record.Node, record.Complete, record.Correct)
		}
	}
	return verdict
}

func (run *run) checkAtMostOnce() Verdict {
	verdict := Verdict{Guarantee: "non-idempotent requests run at most once"}
	runs := map[string]int{}
	for _, execution := range run.plainExecutions() {
		runs[strings.TrimPrefix(execution.Body, "turn ")]++
	}
	succeeded := map[string]bool{}
	rejected := map[string]bool{}
	for _, record := range run.generator.History {
		if record.Kind != load.AtMostOnce {
			continue
		}
		succeeded[record.ID] = succeeded[record.ID] || record.Status == 200
		onlyNotRun, seen := rejected[record.ID]
		rejected[record.ID] = (onlyNotRun || !seen) && record.Outcome == string(failure.NotRun)
	}
	for id, count := range runs {
		if count > 1 {
			verdict.addViolation("%s ran %d times", id, count)
		}
	}
	for id, hasSucceeded := range succeeded {
		verdict.Checked++
		if hasSucceeded && runs[id] != 1 {
			verdict.addViolation("%s succeeded but ran %d times", id, runs[id])
		}
		if rejected[id] && runs[id] > 0 {
			verdict.addViolation("%s was rejected as not run but ran", id)
		}
	}
	return verdict
}

func (run *run) checkNotRun() Verdict {
	verdict := Verdict{Guarantee: "a request rejected as not-run did not run"}
	started := map[string]bool{}
	for _, execution := range run.executions {
		started[execution.User] = true
	}
	for _, record := range run.generator.History {
		if record.Kind == load.AtMostOnce || record.Outcome != string(failure.NotRun) {
			continue
		}
		verdict.Checked++
		if started[record.ID] {
			verdict.addViolation("%s on node %d: %s", record.ID, record.Node, record.Code)
		}
	}
	return verdict
}

func (run *run) checkRejections() Verdict {
	verdict := Verdict{Guarantee: "a rejection has an outcome and a retry time"}
	for _, record := range run.generator.History {
		if record.Status < 429 || record.ConnectionBroken {
			continue
		}
		verdict.Checked++
		inStream := record.Kind == load.Streaming && record.FirstToken > 0
		if record.Outcome == "" || (record.RetryAfter == "" && !inStream) {
			verdict.addViolation("%s: status %d, outcome %q, Retry-After %q", record.ID, record.Status, record.Outcome, record.RetryAfter)
		}
	}
	return verdict
}

func (run *run) checkCacheIsolation() Verdict {
	verdict := Verdict{Guarantee: "cache entries never cross tenants or versions"}
	tenants := map[string]string{}
	for _, record := range run.generator.History {
		tenants[record.ID] = record.Tenant
	}
	owners := map[string]string{}
	for _, execution := range run.executions {
		tenant, known := tenants[execution.User]
		if !known {
			continue
		}
		verdict.Checked++
		owner := tenant + " " + execution.Model + " " + execution.Version
		if first, seen := owners[execution.Salt]; seen && first != owner {
			verdict.addViolation("the same cache salt is used by %s and %s", first, owner)
		}
		owners[execution.Salt] = owner
	}
	return verdict
}

func (run *run) checkDrainedEngines() Verdict {
	verdict := Verdict{Guarantee: "a drained engine receives no new requests after 2 s"}
	for _, drain := range run.drains {
		verdict.Checked++
		for _, execution := range run.executions {
			onEngine := strings.HasSuffix(execution.Attempt, "@"+drain.engine)
			if onEngine && execution.At.After(drain.from) && execution.At.Before(drain.until) {
				verdict.addViolation("%s received %s at %s", drain.engine, execution.User, execution.At.Format("15:04:05.000"))
			}
		}
	}
	return verdict
}

func (run *run) checkRevisions() Verdict {
	verdict := Verdict{Guarantee: "accepted changes reach all nodes within 3 s, and revisions never decrease"}
	accepted := map[string]bool{}
	for _, change := range run.changes {
		verdict.Checked++
		accepted[change.id] = true
		if change.propagatedAt.IsZero() {
			verdict.addViolation("revision %d did not reach every node", change.revision)
		} else if delay := change.propagatedAt.Sub(change.acceptedAt); delay > propagationLimit {
			verdict.addViolation("revision %d took %s", change.revision, delay)
		}
	}
	for _, id := range run.rejectedChanges {
		if accepted[id] {
			verdict.addViolation("change %s was both accepted and rejected", id)
		}
	}
	return verdict
}

func (run *run) checkRestarts() Verdict {
	verdict := Verdict{Guarantee: "a restarted node serves within 1 s", Checked: len(run.restarts)}
	sort.Slice(run.restarts, func(i, j int) bool { return run.restarts[i].elapsed < run.restarts[j].elapsed })
	if count := len(run.restarts); count > 0 {
		fmt.Fprintf(run.config.Output, "process start to first token: median %s, slowest %s of %d\n",
			run.restarts[count/2].elapsed.Round(time.Millisecond), run.restarts[count-1].elapsed.Round(time.Millisecond), count)
	}
	for _, restart := range run.restarts {
		if restart.elapsed > time.Second {
			verdict.addViolation("first token after %s: %v", restart.elapsed, restart.attempts[max(0, len(restart.attempts)-5):])
		}
	}
	return verdict
}

// watchRevisions polls every node, checks that the revision of a process never decreases,
// and records when accepted changes have reached all nodes that are not disrupted.
func (run *run) watchRevisions(ctx context.Context) {
	highest := make([]int64, len(run.cluster.Nodes))
	processes := make([]any, len(run.cluster.Nodes))
	for ctx.Err() == nil {
		for node := range run.cluster.Nodes {
			process := run.cluster.Nodes[node].Process
			if run.isDisrupted(node) {
				processes[node] = nil
				continue
			}
			status, err := run.cluster.Status(node)
			if err != nil || process != run.cluster.Nodes[node].Process {
				continue
			}
			if processes[node] == any(process) && status.Revision < highest[node] {
				run.recordViolation("node %d: revision decreased from %d to %d", node, highest[node], status.Revision)
			}
			processes[node], highest[node] = process, status.Revision
		}
		run.recordPropagation(highest)
		pause.For(ctx, pollInterval)
	}
}

func (run *run) isDisrupted(node int) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	for _, interval := range run.disruptions {
		if interval.node == node && time.Now().Before(interval.until) {
			return true
		}
	}
	return false
}

func (run *run) recordPropagation(highest []int64) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	for index := range run.changes {
		change := &run.changes[index]
		propagated := change.propagatedAt.IsZero()
		for node, revision := range highest {
			expected := true
			for _, interval := range run.disruptions {
				expected = expected && (interval.node != node || !time.Now().Before(interval.until))
			}
			propagated = propagated && (!expected || revision >= change.revision)
		}
		if propagated {
			change.propagatedAt = time.Now()
		}
	}
}
