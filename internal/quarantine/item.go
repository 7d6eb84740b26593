package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Kind is the kind of an observation.
type Kind uint8

const (
	// KindCrashed is a server crash while the server ran the request.
	Ended Kind = iota + 1
	// KindServed is a complete response to the request.
	Served
	// KindQuarantined is a quarantine entry for the request in the shared store.
	Held
)

// Item is an observation in the form in which nodes exchange it.
type Item struct {
	Kind        Kind
	Fingerprint Fingerprint
	// Server is the key of the incarnation that crashed; 0 for other kinds.
	Server uint64
	// Age is the time since the observation.
	Age time.Duration
}

// maxItemsPerBatch bounds the items returned at once, some 20 KB; the rest follows in further
// batches.
const mostTold = 1024

// Position returns the position of the latest observation.
func (l *Ledger) Place() int64 {
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
func (l *Ledger) Since(place int64, except string, scope Scope, now time.Time) (items []Item, next int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if place >= l.place {
		return nil, l.place
	}
	type placed struct {
		Item
		place int64
	}
	var all []placed
	add := func(kind Kind, f Fingerprint, server uint64, found fact) {
		told := found.teller != "" && (scope == Own || found.teller == except)
		if found.place > place && !told {
			item := Item{Kind: kind, Fingerprint: f, Server: server, Age: max(0, now.Sub(found.at))}
			all = append(all, placed{Item: item, place: found.place})
		}
	}
	for f, h := range l.histories {
		for server, end := range h.ends {
			add(Ended, f, server, end)
		}
		add(Served, f, 0, h.served)
		add(Held, f, 0, h.held)
	}
	next = l.place
	slices.SortFunc(all, func(a, b placed) int { return cmp.Compare(a.place, b.place) })
	if len(all) > mostTold {
		all = all[:mostTold]
		next = all[mostTold-1].place
	}
	for _, one := range all {
		items = append(items, one.Item)
	}
	return items, next
}

// Apply records observations received from a peer, and ignores those that have expired.
func (l *Ledger) Take(items []Item, teller string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, item := range items {
		if item.Age >= 0 && item.Age < item.Kind.life() {
			l.take(item, now.Add(-item.Age), teller, now)
		}
	}
}

// ttl returns how long an observation of the kind remains relevant.
func (k Kind) life() time.Duration {
	switch k {
	case Ended:
		return endLife
	case Served:
		return 2 * servedLife
	case Held:
		return HoldLife
	default:
		return 0
	}
}
