package routing

// MemoryScorer charges for the prompt that the endpoint reads again because the request does not fit
// into its KV cache beside those in flight: it preempts whole requests, the newest first.
type MemoryScorer struct{}

// Name returns the name of the term.
func (MemoryScorer) Name() string { return "memory" }

// Score returns seconds of engine time.
func (MemoryScorer) Score(request *Request, candidate *Candidate) float64 {
	if excessTokens(request, candidate) == 0 {
		return 0
	}
	return request.WorkWeight * float64(request.PromptTokens) / prefillRate(request, candidate)
}
