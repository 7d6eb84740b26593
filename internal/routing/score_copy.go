package routing

// CopyScorer charges for making one more copy of the shared blocks of a prompt
// away from its first endpoints in rendezvous order: the time to recompute or to
// import what the endpoint does not hold. Nodes that know nothing of each other
// choose alike by it, and neither the engines nor the link of the store of kept
// KV cache do the same work in many places.
type CopyScorer struct{}

// Name returns the name of the term.
func (CopyScorer) Name() string { return "copy" }

// Score returns seconds of engine time.
func (CopyScorer) Score(request *Request, candidate *Candidate) float64 {
	recompute := request.Blocks - max(candidate.HitBlocks, candidate.ImportBlocks)
	imported := candidate.ImportBlocks - candidate.HitBlocks
	missing := seconds(request, candidate, max(0, recompute)*request.BlockTokens, max(0, imported)*request.BlockTokens)
	rank := float64(min(candidate.AffinityRank, maximumRank))
	return request.WorkWeight * rank * missing
}
