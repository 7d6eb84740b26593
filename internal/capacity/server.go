package capacity

import "time"

const (
	// minVoteWeight is the weight of samples from which a node votes: one sample of the last half
	// life. A vote by few samples is uncertain, but votes of several nodes are not.
	minVoteWeight = 0.25
	// measuredWeight is the weight of samples and votes from which a server counts in the
	// comparison of servers.
	measuredWeight = 2
)

// server is what is known of one incarnation of a server. The histograms are nil until this node
// has samples.
type server struct {
	usedAt time.Time
	rates  *histogram
	slots  *histogram

	// rate is the prefill rate in tokens per second, and slot the slot time in seconds; 0 if
	// nothing is known beyond the typical value of the service.
	rate float64
	slot float64
}

func (s *server) addRate(bin int, weight float64, now time.Time) {
	if s.rates == nil {
		s.rates = &histogram{}
	}
	s.rates.add(bin, weight, now)
}

func (s *server) addSlot(bin int, now time.Time) {
	if s.slots == nil {
		s.slots = &histogram{}
	}
	s.slots.add(bin, 1, now)
}

// refresh derives the values of the server from its samples and votes: the lane of the median vote,
// with its own samples deciding within the lane. It returns a rate for the comparison with other
// servers that differs from the typical rate no more than the votes show, or 0 if too little is
// known of the server.
func (s *server) refresh(peers *peerVotes, typicalRate, typicalSlot float64, now time.Time) float64 {
	s.slot = s.slots.medianNear(typicalSlot, priorWeight, timeScale, now)
	votes, ownWeight := peers.weight(now), s.rates.weight(now)
	// Votes replace the prior, so that few samples and few votes suffice together.
	own := s.rates.medianNear(typicalRate, max(0, priorWeight-votes), rateScale, now)
	s.rate = own
	if votes == 0 {
		return comparableRate(own, ownWeight)
	}
	b := ballot{}
	b.addPeers(peers, now)
	b.addOwn(own)
	lane, voted := b.median(laneOf(own))
	if lane != laneOf(own) {
		s.rate = laneClamp(s.rates.medianNear(voted, priorWeight, rateScale, now), lane)
	}
	return comparableRate(laneClamp(own, lane), ownWeight+votes)
}

// comparableRate returns a rate if its weight is enough to compare servers by it, and else 0.
func comparableRate(rate, weight float64) float64 {
	if weight < measuredWeight {
		return 0
	}
	return rate
}
