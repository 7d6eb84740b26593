package routing

// decodeShare is the part of an engine's time that one running sequence takes
// from the prefill of others.
const decodeShare = 0.004

// WaitScorer is the estimated time to the first token: what is queued before
// the request, slowed by the sequences that decode meanwhile.
type WaitScorer struct{}

// Score returns seconds.
func (WaitScorer) Score(request *Request, candidate *Candidate) float64 {
	missing := max(0, request.PromptTokens-candidate.HitBlocks*request.BlockTokens)
	seconds := float64(candidate.QueuedTokens+missing) / request.PrefillTokensPerSecond
	slowdown := 1 + decodeShare*float64(candidate.Running)
	return request.WaitWeight * seconds * slowdown
}
