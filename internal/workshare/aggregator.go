// Package workshare aggregates the reports of a fleet's nodes on their work at servers and their
// usage of tenants' limits, so that each node knows the total load, which servers fail, and what
// is left of each limit.
//
// A few nodes, the relays, are polled by all others. A follower sends a relay its own report
// and receives the total of all other nodes. Relays poll each other for the reports of their
// groups, which consist of the relay and its followers.
package workshare

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/quota"
)

const (
	// reportTTL is how long a report counts unless it is replaced.
	reportTTL = time.Second
	// maxReportedServers bounds the servers in a report. Suspected servers (see backend.Work)
	// come first, then those with the most work.
	maxReportedServers = 256
)

// Report is the work in progress and the quota usage of one or more nodes.
type Report struct {
	Work  []backend.Work
	Quota quota.Report
}

// Aggregator holds the reports of other nodes. It is safe for concurrent use.
type Aggregator struct {
	own func() Report

	mutex     sync.Mutex
	followers map[string]timedReport
	groups    map[string]timedReport
}

// timedReport is a report with the time of its arrival.
type timedReport struct {
	Report
	at time.Time
}

// New returns an empty aggregator. The function returns this node's own report.
func New(own func() Report) *Aggregator {
	return &Aggregator{own: own, followers: map[string]timedReport{}, groups: map[string]timedReport{}}
}

// Own returns this node's own report.
func (a *Aggregator) Own() Report { return a.own() }

// SetFollower sets the report of a follower.
func (a *Aggregator) SetFollower(node string, report Report, now time.Time) {
	report.Work = singleVotes(report.Work)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.followers[node] = timedReport{Report: report, at: now}
}

// singleVotes returns the work of one node without votes that no single node casts.
func singleVotes(work []backend.Work) []backend.Work {
	work = slices.Clone(work)
	for i := range work {
		work[i].Prefill = work[i].Prefill.Single()
	}
	return work
}

// SetGroup sets the report of another relay's group.
func (a *Aggregator) SetGroup(relay string, report Report, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.groups[relay] = timedReport{Report: report, at: now}
}

// Group returns the sum of this node's report and those of its followers.
func (a *Aggregator) Group(now time.Time) Report {
	sum := newTotals()
	sum.add(a.own())
	a.mutex.Lock()
	defer a.mutex.Unlock()
	sum.addReports(a.followers, "", now)
	return sum.report()
}

// Others returns the sum of the reports of all nodes except one, which is a follower, or this
// node itself if the name is "".
func (a *Aggregator) Others(except string, now time.Time) Report {
	sum := newTotals()
	if except != "" {
		sum.add(a.own())
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	sum.addReports(a.followers, except, now)
	sum.addReports(a.groups, "", now)
	return sum.report()
}

// totals holds the sums per server and per tenant.
type totals struct {
	nodes  int
	work   map[uint64]backend.Work
	usages map[uint64]quota.Usage
	rows   map[uint64]quota.Usage
}

func newTotals() *totals {
	return &totals{work: map[uint64]backend.Work{}, usages: map[uint64]quota.Usage{}, rows: map[uint64]quota.Usage{}}
}

func (t *totals) add(report Report) { t.addAged(report, 0) }

// addAged adds a report that arrived a given time ago.
func (t *totals) addAged(report Report, age time.Duration) {
	t.nodes += report.Quota.Nodes
	for _, w := range report.Work {
		t.work[w.Server] = t.work[w.Server].PlusAged(w, age)
	}
	for _, usage := range report.Quota.Usages {
		t.usages[usage.Key] = t.usages[usage.Key].Plus(usage)
	}
	for _, row := range report.Quota.Rows {
		t.rows[row.Key] = t.rows[row.Key].Plus(row)
	}
}

// addReports adds all reports except one, and removes the expired ones.
func (t *totals) addReports(reports map[string]timedReport, except string, now time.Time) {
	for node, r := range reports {
		switch {
		case now.Sub(r.at) > reportTTL:
			delete(reports, node)
		case node != except:
			t.addAged(r.Report, now.Sub(r.at))
		}
	}
}

// report returns the sums in order of importance, cut off at the maximum numbers of servers,
// tenants and rows of a report.
func (t *totals) report() Report {
	work := slices.SortedFunc(maps.Values(t.work), func(a, b backend.Work) int {
		return cmp.Or(-cmp.Compare(a.Suspects, b.Suspects), -cmp.Compare(a.QueuedTokens, b.QueuedTokens),
			-cmp.Compare(a.Running, b.Running), cmp.Compare(a.Server, b.Server))
	})
	usages, rows := slices.Collect(maps.Values(t.usages)), slices.Collect(maps.Values(t.rows))
	return Report{
		Work:  work[:min(len(work), maxReportedServers)],
		Quota: quota.Report{Nodes: t.nodes, Usages: quota.TopUsages(usages), Rows: quota.TruncateRows(rows)},
	}
}
