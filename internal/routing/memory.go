package routing

// memoryWait returns the estimated time until the request fits into the KV cache of the endpoint, in
// seconds. Requests in flight release their memory within a slot time on average.
func memoryWait(request *Request, candidate *Candidate) float64 {
	excess := excessTokens(request, candidate)
	if excess == 0 {
		return 0
	}
	released := min(candidate.ResidentTokens, candidate.CacheTokens)
	return float64(excess) / float64(released) * request.SlotSeconds
}

// excessTokens returns by how much the request and those in flight exceed the KV cache of the
// endpoint. It is 0 for an endpoint without requests in flight, which has no more room later.
func excessTokens(request *Request, candidate *Candidate) int {
	if candidate.CacheTokens <= 0 || candidate.ResidentTokens <= 0 {
		return 0
	}
	return max(0, candidate.ResidentTokens+NeededTokens(request, candidate)-candidate.CacheTokens)
}

// NeededTokens returns the memory that the request takes in addition to what requests in flight hold.
// It shares a prefix with these only if the endpoint is known to have it cached, since sets of
// prefixes in use are approximate.
func NeededTokens(request *Request, candidate *Candidate) int {
	shared := min(candidate.SharedResidentTokens, candidate.HitBlocks*request.BlockTokens)
	return request.PromptTokens + request.OutputTokens - shared
}
