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

// refresh derives the values of the server from its samples and votes. It returns its rate for the
// comparison with other servers, or 0 if too little is known of it.
func (s *server) refresh(peers *peerVotes, typicalRate, typicalSlot float64, now time.Time) float64 {
	s.slot = s.slots.medianNear(typicalSlot, timeScale, now)
	own, ownWeight := s.rates.medianNear(typicalRate, rateScale, now), s.rates.weight(now)
	s.rate = own
	votes := peers.weight(now)
	if votes == 0 {
		return comparableRate(own, ownWeight)
	}
	b := ballot{}
	b.addPeers(peers, now)
	b.addOwn(own)
	lane, median := b.median(laneOf(own))
	nearest := laneClamp(own, lane)
	s.rate = nearest
	if ownWeight == 0 && lane != laneOf(own) {
		s.rate = median
	}
	return comparableRate(nearest, ownWeight+votes)
}

// comparableRate returns a rate if its weight is enough to compare servers by it, and else 0.
func comparableRate(rate, weight float64) float64 {
	if weight < measuredWeight {
		return 0
	}
	return rate
}
