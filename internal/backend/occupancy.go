package backend

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/routing"
)

// answerEvidenceTTL is how long after its last response to a node a server is reported as
// answering. It exceeds the longest delay of a report between two nodes.
const answerEvidenceTTL = 2 * time.Second

// reportOccupancy sets the values of a report that tell how occupied the server is.
func (local *localState) reportOccupancy(w *Work, now time.Time) {
	w.AnswerAge = local.answerAge(now)
	w.ResidentTokens, w.SharedPrefixes = local.residents.tokens, local.residents.lanes
}

// observeOccupancy records what the latest report of other nodes tells of the server. It replaces
// values that no build reports, which would only be of a malformed message.
func (entry *entry) observeOccupancy(now time.Time) {
	entry.observePeerAnswer(entry.peerWork.AnswerAge, now)
	entry.peerWork.ResidentTokens = max(0, entry.peerWork.ResidentTokens)
}

// fillOccupancy sets the fields of a candidate that tell how occupied the server is.
func (entry *entry) fillOccupancy(c *routing.Candidate, query *Query, peers Work) {
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

// aged returns the work as it is known a given time after it was reported. Ages are relative, so
// that the clocks of nodes need not agree; the time that a report spends at a relay adds to them.
func (w Work) aged(by time.Duration) Work {
	if w.AnswerAge > 0 {
		w.AnswerAge += max(0, by)
	}
	if w.AnswerAge < 0 || w.AnswerAge > answerEvidenceTTL {
		w.AnswerAge = 0
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

// observePeerAnswer records the latest response of a server that other nodes have reported.
func (entry *entry) observePeerAnswer(age time.Duration, now time.Time) {
	if age <= 0 || age > answerEvidenceTTL {
		return
	}
	if at := now.Add(-age); at.After(entry.peerAnsweredAt) {
		entry.peerAnsweredAt = at
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
	return attempt.entry.lastResponseAt.After(since) || attempt.entry.peersHeard().After(since)
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

// PeersHeardServer returns when other nodes last heard a response of the server, as far as reported.
// It returns false if they did not, or if this node receives no reports now.
func (attempt *Attempt) PeersHeardServer(now time.Time) (at time.Time, heard bool) {
	if attempt.entry == nil {
		return time.Time{}, false
	}
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	at = attempt.entry.peersHeard()
	return at, !at.IsZero() && !now.After(attempt.set.peerWorkUntil)
}

// peersHeard returns when other nodes last heard a response of the server, or zero. Their evidence
// does not count while this node cannot connect: it shows that the server runs, but not that this
// node's path to it works.
func (entry *entry) peersHeard() time.Time {
	local := entry.local()
	if local.lastConnectFailureAt.After(local.lastResponseAt) {
		return time.Time{}
	}
	return entry.peerAnsweredAt
}
