package quota

import (
	"math"
	"time"
)

// LimitChange is a change of a server's limit reported by a peer.
type LimitChange struct {
	// Subject identifies the server; see Matches.
	Subject uint64
	// PerSecond is the limit for the whole fleet. Lifted is set if the server no longer
	// advertises a limit.
	PerSecond float64
	Lifted    bool
}

// Matches reports whether the change concerns a server.
func (c LimitChange) Matches(server uint64) bool { return rowSubject(server) == c.Subject }

// Report returns this node's rows on services and servers, or none while no limit is known.
func (s *ServerLimits) Report(now time.Time) []Usage {
	if !s.Active() {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.evictIdle(now)
	var rows []Usage
	for key, d := range s.demands {
		rows = append(rows, Usage{Tenant: key, Requested: d.demandRate.perSecond(now), Admitted: 1})
	}
	for server, b := range s.buckets {
		recent := !b.heardAt.IsZero() && now.Sub(b.heardAt) < ownReportLife
		sent := Usage{Tenant: rowKey(server, sentRow), Admitted: b.sentRate.perSecond(now)}
		switch {
		case recent && b.liftedAt.IsZero():
			rows = append(rows, limitRowOf(server, limitRow, b))
		case recent:
			sent.Requested = 1
		}
		if !b.loweredAt.IsZero() && now.Sub(b.loweredAt) < ownReportLife {
			rows = append(rows, limitRowOf(server, loweredRow, b))
		}
		if sent.Requested > 0 || sent.Admitted > minReportedRate {
			rows = append(rows, sent)
		}
	}
	return TruncateRows(rows)
}

// limitRowOf returns a row with the limit that a server advertised to this node.
func limitRowOf(server uint64, k rowKind, b *serverBucket) Usage {
	return Usage{Tenant: rowKey(server, k), Requested: min(b.perSecond, math.MaxFloat32/maxReportedNodes), Admitted: 1}
}

const (
	// maxReportedNodes is larger than any fleet: the sum of that many limits still fits a
	// float32.
	maxReportedNodes = 1 << 20
	// minReportedRate is the lowest send rate that is reported, in requests per second: the
	// remainder of a request sent two seconds ago.
	minReportedRate = 0.03
)

// evictIdle removes servers that no longer exist, and those known only from peers that have been
// neither reported nor used for idleExpiry.
func (s *ServerLimits) evictIdle(now time.Time) {
	if now.Sub(s.sweptAt) < idleExpiry {
		return
	}
	s.sweptAt = now
	for key, b := range s.buckets {
		idle := b.server == 0 && now.Sub(b.at) > idleExpiry && now.Sub(b.peersAt) > idleExpiry
		if idle || b.slowStartDone(now) || b.server != 0 && !s.known(b.server) {
			s.remove(key)
		}
	}
	if len(s.buckets) == 0 {
		clear(s.demands)
	}
}

// SetPeerRows replaces the rows reported by all other nodes, and returns the resulting changes.
// Limits that this node recently received from the server itself take precedence.
func (s *ServerLimits) SetPeerRows(rows []Usage, now time.Time) []LimitChange {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heardAt = now
	limits, lowered, sent := map[uint64]Usage{}, map[uint64]Usage{}, map[uint64]Usage{}
	for _, d := range s.demands {
		d.peers = Usage{}
	}
	for _, row := range rows {
		switch rowKind(row.Tenant) & kindMask {
		case requestedRow:
			// Nodes without requests for the service report too; this node needs their number to
			// compute shares.
			s.demand(row.Tenant).peers = row
		case limitRow:
			limits[rowSubject(row.Tenant)] = row
		case loweredRow:
			lowered[rowSubject(row.Tenant)] = row
		case sentRow:
			sent[rowSubject(row.Tenant)] = row
		}
	}
	for _, d := range s.demands {
		d.share(s.nodes, false, now)
	}
	var changes []LimitChange
	for key, row := range limits {
		if change, changed := s.applyPeerLimit(key, row, now); changed {
			changes = append(changes, change)
		}
	}
	for key, row := range lowered {
		if change, changed := s.applyPeerLowered(key, row); changed {
			changes = append(changes, change)
		}
	}
	for key, b := range s.buckets {
		b.setPeersRate(sent[key].Admitted, now)
		if _, limited := limits[key]; !limited && sent[key].Requested > 0 && b.liftedAt.IsZero() && now.Sub(b.heardAt) >= ownReportLife {
			b.liftedAt = now
			changes = append(changes, LimitChange{Subject: key, Lifted: true})
		}
	}
	return changes
}

// applyPeerLimit applies the limit that a server advertised to peers, as the mean of their
// reports.
func (s *ServerLimits) applyPeerLimit(key uint64, row Usage, now time.Time) (LimitChange, bool) {
	if row.Admitted <= 0 {
		return LimitChange{}, false
	}
	if b := s.buckets[key]; b != nil && now.Sub(b.heardAt) < ownReportLife {
		return LimitChange{}, false
	}
	perSecond := row.Requested / row.Admitted
	_, changed := s.setLimit(key, perSecond, now)
	return LimitChange{Subject: key, PerSecond: perSecond}, changed
}

// applyPeerLowered applies a lower limit that a server recently advertised to peers. It takes
// precedence over the limit received by this node, which is usually older: otherwise a limit
// that falls to a fortieth would be exceeded for the three seconds of ownReportTTL (14 requests
// in 4 s at 100 nodes, where 11 are tolerated). If the limit has risen since, this node learns
// that later and sends too little meanwhile.
func (s *ServerLimits) applyPeerLowered(key uint64, row Usage) (LimitChange, bool) {
	b := s.buckets[key]
	if b == nil || row.Admitted <= 0 {
		return LimitChange{}, false
	}
	perSecond := row.Requested / row.Admitted
	if !b.isLower(perSecond) {
		return LimitChange{}, false
	}
	b.perSecond = perSecond
	return LimitChange{Subject: key, PerSecond: perSecond}, true
}
