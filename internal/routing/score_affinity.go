package routing

// copyCost is the share of a prompt's prefill that one more copy of its prefix
// costs later on: it takes cache memory from another prefix.
const copyCost = 0.1

// maximumRank bounds the rank, so that distant ranks do not differ.
const maximumRank = 4

// AffinityScorer charges for starting a new copy of a prefix away from its
// first endpoints in rendezvous order. Nodes that decide at the same moment,
// without knowing of each other, choose alike by it; a prefix that is hot
// enough to queue spreads to the next rank.
type AffinityScorer struct{}

// Name returns the name of the term.
func (AffinityScorer) Name() string { return "affinity" }

// Score returns seconds of engine time.
func (AffinityScorer) Score(request *Request, candidate *Candidate) float64 {
	if request.Blocks == 0 {
		return 0
	}
	missing := 1 - float64(candidate.HitBlocks)/float64(request.Blocks)
	rank := float64(min(candidate.AffinityRank, maximumRank))
	prefill := float64(request.PromptTokens) / request.PrefillTokensPerSecond
	return request.WorkWeight * copyCost * missing * rank * prefill
}
