package routing

// decodeShare is the part of an engine's time that one running sequence takes
// from the prefill of others.
const decodeShare = 0.004

// WaitScorer is the estimated time to the first token: what is queued before
// the request, slowed by the sequences that decode meanwhile.
type WaitScorer struct{}

// Name returns the name of the term.
func (WaitScorer) Name() string { return "wait" }

// Score returns seconds.
func (WaitScorer) Score(request *Request, candidate *Candidate) float64 {
	recompute, imported := Missing(request, candidate)
	wait := seconds(request, candidate, candidate.QueuedTokens+recompute, imported)
	slowdown := 1 + decodeShare*float64(candidate.Running)
	return request.WaitWeight * wait * slowdown
}
