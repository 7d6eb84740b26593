package backend

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverrail/cloverrail/internal/capacity"
)

// Work is the work that one or more nodes have in flight on a server.
type Work struct {
	// Server is the ServerKey of the incarnation.
	Server uint64
	// Running is the number of attempts in flight, and QueuedTokens the prompt tokens of those that
	// have not begun to answer.
	Running      int
	QueuedTokens int
	// Suspects is the number of nodes whose breaker for the server is open. A node that the server
	// has told that it is shutting down counts as drainingSuspects.
	Suspects int
	// Prefill holds the votes of the nodes on the prefill rate of the server.
	Prefill capacity.Votes
	// AnswerAge is the time since the server last responded to any of the nodes, or 0 if it has not
	// within 2 s.
	AnswerAge time.Duration
	// ResidentTokens is the number of prompt and output tokens of attempts in flight that no other
	// attempt shares, and SharedPrefixes are those parts of their prompts that others may share.
	ResidentTokens int
	SharedPrefixes PrefixSet
	// Full is the number of nodes that the server refused for lack of capacity since its last answer to
	// them, within 500 ms.
	Full int
}

// Plus returns the sum of the work of two sets of nodes on the same server.
func (w Work) Plus(other Work) Work {
	return Work{
		Server:       other.Server,
		Running:      w.Running + other.Running,
		QueuedTokens: w.QueuedTokens + other.QueuedTokens,
		Suspects:     w.Suspects + other.Suspects,
		Prefill:      w.Prefill.Plus(other.Prefill),
		AnswerAge:    smallestAge(w.AnswerAge, other.AnswerAge),

		ResidentTokens: w.ResidentTokens + other.ResidentTokens,
		SharedPrefixes: w.SharedPrefixes.Merge(other.SharedPrefixes),
		Full:           w.Full + other.Full,
	}
}

// drainingSuspects marks a draining server in Work.Suspects; no fleet has as many nodes. The
// mark takes no extra bytes in this field, is sent first where reports are truncated, and makes
// builds that do not know it skip the server too.
const drainingSuspects = 1 << 20

// Draining reports whether the server has told any node that it is shutting down.
func (w Work) Draining() bool { return w.Suspects >= drainingSuspects }

// ServerKey returns the hash that identifies an incarnation in messages between nodes.
func ServerKey(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }

const (
	// peerWorkTTL is how long work reported by other nodes counts unless renewed.
	peerWorkTTL = time.Second
	// suspectQuorum is the number of other nodes that must suspect a server for this node to skip
	// it without a failure of its own. A single node may have lost its own path to the server.
	suspectQuorum = 2
	// maxSuspectedShare is the share of its servers above which the suspicions of a node are
	// discarded: the node itself is then likely to be partitioned.
	maxSuspectedShare = 1.0 / 3
)

// Work returns this node's work on all servers, without servers that have nothing to report. It
// omits suspicions if this node suspects more than maxSuspectedShare of its servers.
func (set *Set) Work(now time.Time) []Work {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	var all []Work
	suspected := 0
	for s := range set.withLocalState {
		w := Work{Server: s.key, Running: s.running(), QueuedTokens: s.queuedTokens}
		s.reportOccupancy(&w, now)
		switch {
		case s.drainingAnnounced:
			w.Suspects = drainingSuspects
		case !s.breaker.Allows(now):
			w.Suspects = 1
			suspected++
		}
		w.Prefill = set.voteOn(s, now)
		if w != (Work{Server: s.key}) {
			all = append(all, w)
		}
	}
	if float64(suspected) > maxSuspectedShare*float64(len(set.servers)) {
		for i := range all {
			if !all[i].Draining() {
				all[i].Suspects = 0
			}
		}
	}
	return all
}

// Use is the work in flight on one server from all nodes, as far as known to this node.
type Use struct {
	Running      int
	QueuedTokens int
}

// Less reports whether u is less work than other: fewer running attempts, or with equal numbers
// fewer queued tokens.
func (u Use) Less(other Use) bool {
	if u.Running != other.Running {
		return u.Running < other.Running
	}
	return u.QueuedTokens < other.QueuedTokens
}

// Uses returns the work in flight on all servers, by incarnation name.
func (set *Set) Uses(now time.Time) map[string]Use {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	uses := make(map[string]Use, len(set.servers))
	for name, s := range set.servers {
		peers, local := set.peerWorkAt(s, now), s.local()
		uses[name] = Use{Running: local.running() + peers.Running, QueuedTokens: local.queuedTokens + peers.QueuedTokens}
	}
	return uses
}

// ApplyPeerWork replaces the work reported by all other nodes. It returns the servers that are
// newly known to be draining.
func (set *Set) ApplyPeerWork(work []Work, now time.Time) (draining []string) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for _, s := range set.withPeerWork {
		s.peers.work = Work{}
	}
	set.withPeerWork = set.withPeerWork[:0]
	for _, w := range work {
		s := set.byKey[w.Server]
		if w.Draining() && set.markDraining(w.Server) && s != nil {
			draining = append(draining, s.name)
		}
		if s != nil {
			s.observeOccupancy(w, now)
			set.markUsed(s, now)
			set.withPeerWork = append(set.withPeerWork, s)
		}
	}
	set.peerWorkUntil = now.Add(peerWorkTTL)
	return draining
}

// peerWorkAt returns the work of other nodes on a server, or zero if the last report has
// expired.
func (set *Set) peerWorkAt(s *entry, now time.Time) Work {
	if s.peers == nil || now.After(set.peerWorkUntil) {
		return Work{}
	}
	return s.peers.work
}
