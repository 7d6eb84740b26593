package routing

// defaultCopyCost is the share of a prompt's prefill that one more copy of its
// prefix costs later on: it takes cache memory from another prefix.
const defaultCopyCost = 0.1

// maximumRank bounds the rank, so that distant ranks do not differ.
const maximumRank = 4

// AffinityScorer charges for starting a new copy of a prefix away from its
// first endpoints in rendezvous order. Nodes that decide at the same moment,
// without knowing of each other, choose alike by it; a prefix that is hot
// enough to queue spreads to the next rank.
type AffinityScorer struct {
	// CopyCost replaces the default if it is not 0.
	CopyCost float64
}

// Score returns seconds of engine time.
func (scorer AffinityScorer) Score(request *Request, candidate *Candidate) float64 {
	if request.Blocks == 0 {
		return 0
	}
	copyCost := scorer.CopyCost
	if copyCost == 0 {
		copyCost = defaultCopyCost
	}
	missing := 1 - float64(max(candidate.HitBlocks, candidate.ImportBlocks))/float64(request.Blocks)
	rank := float64(min(candidate.AffinityRank, maximumRank))
	prefill := float64(request.PromptTokens) / request.PrefillTokensPerSecond
	return request.WorkWeight * copyCost * missing * rank * prefill
}
