package backend

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/routing"
)

// answerEvidenceTTL is how long after its last response to a node a server is reported as
// answering. It exceeds the longest delay of a report between two nodes.
const answerEvidenceTTL = 2 * time.Second

// fullTTL is how long after a refusal a server is reported as full, and how long a report of that
// counts unless it is renewed.
const fullTTL = 500 * time.Millisecond

// reportOccupancy sets the values of a report that tell how occupied the server is.
func (local *localState) reportOccupancy(w *Work, now time.Time) {
	w.AnswerAge = local.answerAge(now)
	w.ResidentTokens, w.SharedPrefixes = local.residents.tokens, local.residents.lanes
	if local.full(now) {
		w.Full = 1
	}
}

// peerState is what other nodes have reported of a server.
type peerState struct {
	// work is the work that they have in flight on it.
	work Work
	// answeredAt is when it last responded to any of them.
	answeredAt time.Time
}

// observeOccupancy records the latest report of other nodes on the server. Negative values, which
// only a malformed message has, count as 0.
func (entry *entry) observeOccupancy(w Work, now time.Time) {
	if entry.peers == nil {
		entry.peers = &peerState{}
	}
	w.ResidentTokens, w.Full = max(0, w.ResidentTokens), max(0, w.Full)
	entry.peers.work = w
	entry.peers.observeAnswer(w.AnswerAge, now)
}

// fillOccupancy sets the fields of a candidate that tell how occupied the server is.
func (set *Set) fillOccupancy(entry *entry, c *routing.Candidate, query *Query, peers Work, now time.Time) {
	c.FullNodes = set.fullNodes(entry, peers, now)
	resident, prefixes := entry.local().residents.total(peers)
	c.ResidentTokens, c.SharedResidentTokens = resident, 0
	if prefixes == 0 {
		return
	}
	for _, p := range query.Shared {
		if !prefixes.contains(p) {
			break
		}
		c.SharedResidentTokens += p.Tokens
	}
}

// recordRefusal records that the server refused an attempt, unless that may have another reason than
// lack of capacity: it is loading, draining or another incarnation, or has other weights than known. It
// reports whether it did.
func (attempt *Attempt) recordRefusal(e *entry, now time.Time) bool {
	full := e.load == nil && e.replacedUntil.IsZero() && !e.isDraining() && e.server == attempt.server
	if full {
		e.lastRefusedAt = now
	}
	return full
}

// full reports whether the server has refused this node for lack of capacity within fullTTL, and has
// not answered it since.
func (local *localState) full(now time.Time) bool {
	return local.lastRefusedAt.After(local.lastAcceptedAt) && now.Sub(local.lastRefusedAt) <= fullTTL
}

// fullNodes returns the number of other nodes that the server refuses for lack of capacity, unless
// it has answered this node since the report.
func (set *Set) fullNodes(e *entry, peers Work, now time.Time) int {
	reportedAt := set.peerWorkUntil.Add(-peerWorkTTL)
	if peers.Full == 0 || now.Sub(reportedAt) > fullTTL || e.local().lastAcceptedAt.After(reportedAt) {
		return 0
	}
	return peers.Full
}

// aged returns the work as it is known a given time after it was reported. Ages are relative, so
// that the clocks of nodes need not agree; the time that a report spends at a relay adds to them.
func (w Work) aged(by time.Duration) Work {
	if w.AnswerAge > 0 {
		w.AnswerAge += max(0, by)
	}
	if w.AnswerAge < 0 || w.AnswerAge > answerEvidenceTTL {
		w.AnswerAge = 0
	}
	if by > fullTTL {
		w.Full = 0
	}
	return w
}

// PlusAged returns the sum of the work of two sets of nodes on the same server, the second of which
// was received a given time ago.
func (w Work) PlusAged(other Work, age time.Duration) Work { return w.Plus(other.aged(age)) }

// smallestAge returns the smaller of two ages, of which 0 means that there is none.
func smallestAge(a, b time.Duration) time.Duration {
	if a <= 0 || b <= 0 {
		return max(a, b)
	}
	return min(a, b)
}

// answerAge returns the time since the server last responded to this node, at least 1 ns, or 0 if it
// has not within answerEvidenceTTL. Responses of another incarnation at its address do not count.
func (local *localState) answerAge(now time.Time) time.Duration {
	age := now.Sub(local.lastResponseAt)
	if local.lastResponseAt.IsZero() || !local.replacedUntil.IsZero() || age > answerEvidenceTTL {
		return 0
	}
	return max(age, 1)
}

// observeAnswer records the latest response of a server to other nodes.
func (peers *peerState) observeAnswer(age time.Duration, now time.Time) {
	if age <= 0 || age > answerEvidenceTTL {
		return
	}
	if at := now.Add(-age); at.After(peers.answeredAt) {
		peers.answeredAt = at
	}
}

// ServerRespondedSince reports whether the server has responded to any attempt, of this node or, as
// far as reported, of another one, since a given time.
func (attempt *Attempt) ServerRespondedSince(since time.Time) bool {
	if attempt.entry == nil {
		return false
	}
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	return attempt.entry.lastResponseAt.After(since) || attempt.peersAnsweredAt().After(since)
}

// ServerRespondedHereSince reports whether the server has responded to any attempt of this node
// since a given time.
func (attempt *Attempt) ServerRespondedHereSince(since time.Time) bool {
	if attempt.entry == nil {
		return false
	}
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	return attempt.entry.lastResponseAt.After(since)
}

// PeersAnsweredAt returns when other nodes last heard a response of the server, as far as reported.
// It returns false if they did not, or if this node receives no reports now.
func (attempt *Attempt) PeersAnsweredAt(now time.Time) (at time.Time, found bool) {
	if attempt.entry == nil {
		return time.Time{}, false
	}
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	at = attempt.peersAnsweredAt()
	return at, !at.IsZero() && !now.After(attempt.set.peerWorkUntil)
}

// peersAnsweredAt returns when other nodes last heard a response of the server, or zero. Their evidence
// does not count while this node does not reach the server itself: it shows that the server runs, but not that
// an attempt on this node's path to it is answered.
func (attempt *Attempt) peersAnsweredAt() time.Time {
	local := attempt.entry.local()
	switch {
	case attempt.entry.peers == nil || local.lastConnectFailureAt.After(local.lastResponseAt):
		return time.Time{}
	case !attempt.detour && !local.path.brokenSince.IsZero():
		return time.Time{}
	default:
		return attempt.entry.peers.answeredAt
	}
}
