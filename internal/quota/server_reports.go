package quota

import (
	"math"
	"time"
)

// LimitChange is a change of a server's limit reported by a peer.
type Told struct {
	// Subject identifies the server; see Matches.
	Server uint64
	// PerSecond is the limit for the whole fleet. Lifted is set if the server no longer
	// advertises a limit.
	PerSecond float64
	Ended     bool
}

// Matches reports whether the change concerns a server.
func (t Told) Is(server uint64) bool { return subject(server) == t.Server }

// Report returns this node's rows on services and servers; none while no limit is known.
func (s *Servers) Report(now time.Time) []Use {
	if !s.Active() {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sweep(now)
	var rows []Use
	for key, d := range s.demands {
		rows = append(rows, Use{Tenant: key, Asked: d.asked.perSecond(now), Admitted: 1})
	}
	for server, a := range s.allowances {
		heard := !a.heardAt.IsZero() && now.Sub(a.heardAt) < ownWordLife
		sent := Use{Tenant: rowKey(server, sentRow), Admitted: a.sent.perSecond(now)}
		switch {
		case heard && a.endedAt.IsZero():
			rows = append(rows, named(server, namedRow, a))
		case heard:
			sent.Asked = 1
		}
		if !a.fellAt.IsZero() && now.Sub(a.fellAt) < ownWordLife {
			rows = append(rows, named(server, fellRow, a))
		}
		if sent.Asked > 0 || sent.Admitted > leastSent {
			rows = append(rows, sent)
		}
	}
	return FirstRows(rows)
}

// limitRowOf returns a row with the limit that a server advertised to this node.
func named(server uint64, k kind, a *allowance) Use {
	return Use{Tenant: rowKey(server, k), Asked: min(a.perSecond, math.MaxFloat32/mostToldNodes), Admitted: 1}
}

const (
	// maxReportedNodes is larger than any fleet: the sum of that many limits still fits a
	// float32.
	mostToldNodes = 1 << 20
	// minReportedRate is the lowest send rate that is reported, in requests per second: the
	// remainder of a request sent two seconds ago.
	leastSent = 0.03
)

// evictIdle removes servers that no longer exist, and those known only from peers that have been
// neither reported nor used for idleExpiry.
func (s *Servers) sweep(now time.Time) {
	if now.Sub(s.swept) < restForgotten {
		return
	}
	s.swept = now
	for key, a := range s.allowances {
		told := a.server == 0 && now.Sub(a.at) > restForgotten && now.Sub(a.othersAt) > restForgotten
		if told || a.over(now) || a.server != 0 && !s.known(a.server) {
			s.forget(key)
		}
	}
	if len(s.allowances) == 0 {
		clear(s.demands)
	}
}

// SetPeerRows replaces the rows reported by all other nodes, and returns the resulting changes.
// Limits that this node recently received from the server itself take precedence.
func (s *Servers) Hear(rows []Use, now time.Time) []Told {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heardAt = now
	named, fell, sent := map[uint64]Use{}, map[uint64]Use{}, map[uint64]Use{}
	for _, d := range s.demands {
		d.others = Use{}
	}
	for _, row := range rows {
		switch kind(row.Tenant) & kindMask {
		case askedRow:
			// Nodes without requests for the service report too; this node needs their number to
			// compute shares.
			s.demand(row.Tenant).others = row
		case namedRow:
			named[subject(row.Tenant)] = row
		case fellRow:
			fell[subject(row.Tenant)] = row
		case sentRow:
			sent[subject(row.Tenant)] = row
		}
	}
	for _, d := range s.demands {
		d.share(s.nodes, false, now)
	}
	var news []Told
	for key, row := range named {
		if t, changed := s.hearNamed(key, row, now); changed {
			news = append(news, t)
		}
	}
	for key, row := range fell {
		if t, changed := s.hearFell(key, row); changed {
			news = append(news, t)
		}
	}
	for key, a := range s.allowances {
		a.hear(sent[key].Admitted, now)
		if _, limited := named[key]; !limited && sent[key].Asked > 0 && a.endedAt.IsZero() && now.Sub(a.heardAt) >= ownWordLife {
			a.endedAt = now
			news = append(news, Told{Server: key, Ended: true})
		}
	}
	return news
}

// applyPeerLimit applies the limit that a server advertised to peers, as the mean of their
// reports.
func (s *Servers) hearNamed(key uint64, row Use, now time.Time) (Told, bool) {
	if row.Admitted <= 0 {
		return Told{}, false
	}
	if a := s.allowances[key]; a != nil && now.Sub(a.heardAt) < ownWordLife {
		return Told{}, false
	}
	perSecond := row.Asked / row.Admitted
	_, news := s.limit(key, perSecond, now)
	return Told{Server: key, PerSecond: perSecond}, news
}

// applyPeerLowered applies a lower limit that a server recently advertised to peers. It takes
// precedence over the limit received by this node, which is usually older: otherwise a limit
// that falls to a fortieth would be exceeded for the three seconds of ownReportLife (14 requests
// of 11 in 4 s at 100 nodes). If the limit has risen since, this node learns that later and
// sends too little meanwhile.
func (s *Servers) hearFell(key uint64, row Use) (Told, bool) {
	a := s.allowances[key]
	if a == nil || row.Admitted <= 0 {
		return Told{}, false
	}
	perSecond := row.Asked / row.Admitted
	if !a.lower(perSecond) {
		return Told{}, false
	}
	a.perSecond = perSecond
	return Told{Server: key, PerSecond: perSecond}, true
}
