package routing

const (
	// distanceCost is the price of one step of distance, in seconds: about the
	// round trips of a new connection and of the request, and some reluctance.
	distanceCost = 0.02
	// distanceByteCost is the price of carrying one byte one step, in seconds.
	// Traffic between zones is paid for by its size.
	distanceByteCost = 3e-6
)

// DistanceScorer charges for endpoints outside the zone.
type DistanceScorer struct{}

// Name returns the name of the term.
func (DistanceScorer) Name() string { return "distance" }

// Score returns seconds.
func (DistanceScorer) Score(request *Request, candidate *Candidate) float64 {
	step := distanceCost + distanceByteCost*float64(request.Bytes)
	return float64(candidate.Distance) * step
}
