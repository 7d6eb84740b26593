package routing

// WorkScorer is the engine time that the request itself spends on computing
// the part of its prompt that the endpoint does not hold.
type WorkScorer struct{}

// Score returns seconds of engine time.
func (WorkScorer) Score(request *Request, candidate *Candidate) float64 {
	missing := request.PromptTokens - candidate.HitBlocks*request.BlockTokens
	return request.WorkWeight * float64(max(0, missing)) / request.PrefillTokensPerSecond
}
