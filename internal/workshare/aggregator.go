// Package workshare merges what the nodes of a fleet tell each other of their
// work at servers and of their use of tenants' limits, so that each knows the whole
// load, which servers fail, and what is left of a limit.
//
// A few nodes, the relays, are asked by all others. Whoever asks a relay tells
// it of its own work and hears of everybody else's; relays ask each other for
// the work of their groups, which are the nodes that ask them.
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
	// reportLife is how long a node's word counts if it is not renewed.
	reportLife = time.Second
	// mostTold bounds the servers in one answer. Those with the most work go first.
	mostTold = 256
)

// Report is what a number of nodes have under way and use.
type Report struct {
	Work  []backend.Work
	Quota quota.Report
}

// Board holds what nodes told of themselves. It is safe for concurrent use.
type Board struct {
	own func() Report

	mutex     sync.Mutex
	followers map[string]told
	groups    map[string]told
}

// told is a report as it was heard at a time.
type told struct {
	Report
	at time.Time
}

// New returns an empty board of a node whose own report the function returns.
func New(own func() Report) *Board {
	return &Board{own: own, followers: map[string]told{}, groups: map[string]told{}}
}

// Own returns this node's own report.
func (b *Board) Own() Report { return b.own() }

// TakeFollower takes the report of a node that asked this one.
func (b *Board) TakeFollower(node string, report Report, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.followers[node] = told{Report: report, at: now}
}

// TakeGroup takes the report of another relay's group.
func (b *Board) TakeGroup(relay string, report Report, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.groups[relay] = told{Report: report, at: now}
}

// Group returns the sum of this node's report and of those of the nodes that ask it.
func (b *Board) Group(now time.Time) Report {
	sum := newTotals()
	sum.add(b.own())
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sum.addTold(b.followers, "", now)
	return sum.report()
}

// Others returns the sum of the reports of all nodes but one, which is a follower or, if
// the name is "", this node itself.
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

// totals holds the sums for each server and each tenant.
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

// addTold adds all reports but one, and forgets those that are too old.
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

// report returns the sums, those that matter most first, as many as are told.
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
