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
const maxLogEntries = 16384

// serverUpdate is an update of the list of servers, from the store or another node: the full
// list, or the changes since a position.
type serverUpdate struct {
	// whole reports that changed holds all servers.
	whole   bool
	changed []backend.Server
	gone    []string
	// position is the store's position that the update reflects, and readAt a time at which
	// that position was still current.
	position coordination.Position
	readAt   time.Time
	// sum is the checksum of the full list at that position, or 0 if it is not known.
	sum uint64
}

// writtenAt returns the position at which a server of the update was written. Entries that
// were written before a restore of the store count as new in the era in which they are read.
func (u serverUpdate) writtenAt(server *backend.Server) coordination.Position {
	return coordination.Position{Era: u.position.Era, Revision: server.Revision}
}

// serverList is a node's list of servers with a log of its latest changes. Cursors into it
// are positions of the shared store and valid at all nodes, so that a node that has polled
// one upstream up to a position continues from there with any other. A restore of the store
// begins a new era: the list is read again, and its differences from the previous one are
// logged as changes of the new era, so that other nodes need no full list. If one of those
// had servers that the reading node never knew, the checksums differ. It is not safe for
// concurrent use.
type serverList struct {
	servers  map[string]*backend.Server
	position coordination.Position
	readAt   time.Time
	// sum is the checksum of the servers. If an upstream has a different one at the same
	// position, this node has missed changes: diverged is set, and it needs the full list.
	sum      uint64
	diverged bool
	// log holds the latest changes in the order of their positions. Those up to compactedTo
	// have been dropped.
	log         []logEntry
	compactedTo coordination.Position
}

// logEntry is one change: a server was written or removed.
type logEntry struct {
	position coordination.Position
	instance string
}

// emptySum is the checksum of an empty list: 0 stands for an unknown checksum.
const emptySum = 1

func newServerList() *serverList {
	return &serverList{servers: map[string]*backend.Server{}, sum: emptySum}
}

// apply applies an update and returns the servers that it changes and removes. An update
// older than the list is ignored, since it would bring back servers that have been removed.
func (list *serverList) apply(update serverUpdate) (changed []*backend.Server, gone []string) {
	if update.position.Before(list.position) {
		return nil, nil
	}
	missing := update.gone
	if update.whole {
		missing = list.missingFrom(update.changed)
	}
	initial := len(list.servers) == 0 && update.whole
	for i := range update.changed {
		server := &update.changed[i]
		known, found := list.servers[server.Instance]
		if found && known.Equal(*server) {
			// The server rewrote its entry without a change.
			continue
		}
		changed = append(changed, server)
		if found {
			list.sum -= sumOf(known)
		}
		list.servers[server.Instance] = server
		list.sum += sumOf(server)
		if !initial {
			list.appendLog(logEntry{position: update.writtenAt(server), instance: server.Instance})
		}
	}
	for _, instance := range missing {
		if known, found := list.servers[instance]; found {
			list.sum -= sumOf(known)
			delete(list.servers, instance)
			gone = append(gone, instance)
		}
		// Nodes that learned of the server elsewhere may still list it: log the removal even if
		// this node does not know the server.
		list.appendLog(logEntry{position: update.position, instance: instance})
	}
	list.diverged = update.sum != 0 && update.sum != list.sum
	if initial {
		list.compactedTo = update.position
	}
	if update.position.Era != list.position.Era && !update.whole && !list.position.IsZero() {
		// Changes alone don't show which servers the restored store has lost.
		list.diverged = list.diverged || update.sum == 0
	}
	list.position = update.position
	if update.readAt.After(list.readAt) {
		list.readAt = update.readAt
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
func (list *serverList) cursor() coordination.Position {
	if list.diverged {
		return coordination.Position{}
	}
	return list.position
}

// missingFrom returns the instances of known servers that a full list does not contain.
func (list *serverList) missingFrom(fullList []backend.Server) []string {
	present := make(map[string]bool, len(fullList))
	for _, server := range fullList {
		present[server.Instance] = true
	}
	var missing []string
	for instance := range list.servers {
		if !present[instance] {
			missing = append(missing, instance)
		}
	}
	return missing
}

// appendLog inserts a change in position order and compacts the log if it is full.
func (list *serverList) appendLog(entry logEntry) {
	at := sort.Search(len(list.log), func(i int) bool { return entry.position.Before(list.log[i].position) })
	list.log = slices.Insert(list.log, at, entry)
	if len(list.log) > maxLogEntries {
		dropped := len(list.log) - maxLogEntries/2
		list.compactedTo = list.compactedTo.Later(list.log[dropped-1].position)
		list.log = slices.Clone(list.log[dropped:])
	}
}

// changesSince returns the changes since a cursor, or the full list if the cursor is zero or
// compacted. A cursor ahead of this node gets no changes and stays as it is.
func (list *serverList) changesSince(cursor coordination.Position) serverUpdate {
	update := serverUpdate{position: list.position.Later(cursor), readAt: list.readAt}
	if list.position.Before(cursor) || list.position.IsZero() {
		return update
	}
	update.sum = list.sum
	if cursor.IsZero() || cursor.Before(list.compactedTo) {
		update.whole, update.changed = true, make([]backend.Server, 0, len(list.servers))
		for _, server := range list.servers {
			update.changed = append(update.changed, *server)
		}
		return update
	}
	at := sort.Search(len(list.log), func(i int) bool { return cursor.Before(list.log[i].position) })
	included := map[string]bool{}
	for _, entry := range list.log[at:] {
		if included[entry.instance] {
			continue
		}
		included[entry.instance] = true
		if server, found := list.servers[entry.instance]; found {
			update.changed = append(update.changed, *server)
		} else {
			update.gone = append(update.gone, entry.instance)
		}
	}
	return update
}
