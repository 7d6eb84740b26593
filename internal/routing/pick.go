package routing

// Pick returns the index of the cheapest accepted candidate, or -1 if there is none.
// Ties are broken by the higher rendezvous weight, so that all nodes choose alike.
func Pick(candidates []Candidate, accepted []int, costs []float64) int {
	best := -1
	lowest := 0.0
	for position, index := range accepted {
		cost := costs[position]
		cheaper := best < 0 || cost < lowest
		tied := best >= 0 && cost == lowest && candidates[index].Affinity > candidates[best].Affinity
		if cheaper || tied {
			best, lowest = index, cost
		}
	}
	return best
}
