package routing

// CopyScorer charges for one more copy of the shared blocks of a prompt away from its
// first endpoints in rendezvous order: the time to compute or to import the missing
// blocks. It makes nodes that know nothing of each other choose alike, so that blocks
// are not computed on many engines or fetched many times over the link of the KV cache
// store.
type CopyScorer struct{}

// Name returns the name of the term.
func (CopyScorer) Name() string { return "copy" }

// Score returns seconds of engine time.
func (CopyScorer) Score(request *Request, candidate *Candidate) float64 {
	recompute := request.Blocks - max(candidate.HitBlocks, candidate.ImportBlocks)
	imported := candidate.ImportBlocks - candidate.HitBlocks
	missing := prefillSeconds(request, candidate, max(0, recompute)*request.BlockTokens, max(0, imported)*request.BlockTokens)
	rank := float64(min(candidate.AffinityRank, maxAffinityRank))
	return request.WorkWeight * rank * missing
}
