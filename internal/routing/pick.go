package routing

// Pick returns the index of the accepted candidate with the first rank, or -1 if there is none.
// Ties are broken by the higher rendezvous weight, so that all nodes choose alike.
func Pick(candidates []Candidate, accepted []int, ranks []Rank) int {
	best := -1
	var first Rank
	for position, index := range accepted {
		rank := ranks[position]
		tied := best >= 0 && rank == first && candidates[index].Affinity > candidates[best].Affinity
		if best < 0 || rank.Less(first) || tied {
			best, first = index, rank
		}
	}
	return best
}
