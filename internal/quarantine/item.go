package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what an item tells.
type Kind uint8

const (
	// Ended says that a server ended while it ran the request.
	Ended Kind = iota + 1
	// Served says that the request had a whole answer.
	Served
	// Held says that the shared store holds the request off.
	Held
)

// Item is a fact as nodes tell it to each other.
type Item struct {
	Kind        Kind
	Fingerprint Fingerprint
	// Server is the key of the incarnation that ended; 0 for other kinds.
	Server uint64
	// Age is how long ago the fact was found out.
	Age time.Duration
}

// mostTold bounds the items that are told at once, some 20 KB; the rest follows.
const mostTold = 1024

// Place returns up to where the ledger's facts reach.
func (l *Ledger) Place() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.place
}

// Scope is which facts a node tells.
type Scope int

const (
	// All are those that it found out and those that it was told.
	All Scope = iota
	// Own are those that it found out. Who only asks has heard all others from the node that
	// it asks.
	Own
)

// Since returns the facts after a place but for those that a teller has told, in their order
// and mostTold at most, and from which place to read on. A teller is one life of a process:
// the next one knows nothing of what the one before has told.
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

// Take takes what another node told. What is older than a fact may count is left out.
func (l *Ledger) Take(items []Item, teller string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, item := range items {
		if item.Age >= 0 && item.Age < item.Kind.life() {
			l.take(item, now.Add(-item.Age), teller, now)
		}
	}
}

// life is how long a fact of the kind counts.
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
