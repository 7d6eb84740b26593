package reflector

import (
	"slices"
	"sort"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/coordination"
)

// logKept bounds the changes of the list of servers that a node remembers. Whoever lacks
// more than these is told the whole list. A fleet of 10,000 servers that replaces half of
// them makes as many.
const logKept = 16384

// listing is what one node has read or heard of the list of servers: all of it, or what has
// changed in it since a place.
type listing struct {
	// Whole says that Changed holds all servers.
	whole   bool
	changed []backend.Server
	gone    []string
	// at is up to where in the store this reaches, and readAt when that was certainly not in
	// the past.
	at     coordination.Position
	readAt time.Time
	// sum is that of the whole list there, or 0 if it is not known.
	sum uint64
}

// written is where a server of the listing was written. What was written before the store
// went back is new in the era in which it is read again.
func (l listing) written(server *backend.Server) coordination.Position {
	return coordination.Position{Era: l.at.Era, Revision: server.Revision}
}

// directory is the list of servers as one node knows it, and its last changes. Its place is
// a position in the shared store, which is the same at all nodes: who has heard one node up
// to a place goes on from there with any other. A store that has gone back is in another era:
// its list is read anew, and what differs from the one before are changes of the new era, so
// that others need not hear it whole. What they knew beside it the sum shows. It is not safe
// for concurrent use.
type directory struct {
	servers map[string]*backend.Server
	at      coordination.Position
	readAt  time.Time
	// sum tells the servers apart from other sets of them. If another node that knows the
	// same place has another sum, this one has missed something, and is to be told all.
	sum     uint64
	differs bool
	// log holds the last changes in the order of their places. Those up to forgotten are
	// not in it.
	log       []logged
	forgotten coordination.Position
}

// logged is one change: a server was written, or has vanished.
type logged struct {
	at       coordination.Position
	instance string
}

// emptySum is the sum of no servers: 0 says that a sum is not known.
const emptySum = 1

func newDirectory() *directory {
	return &directory{servers: map[string]*backend.Server{}, sum: emptySum}
}

// take takes a listing, and returns what it changes. A listing that is older than what is
// known changes nothing: servers that have left would be back in it.
func (d *directory) take(l listing) (changed []*backend.Server, gone []string) {
	if l.at.Before(d.at) {
		return nil, nil
	}
	left := l.gone
	if l.whole {
		left = d.missing(l.changed)
	}
	fresh := len(d.servers) == 0 && l.whole
	for i := range l.changed {
		server := &l.changed[i]
		known, found := d.servers[server.Instance]
		if found && known.Equal(*server) {
			// A server wrote the same again.
			continue
		}
		changed = append(changed, server)
		if found {
			d.sum -= sumOf(known)
		}
		d.servers[server.Instance] = server
		d.sum += sumOf(server)
		if !fresh {
			d.note(logged{at: l.written(server), instance: server.Instance})
		}
	}
	for _, instance := range left {
		if known, found := d.servers[instance]; found {
			d.sum -= sumOf(known)
			delete(d.servers, instance)
			gone = append(gone, instance)
		}
		// Who heard of it from others may not know yet that it has gone.
		d.note(logged{at: l.at, instance: instance})
	}
	d.differs = l.sum != 0 && l.sum != d.sum
	if fresh {
		d.forgotten = l.at
	}
	if l.at.Era != d.at.Era && !l.whole && !d.at.IsZero() {
		// What the store has lost is in none of its changes.
		d.differs = d.differs || l.sum == 0
	}
	d.at = l.at
	if l.readAt.After(d.readAt) {
		d.readAt = l.readAt
	}
	return changed, gone
}

// sumOf tells a server apart from others, and from itself before a change.
func sumOf(server *backend.Server) uint64 {
	sum := backend.ServerKey(server.Instance) + uint64(server.Created)
	if server.Draining {
		sum ^= 1 << 63
	}
	for _, version := range server.Versions {
		sum += uint64(version) << 32
	}
	return sum
}

// place is from where this node is to be told. It is zero for one that is to be told all.
func (d *directory) place() coordination.Position {
	if d.differs {
		return coordination.Position{}
	}
	return d.at
}

// missing returns the instances of the known servers that a whole list does not hold.
func (d *directory) missing(list []backend.Server) []string {
	present := make(map[string]bool, len(list))
	for _, server := range list {
		present[server.Instance] = true
	}
	var gone []string
	for instance := range d.servers {
		if !present[instance] {
			gone = append(gone, instance)
		}
	}
	return gone
}

// note remembers a change, and forgets the oldest ones.
func (d *directory) note(change logged) {
	at := sort.Search(len(d.log), func(i int) bool { return change.at.Before(d.log[i].at) })
	d.log = slices.Insert(d.log, at, change)
	if len(d.log) > logKept {
		dropped := len(d.log) - logKept/2
		d.forgotten = d.forgotten.Later(d.log[dropped-1].at)
		d.log = slices.Clone(d.log[dropped:])
	}
}

// since returns what has changed since a place, which is zero for who knows nothing. Who knows
// more than this node hears of no change, and keeps its place.
func (d *directory) since(place coordination.Position) listing {
	l := listing{at: d.at.Later(place), readAt: d.readAt}
	if d.at.Before(place) || d.at.IsZero() {
		return l
	}
	l.sum = d.sum
	if place.IsZero() || place.Before(d.forgotten) {
		l.whole, l.changed = true, make([]backend.Server, 0, len(d.servers))
		for _, server := range d.servers {
			l.changed = append(l.changed, *server)
		}
		return l
	}
	at := sort.Search(len(d.log), func(i int) bool { return place.Before(d.log[i].at) })
	told := map[string]bool{}
	for _, change := range d.log[at:] {
		if told[change.instance] {
			continue
		}
		told[change.instance] = true
		if server, found := d.servers[change.instance]; found {
			l.changed = append(l.changed, *server)
		} else {
			l.gone = append(l.gone, change.instance)
		}
	}
	return l
}
