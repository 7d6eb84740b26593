package capacity

import "math"

const (
	// lanes is the number of prefill rates that nodes vote on, and laneBits the size of the
	// counter of each.
	lanes    = 16
	laneBits = 4
	// maxVotes is the largest number of votes that a lane counts.
	maxVotes = 1<<laneBits - 1
	// lowestVote is the lower edge of the first lane, in tokens per second, and lanesPerOctave the
	// number of lanes between a rate and its double.
	lowestVote     = 1024
	lanesPerOctave = 2
)

// Votes counts, for each of 16 ranges of the prefill rate of a server, the nodes that have measured
// it there. A range, or lane, is half an octave wide; the first one starts at 1,024 tokens per
// second. Rates beyond the ends count in the first or last lane. Zero means no votes.
type Votes uint64

// VoteFor returns a single vote for a prefill rate in tokens per second.
func VoteFor(tokensPerSecond float64) Votes { return 1 << (laneBits * laneOf(tokensPerSecond)) }

// Plus returns the sum of two sets of votes. Each lane saturates on its own.
func (v Votes) Plus(other Votes) Votes {
	var sum Votes
	for lane := range lanes {
		sum |= Votes(min(v.in(lane)+other.in(lane), maxVotes)) << (laneBits * lane)
	}
	return sum
}

// Single returns the votes if they are those of a single node, at most one, and else no votes. It
// keeps a faulty node from voting more than once.
func (v Votes) Single() Votes {
	total := 0
	for lane := range lanes {
		total += v.in(lane)
	}
	if total > 1 {
		return 0
	}
	return v
}

// in returns the number of votes in a lane.
func (v Votes) in(lane int) int { return int(v >> (laneBits * lane) & maxVotes) }

// laneOf returns the lane of a prefill rate.
func laneOf(tokensPerSecond float64) int {
	if tokensPerSecond <= lowestVote {
		return 0
	}
	return min(int(lanesPerOctave*math.Log2(tokensPerSecond/lowestVote)), lanes-1)
}

// laneEdge returns the prefill rate at a position among the lanes. A whole number is the lower edge
// of that lane.
func laneEdge(position float64) float64 { return lowestVote * math.Exp2(position/lanesPerOctave) }

// laneClamp returns the rate within a lane that is nearest to the given one. The first and last
// lanes are unbounded at their outer ends.
func laneClamp(rate float64, lane int) float64 {
	if lane > 0 {
		rate = max(rate, laneEdge(float64(lane)))
	}
	if lane < lanes-1 {
		rate = min(rate, laneEdge(float64(lane+1)))
	}
	return rate
}
