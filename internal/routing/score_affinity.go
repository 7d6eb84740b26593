package routing

// extraCopyCost is the later cost of one more copy of a prefix, as a share of the prompt's
// prefill: the copy displaces another prefix from the cache.
const extraCopyCost = 0.1

// maxAffinityRank bounds the affinity rank. Candidates beyond it are not distinguished.
const maximumRank = 4

// AffinityScorer charges for starting a new copy of a prefix away from its first
// endpoints in rendezvous order. It makes nodes that decide concurrently, without
// knowing of each other, choose alike. A hot prefix whose queue costs more than a copy
// spreads to the next rank.
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
	return request.WorkWeight * extraCopyCost * missing * rank * prefill
}
