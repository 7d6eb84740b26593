package capacity

import (
	"slices"
	"time"
)

const (
	// differRatio is the ratio of the 90th to the 10th percentile of the servers' rates under which
	// they count as equal, and differEnter the ratio above which they count as different. The
	// distance between them keeps a service from changing back and forth.
	differRatio = 1.25
	differEnter = 1.4
	// minCompared is the number of measured servers from which servers are compared.
	minCompared = 3
)

// refreshIfDue derives the values of the service and its servers anew after refreshInterval, or
// when the number of servers has doubled.
func (s *service) refreshIfDue(peers map[uint64]*peerVotes, now time.Time) {
	if age := now.Sub(s.refreshedAt); age >= 0 && age < refreshInterval && len(s.servers) < 2*s.refreshedSize {
		return
	}
	s.removeUnused(now)
	s.refreshedAt, s.refreshedSize = now, len(s.servers)
	s.base = s.baseSeconds(now)
	if s.slots.total >= minServiceWeight {
		s.typicalSlot = timeScale.value(s.slots.median(now, 0, 0))
	}
	s.refreshTypicalRate(peers, now)
	if s.typicalRate == 0 {
		return
	}
	s.compared = s.compared[:0]
	for key, server := range s.servers {
		if rate := server.refresh(peers[key], s.typicalRate, s.typicalSlot, now); rate > 0 {
			s.compared = append(s.compared, rate)
		}
	}
	s.compare(s.compared)
}

// refreshTypicalRate derives the typical rate: the median of this node's samples, moved into the
// lane of the median vote of the fleet. The votes on all servers are averaged, so that each node
// weighs as much as this one.
func (s *service) refreshTypicalRate(peers map[uint64]*peerVotes, now time.Time) {
	own := 0.0
	if s.rates.total >= minServiceWeight {
		own = rateScale.value(s.rates.median(now, 0, 0))
	}
	b, voted := ballot{}, 0
	for key := range s.servers {
		if p := peers[key]; p.weight(now) > 0 {
			b.addPeers(p, now)
			voted++
		}
	}
	b.scale(1 / float64(max(1, voted)))
	switch {
	case b.total > 0 && own > 0:
		b.addOwn(own)
		lane, _ := b.median(laneOf(own))
		s.typicalRate = laneClamp(own, lane)
	case b.total > 0:
		_, s.typicalRate = b.median(0)
	case own > 0:
		s.typicalRate = own
	}
}

// compare decides from the rates of the measured servers whether the servers differ. Too few
// measured servers change nothing.
func (s *service) compare(rates []float64) {
	if len(rates) < minCompared {
		return
	}
	slices.Sort(rates)
	low, high := rates[len(rates)/10], rates[len(rates)-1-len(rates)/10]
	switch ratio := high / low; {
	case ratio < differRatio:
		s.differ = false
	case ratio >= differEnter:
		s.differ = true
	}
}

// removeUnused removes servers that have not been used for serverRetention.
func (s *service) removeUnused(now time.Time) {
	for key, server := range s.servers {
		if now.Sub(server.usedAt) > serverRetention {
			delete(s.servers, key)
		}
	}
}
