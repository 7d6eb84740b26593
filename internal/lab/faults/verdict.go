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

func (verdict *Verdict) violate(format string, values ...any) {
	verdict.Violations = append(verdict.Violations, fmt.Sprintf(format, values...))
}

func isConflict(err error) bool { return strings.Contains(err.Error(), string(failure.KindConflict)) }

func (run *run) verdicts() []Verdict {
	return []Verdict{
		run.answersWhole(),
		run.atMostOnce(),
		run.notRunIsTrue(),
		run.refusalsSayWhen(),
		run.tenantsApart(),
		run.leavingGetsNothing(),
		run.revisions(),
		run.restartsServe(),
		{Guarantee: "the run completed without errors", Checked: 1, Violations: run.violations},
	}
}

// wasDisrupted reports whether the node was killed or frozen during the request.
func (run *run) harmed(record load.Record) bool {
	for _, harm := range run.harms {
		if harm.node == record.Node && record.Started.Before(harm.until) && record.Ended.After(harm.from) {
			return true
		}
	}
	return false
}

func (run *run) answersWhole() Verdict {
	verdict := Verdict{Guarantee: "every response is complete, in order and belongs to its request"}
	for _, record := range run.generator.History {
		verdict.Checked++
		switch {
		case record.Broke && !run.harmed(record):
			verdict.violate("%s on node %d: connection broke at %s", record.ID, record.Node, record.Ended.Format("15:04:05.000"))
		case !record.Broke && record.Status == 200 && (!record.Complete || !record.Correct):
			verdict.violate("%s on node %d: complete %v, correct %v", record.ID, record.Node, record.Complete, record.Correct)
		}
	}
	return verdict
}

func (run *run) atMostOnce() Verdict {
	verdict := Verdict{Guarantee: "non-idempotent requests run at most once"}
	runs := map[string]int{}
	for _, execution := range run.plainExecutions() {
		runs[strings.TrimPrefix(execution.Body, "turn ")]++
	}
	answered := map[string]bool{}
	refused := map[string]bool{}
	for _, record := range run.generator.History {
		if record.Kind != load.Once {
			continue
		}
		answered[record.ID] = answered[record.ID] || record.Status == 200
		onlyNotRun, seen := refused[record.ID]
		refused[record.ID] = (onlyNotRun || !seen) && record.Outcome == string(failure.NotRun)
	}
	for id, count := range runs {
		if count > 1 {
			verdict.violate("%s ran %d times", id, count)
		}
	}
	for id, wasAnswered := range answered {
		verdict.Checked++
		if wasAnswered && runs[id] != 1 {
			verdict.violate("%s succeeded but ran %d times", id, runs[id])
		}
		if refused[id] && runs[id] > 0 {
			verdict.violate("%s was rejected as not run but ran", id)
		}
	}
	return verdict
}

func (run *run) notRunIsTrue() Verdict {
	verdict := Verdict{Guarantee: "a request rejected as not-run did not run"}
	started := map[string]bool{}
	for _, execution := range run.executions {
		started[execution.User] = true
	}
	for _, record := range run.generator.History {
		if record.Kind == load.Once || record.Outcome != string(failure.NotRun) {
			continue
		}
		verdict.Checked++
		if started[record.ID] {
			verdict.violate("%s on node %d: %s", record.ID, record.Node, record.Code)
		}
	}
	return verdict
}

func (run *run) refusalsSayWhen() Verdict {
	verdict := Verdict{Guarantee: "a rejection has an outcome and a retry time"}
	for _, record := range run.generator.History {
		if record.Status < 429 || record.Broke {
			continue
		}
		verdict.Checked++
		inStream := record.Kind == load.Streamed && record.FirstToken > 0
		if record.Outcome == "" || (record.RetryAfter == "" && !inStream) {
			verdict.violate("%s: status %d, outcome %q, Retry-After %q", record.ID, record.Status, record.Outcome, record.RetryAfter)
		}
	}
	return verdict
}

func (run *run) tenantsApart() Verdict {
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
			verdict.violate("the same cache salt is used by %s and %s", first, owner)
		}
		owners[execution.Salt] = owner
	}
	return verdict
}

func (run *run) leavingGetsNothing() Verdict {
	verdict := Verdict{Guarantee: "a drained engine receives no new requests after 2 s"}
	for _, departure := range run.departures {
		verdict.Checked++
		for _, execution := range run.executions {
			onEngine := strings.HasSuffix(execution.Attempt, "@"+departure.engine)
			if onEngine && execution.At.After(departure.from) && execution.At.Before(departure.until) {
				verdict.violate("%s received %s at %s", departure.engine, execution.User, execution.At.Format("15:04:05.000"))
			}
		}
	}
	return verdict
}

func (run *run) revisions() Verdict {
	verdict := Verdict{Guarantee: "accepted changes reach all nodes within 3 s, and revisions never decrease"}
	accepted := map[string]bool{}
	for _, change := range run.changes {
		verdict.Checked++
		accepted[change.id] = true
		if change.reached.IsZero() {
			verdict.violate("revision %d did not reach every node", change.revision)
		} else if late := change.reached.Sub(change.at); late > reachLimit {
			verdict.violate("revision %d took %s", change.revision, late)
		}
	}
	for _, id := range run.refused {
		if accepted[id] {
			verdict.violate("change %s was both accepted and rejected", id)
		}
	}
	return verdict
}

func (run *run) restartsServe() Verdict {
	verdict := Verdict{Guarantee: "a restarted node serves within 1 s", Checked: len(run.restarts)}
	sort.Slice(run.restarts, func(i, j int) bool { return run.restarts[i].elapsed < run.restarts[j].elapsed })
	if count := len(run.restarts); count > 0 {
		fmt.Fprintf(run.config.Output, "process start to first token: median %s, slowest %s of %d\n",
			run.restarts[count/2].elapsed.Round(time.Millisecond), run.restarts[count-1].elapsed.Round(time.Millisecond), count)
	}
	for _, restart := range run.restarts {
		if restart.elapsed > time.Second {
			verdict.violate("first token after %s: %v", restart.elapsed, restart.tries[max(0, len(restart.tries)-5):])
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
			if run.isHarmed(node) {
				processes[node] = nil
				continue
			}
			status, err := run.cluster.Status(node)
			if err != nil || process != run.cluster.Nodes[node].Process {
				continue
			}
			if processes[node] == any(process) && status.Revision < highest[node] {
				run.note("node %d: revision decreased from %d to %d", node, highest[node], status.Revision)
			}
			processes[node], highest[node] = process, status.Revision
		}
		run.noteReached(highest)
		pause.For(ctx, pollPause)
	}
}

func (run *run) isHarmed(node int) bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	for _, harm := range run.harms {
		if harm.node == node && time.Now().Before(harm.until) {
			return true
		}
	}
	return false
}

func (run *run) noteReached(highest []int64) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	for index := range run.changes {
		change := &run.changes[index]
		reached := change.reached.IsZero()
		for node, revision := range highest {
			expected := true
			for _, harm := range run.harms {
				expected = expected && (harm.node != node || !time.Now().Before(harm.until))
			}
			reached = reached && (!expected || revision >= change.revision)
		}
		if reached {
			change.reached = time.Now()
		}
	}
}
