package routing

// WorkScorer charges the engine time for the part of the prompt that the endpoint does
// not hold.
type WorkScorer struct{}

// Name returns the name of the term.
func (WorkScorer) Name() string { return "work" }

// Score returns seconds of engine time.
func (WorkScorer) Score(request *Request, candidate *Candidate) float64 {
	recompute, imported := MissingTokens(request, candidate)
	return request.WorkWeight * prefillSeconds(request, candidate, recompute, imported)
}

// MissingTokens splits the prompt tokens that the endpoint does not hold into those that
// it must compute and those that it can import.
func MissingTokens(request *Request, candidate *Candidate) (recompute, imported int) {
	covered := candidate.HitBlocks
	if importRate(request, candidate) > prefillRate(request, candidate) && candidate.ImportBlocks > covered {
		imported = (candidate.ImportBlocks - covered) * request.BlockTokens
		covered = candidate.ImportBlocks
	}
	return max(0, request.PromptTokens-covered*request.BlockTokens), imported
}

// ImportSeconds returns the estimated time that the endpoint takes to import the blocks that it does
// not compute.
func ImportSeconds(request *Request, candidate *Candidate) float64 {
	_, imported := MissingTokens(request, candidate)
	return prefillSeconds(request, candidate, 0, imported)
}

// importRate returns how many tokens per second the candidate can import.
func importRate(request *Request, candidate *Candidate) float64 {
	if candidate.ImportTokensPerSecond > 0 {
		return candidate.ImportTokensPerSecond
	}
	return request.ImportTokensPerSecond
}

// prefillRate returns how many tokens per second the candidate can compute.
func prefillRate(request *Request, candidate *Candidate) float64 {
	if candidate.PrefillTokensPerSecond > 0 {
		return candidate.PrefillTokensPerSecond
	}
	return request.PrefillTokensPerSecond
}

func prefillSeconds(request *Request, candidate *Candidate, recompute, imported int) float64 {
	total := float64(recompute) / prefillRate(request, candidate)
	if imported > 0 {
		total += float64(imported) / importRate(request, candidate)
	}
	return total
}
