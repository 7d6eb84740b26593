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
	reportLife = time.Second
	// maxReportedServers bounds the servers in a report. Suspected servers come first, then
	// those with the most work.
	mostTold = 256
)

// Report is the work in progress and the quota usage of one or more nodes.
type Report struct {
	Work  []backend.Work
	Quota quota.Report
}

// Aggregator holds the reports of other nodes. It is safe for concurrent use.
type Board struct {
	own func() Report

	mutex     sync.Mutex
	followers map[string]told
	groups    map[string]told
}

// timedReport is a report with the time of its arrival.
type told struct {
	Report
	at time.Time
}

// New returns an empty aggregator. The function returns this node's own report.
func New(own func() Report) *Board {
	return &Board{own: own, followers: map[string]told{}, groups: map[string]told{}}
}

// Own returns this node's own report.
func (b *Board) Own() Report { return b.own() }

// SetFollower sets the report of a follower.
func (b *Board) TakeFollower(node string, report Report, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.followers[node] = told{Report: report, at: now}
}

// SetGroup sets the report of another relay's group.
func (b *Board) TakeGroup(relay string, report Report, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.groups[relay] = told{Report: report, at: now}
}

// Group returns the sum of this node's report and those of its followers.
func (b *Board) Group(now time.Time) Report {
	sum := newTotals()
	sum.add(b.own())
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sum.addTold(b.followers, "", now)
	return sum.report()
}

// Others returns the sum of the reports of all nodes except one: a follower, or this node itself
// if the name is "".
func (b *Board) Others(node string, now time.Time) Report {
	sum := newTotals()
	if node != "" {
		sum.add(b.own())
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sum.addTold(b.followers, node, now)
	sum.addTold(b.groups, "", now)
	return sum.report()
}

// totals holds the sums per server and per tenant.
type totals struct {
	nodes int
	work  map[uint64]backend.Work
	uses  map[uint64]quota.Use
	rows  map[uint64]quota.Use
}

func newTotals() *totals {
	return &totals{work: map[uint64]backend.Work{}, uses: map[uint64]quota.Use{}, rows: map[uint64]quota.Use{}}
}

func (t *totals) add(report Report) {
	t.nodes += report.Quota.Nodes
	for _, w := range report.Work {
		sum := t.work[w.Server]
		sum.Server = w.Server
		sum.Running += w.Running
		sum.QueuedTokens += w.QueuedTokens
		sum.Suspects += w.Suspects
		t.work[w.Server] = sum
	}
	for _, use := range report.Quota.Uses {
		t.uses[use.Tenant] = t.uses[use.Tenant].With(use)
	}
	for _, row := range report.Quota.Rows {
		t.rows[row.Tenant] = t.rows[row.Tenant].With(row)
	}
}

// addReports adds all reports except one, and removes the expired ones.
func (t *totals) addTold(reports map[string]told, except string, now time.Time) {
	for node, r := range reports {
		switch {
		case now.Sub(r.at) > reportLife:
			delete(reports, node)
		case node != except:
			t.add(r.Report)
		}
	}
}

// report returns the most important sums, in order of importance and up to the limits.
func (t *totals) report() Report {
	work := slices.SortedFunc(maps.Values(t.work), func(a, b backend.Work) int {
		return cmp.Or(-cmp.Compare(a.Suspects, b.Suspects), -cmp.Compare(a.QueuedTokens, b.QueuedTokens),
			-cmp.Compare(a.Running, b.Running), cmp.Compare(a.Server, b.Server))
	})
	uses, rows := slices.Collect(maps.Values(t.uses)), slices.Collect(maps.Values(t.rows))
	return Report{
		Work:  work[:min(len(work), mostTold)],
		Quota: quota.Report{Nodes: t.nodes, Uses: quota.Largest(uses), Rows: quota.FirstRows(rows)},
	}
}
