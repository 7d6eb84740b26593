package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Kind is the kind of an observation.
type Kind uint8

const (
	// KindCrashed is a server crash while the server ran the request, or one with the part.
	KindCrashed Kind = iota + 1
	// KindServed is a complete response to the request, or to one with the part.
	KindServed
	// KindQuarantined is a quarantine entry for the suspect in the shared store.
	KindQuarantined
)

// Item is an observation in the form in which nodes exchange it.
type Item struct {
	Kind        Kind
	Fingerprint Fingerprint
	// Server is the key of the incarnation that crashed; 0 for other kinds.
	Server uint64
	// Age is the time since the observation.
	Age time.Duration
	// Part is set if the suspect is a part of prompts. Request is then a request with the part that ran on the
	// crashed server. Builds that know only requests drop both when they relay an observation.
	Part    bool
	Request Fingerprint
	// RunTime is the time from sending the latest request with the part to the server until the crash; 0 if unknown.
	RunTime time.Duration
}

// maxItemsPerBatch bounds the items returned at once, some 20 KB; the rest follows in further
// batches.
const maxItemsPerBatch = 1024

// Position returns the position of the latest observation.
func (l *Ledger) Position() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.place
}

// Scope selects which observations Since returns.
type Scope int

const (
	// All selects observations made by this node and those received from other nodes.
	All Scope = iota
	// Own selects observations made by this node. It suffices for reports to the node that this one
	// polls, which is where all others came from.
	Own
)

// Since returns the observations after a position, in order and at most maxItemsPerBatch, and
// the position from which to continue. It omits those received from the peer named exclude. A
// peer is one process lifetime: a restarted process does not know what it sent before.
func (l *Ledger) Since(after int64, exclude string, scope Scope, now time.Time) (items []Item, next int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if after >= l.place {
		return nil, l.place
	}
	type placed struct {
		Item
		place int64
	}
	var all []placed
	for f, h := range l.histories {
		add := func(kind Kind, f Fingerprint, server uint64, obs observation) {
			skip := obs.peer != "" && (scope == Own || obs.peer == exclude)
			if obs.place > after && !skip {
				item := Item{Kind: kind, Fingerprint: f, Server: server, Age: max(0, now.Sub(obs.at)), Part: h.part, Request: obs.request, RunTime: obs.runTime}
				all = append(all, placed{Item: item, place: obs.place})
			}
		}
		for server, crash := range h.crashes {
			add(KindCrashed, f, server, crash)
		}
		add(KindServed, f, 0, h.served)
		add(KindQuarantined, f, 0, h.quarantined)
	}
	next = l.place
	slices.SortFunc(all, func(a, b placed) int { return cmp.Compare(a.place, b.place) })
	if len(all) > maxItemsPerBatch {
		all = all[:maxItemsPerBatch]
		next = all[maxItemsPerBatch-1].place
	}
	for _, entry := range all {
		items = append(items, entry.Item)
	}
	return items, next
}

// Apply records observations received from a peer, and ignores those that have expired.
func (l *Ledger) Apply(items []Item, peer string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, item := range items {
		if item.Age >= 0 && item.Age < item.Kind.ttl() {
			l.record(item, now.Add(-item.Age), peer, now)
		}
	}
}

// ttl returns how long an observation of the kind remains relevant.
func (k Kind) ttl() time.Duration {
	switch k {
	case KindCrashed:
		return crashTTL
	case KindServed:
		return 2 * servedTTL
	case KindQuarantined:
		return QuarantineDuration
	default:
		return 0
	}
}
