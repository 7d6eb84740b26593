package routing

// MemoryScorer charges for the prompts that the endpoint reads again because the request does not fit
// into its KV cache beside those in flight: it preempts as many tokens as exceed the capacity.
type MemoryScorer struct{}

// Name returns the name of the term.
func (MemoryScorer) Name() string { return "memory" }

// Score returns seconds of engine time.
func (MemoryScorer) Score(request *Request, candidate *Candidate) float64 {
	excess := min(excessTokens(request, candidate), NeededTokens(request, candidate))
	return request.WorkWeight * float64(excess) / request.PrefillTokensPerSecond
}
