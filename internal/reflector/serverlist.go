package reflector

import (
	"slices"
	"sort"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/coordination"
)

// maxLogEntries bounds the change log of the list of servers. A node that lacks more than
// the log holds is sent the full list. Replacing half the servers of a fleet of 10,000 makes
// about as many changes.
const logKept = 16384

// serverUpdate is an update of the list of servers, from the store or another node: the full
// list, or the changes since a position.
type listing struct {
	// whole reports that changed holds all servers.
	whole   bool
	changed []backend.Server
	gone    []string
	// position is the store's position that the update reflects, and readAt a time at which
	// that position was still current.
	at     coordination.Position
	readAt time.Time
	// sum is the checksum of the full list at that position, or 0 if it is not known.
	sum uint64
}

// writtenAt returns the position at which a server of the update was written. Entries that
// were written before a restore of the store count as new in the era in which they are read.
func (l listing) written(server *backend.Server) coordination.Position {
	return coordination.Position{Era: l.at.Era, Revision: server.Revision}
}

// serverList is a node's list of servers with a log of its latest changes. Cursors into it
// are positions of the shared store and valid at all nodes, so that a node that has polled
// one upstream up to a position continues from there with any other. A restore of the store
// begins a new era: the list is read again, and its differences from the previous one are
// logged as changes of the new era, so that other nodes need no full list. The checksum
// reveals servers that only such a node had. It is not safe for concurrent use.
type directory struct {
	servers map[string]*backend.Server
	at      coordination.Position
	readAt  time.Time
	// sum is the checksum of the servers. If an upstream has a different one at the same
	// position, this node has missed changes: diverged is set, and it needs the full list.
	sum     uint64
	differs bool
	// log holds the latest changes in the order of their positions. Those up to compactedTo
	// have been dropped.
	log       []logged
	forgotten coordination.Position
}

// logEntry is one change: a server was written or removed.
type logged struct {
	at       coordination.Position
	instance string
}

// emptySum is the checksum of an empty list: 0 stands for an unknown checksum.
const emptySum = 1

func newDirectory() *directory {
	return &directory{servers: map[string]*backend.Server{}, sum: emptySum}
}

// apply applies an update and returns the servers that it changes and removes. An update
// older than the list is ignored, since it would bring back servers that have been removed.
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
			// The server rewrote its entry without a change.
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
		// Nodes that learned of the server elsewhere may still list it: log the removal even if
		// this node does not know the server.
		d.note(logged{at: l.at, instance: instance})
	}
	d.differs = l.sum != 0 && l.sum != d.sum
	if fresh {
		d.forgotten = l.at
	}
	if l.at.Era != d.at.Era && !l.whole && !d.at.IsZero() {
		// Changes alone don't show which servers the restored store has lost.
		d.differs = d.differs || l.sum == 0
	}
	d.at = l.at
	if l.readAt.After(d.readAt) {
		d.readAt = l.readAt
	}
	return changed, gone
}

// sumOf returns a server's part of the checksum: a number from its instance, its creation
// revision, its draining state and its weight versions.
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

// cursor returns the position from which this node needs changes, or zero if it needs the
// full list.
func (d *directory) place() coordination.Position {
	if d.differs {
		return coordination.Position{}
	}
	return d.at
}

// missingFrom returns the instances of known servers that a full list does not contain.
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

// appendLog inserts a change in position order and compacts the log if it is full.
func (d *directory) note(change logged) {
	at := sort.Search(len(d.log), func(i int) bool { return change.at.Before(d.log[i].at) })
	d.log = slices.Insert(d.log, at, change)
	if len(d.log) > logKept {
		dropped := len(d.log) - logKept/2
		d.forgotten = d.forgotten.Later(d.log[dropped-1].at)
		d.log = slices.Clone(d.log[dropped:])
	}
}

// changesSince returns the changes since a cursor, or the full list if the cursor is zero or
// compacted. A cursor ahead of this node gets no changes and stays as it is.
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
