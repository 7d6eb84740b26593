package routing

const (
	// distanceCost is the cost of one step of distance, in seconds: about the round
	// trips of a new connection and of the request, plus a bias towards near endpoints.
	distanceCost = 0.02
	// distanceByteCost is the cost of transferring one byte by one step, in seconds.
	// Traffic between zones is billed by size.
	distanceByteCost = 3e-6
)

// DistanceScorer charges for endpoints in other zones and regions.
type DistanceScorer struct{}

// Name returns the name of the term.
func (DistanceScorer) Name() string { return "distance" }

// Score returns seconds.
func (DistanceScorer) Score(request *Request, candidate *Candidate) float64 {
	step := distanceCost + distanceByteCost*float64(request.Bytes)
	steps := candidate.Distance
	if candidate.Detour {
		steps++
	}
	return float64(steps) * step
}
