package routing

import "github.com/cloverrail/cloverrail/internal/capacity"

// WaitScorer estimates the time to the first token: the prefill queued before the
// request, slowed down by decoding sequences, or the time until a slot is free if that
// is longer, plus the request's own prefill.
type WaitScorer struct{}

// Name returns the name of the term.
func (WaitScorer) Name() string { return "wait" }

// Score returns seconds.
func (WaitScorer) Score(request *Request, candidate *Candidate) float64 {
	return request.WaitWeight * (StartDelay(request, candidate) + ownPrefill(request, candidate))
}

// ownPrefill returns the estimated time that the endpoint takes for the request's own prompt, in
// seconds.
func ownPrefill(request *Request, candidate *Candidate) float64 {
	recompute, imported := MissingTokens(request, candidate)
	return prefillSeconds(request, candidate, recompute, imported) * slowdown(candidate)
}

// StartDelay returns the estimated time until the endpoint starts the request, in seconds.
func StartDelay(request *Request, candidate *Candidate) float64 {
	queued := prefillSeconds(request, candidate, candidate.QueuedTokens, 0) * slowdown(candidate)
	return max(queued, slotWait(request, candidate), memoryWait(request, candidate))
}

// slowdown returns the factor by which decoding sequences slow down prefill.
func slowdown(candidate *Candidate) float64 { return capacity.Slowdown(candidate.Running) }

// slotWait returns the estimated time until a slot is free for the request. Requests with
// short prompts and answers wait for slots rather than for the prefill of others.
func slotWait(request *Request, candidate *Candidate) float64 {
	if candidate.Slots <= 0 {
		return 0
	}
	slotSeconds := request.SlotSeconds
	if candidate.SlotSeconds > 0 {
		slotSeconds = candidate.SlotSeconds
	}
	excess := max(0, candidate.Running+1-candidate.Slots)
	return float64(excess) / float64(candidate.Slots) * slotSeconds
}
