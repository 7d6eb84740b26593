// Package workshare merges what the nodes of a fleet tell each other of their
// work at servers, so that each knows the whole load and which servers fail.
//
// A few nodes, the relays, are asked by all others. Whoever asks a relay tells
// it of its own work and hears of everybody else's; relays ask each other for
// the work of their groups, which are the nodes that ask them.
package workshare

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
)

const (
	// reportLife is how long a node's word counts if it is not renewed.
	reportLife = time.Second
	// mostTold bounds the servers in one answer. Those with the most work go first.
	mostTold = 256
)

// Board holds what nodes told of their work. It is safe for concurrent use.
type Board struct {
	own func() []backend.Work

	mutex     sync.Mutex
	followers map[string]report
	groups    map[string]report
}

type report struct {
	work []backend.Work
	at   time.Time
}

// New returns an empty board of a node whose own work the function returns.
func New(own func() []backend.Work) *Board {
	return &Board{own: own, followers: map[string]report{}, groups: map[string]report{}}
}

// TakeFollower takes the work of a node that asked this one.
func (b *Board) TakeFollower(node string, work []backend.Work, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.followers[node] = report{work: work, at: now}
}

// TakeGroup takes the work of another relay's group.
func (b *Board) TakeGroup(relay string, work []backend.Work, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.groups[relay] = report{work: work, at: now}
}

// Group returns the work of this node and of those that ask it.
func (b *Board) Group(now time.Time) []backend.Work {
	sum := totals{}
	sum.add(b.own())
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sum.addReports(b.followers, "", now)
	return sum.list()
}

// Others returns the work of all nodes but one, which is a follower or, if the
// name is "", this node itself.
func (b *Board) Others(node string, now time.Time) []backend.Work {
	sum := totals{}
	if node != "" {
		sum.add(b.own())
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sum.addReports(b.followers, node, now)
	sum.addReports(b.groups, "", now)
	return sum.list()
}

// totals holds the sum for each server.
type totals map[uint64]backend.Work

func (t totals) add(work []backend.Work) {
	for _, w := range work {
		sum := t[w.Server]
		sum.Server = w.Server
		sum.Running += w.Running
		sum.QueuedTokens += w.QueuedTokens
		sum.Suspects += w.Suspects
		t[w.Server] = sum
	}
}

// addReports adds all reports but one, and forgets those that are too old.
func (t totals) addReports(reports map[string]report, except string, now time.Time) {
	for node, r := range reports {
		switch {
		case now.Sub(r.at) > reportLife:
			delete(reports, node)
		case node != except:
			t.add(r.work)
		}
	}
}

// list returns the sums, those that matter most first, as many as are told.
func (t totals) list() []backend.Work {
	all := make([]backend.Work, 0, len(t))
	for _, w := range t {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b backend.Work) int {
		return cmp.Or(-cmp.Compare(a.Suspects, b.Suspects), -cmp.Compare(a.QueuedTokens, b.QueuedTokens),
			-cmp.Compare(a.Running, b.Running), cmp.Compare(a.Server, b.Server))
	})
	return all[:min(len(all), mostTold)]
}
