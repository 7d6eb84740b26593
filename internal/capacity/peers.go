package capacity

import "time"

const (
	// voteHalfLife is the time after which a vote that is no longer reported weighs half as much.
	voteHalfLife = 5 * time.Second
	// voteTTL is how long votes are kept after the last report of them.
	voteTTL = 20 * time.Second
	// maxReportInterval bounds the time for which one report counts. Reports arrive every 150 to
	// 400 ms.
	maxReportInterval = 500 * time.Millisecond
	// maxPeerServers bounds the servers whose votes are kept.
	maxPeerServers = 4096
)

// peerVotes is the average over time of the votes of all other nodes on a server. A node that has
// voted in all reports has a weight of 1. An average bounds the weight of each node also if it
// votes for another rate each time.
type peerVotes struct {
	weights [lanes]float64
	total   float64
	// updated is when the weights were last decayed, and reported when votes were last reported.
	updated  time.Time
	reported time.Time
}

// add adds the votes of a report that holds for the given time.
func (p *peerVotes) add(votes Votes, interval time.Duration, now time.Time) {
	factor := decayFactor(now.Sub(p.updated), voteHalfLife)
	gain := 1 - decayFactor(interval, voteHalfLife)
	if p.reported.IsZero() {
		// The first report counts in full, so that a node that has just started can use it.
		gain = 1
	}
	p.total = 0
	for lane := range p.weights {
		p.weights[lane] = p.weights[lane]*factor + float64(votes.in(lane))*gain
		p.total += p.weights[lane]
	}
	p.updated, p.reported = now, now
}

// weight returns the number of nodes that vote, on average.
func (p *peerVotes) weight(now time.Time) float64 {
	if p == nil || now.Sub(p.reported) > voteTTL {
		return 0
	}
	return p.total * decayFactor(now.Sub(p.updated), voteHalfLife)
}

// ballot is a distribution of votes over the lanes.
type ballot struct {
	weights [lanes]float64
	total   float64
}

// addPeers adds the votes of other nodes.
func (b *ballot) addPeers(p *peerVotes, now time.Time) {
	if p.weight(now) == 0 {
		return
	}
	factor := decayFactor(now.Sub(p.updated), voteHalfLife)
	for lane, weight := range p.weights {
		b.weights[lane] += weight * factor
	}
	b.total += p.total * factor
}

// scale multiplies all weights by a factor.
func (b *ballot) scale(factor float64) {
	for lane := range b.weights {
		b.weights[lane] *= factor
	}
	b.total *= factor
}

// addOwn adds one vote.
func (b *ballot) addOwn(rate float64) {
	b.weights[laneOf(rate)]++
	b.total++
}

// median returns the lane of the median, and the rate at the median if the votes of each lane are
// spread evenly over it. On a tie it returns the lane nearer to the preferred one.
func (b *ballot) median(preferred int) (lane int, rate float64) {
	const tolerance = 1e-9
	half, sum := b.total/2, 0.0
	for lane, weight := range b.weights {
		if weight == 0 {
			continue
		}
		if sum+weight > half+tolerance || sum+weight > half-tolerance && preferred <= lane {
			return lane, laneEdge(float64(lane) + min(1, (half-sum)/weight))
		}
		sum += weight
	}
	return preferred, laneEdge(float64(preferred) + 0.5)
}
