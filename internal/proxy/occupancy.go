package proxy

import (
	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// cacheTokens returns the capacity of a server's KV cache, or 0 if placements do not consider it:
// they do for services that routes of different priority share.
func (placer *placer) cacheTokens() int {
	if placer.prompt() == nil || !placer.sharesPriorities() {
		return 0
	}
	return placer.admitted.service.Engine.CacheTokens
}

// residentPrefixes returns the parts of the prompt whose memory running requests share, or nil if
// the memory does not matter. Their keys are the same for all versions of the weights, since a
// server has one at a time.
func (placer *placer) residentPrefixes() []backend.Prefix {
	if placer.cacheTokens() == 0 {
		return nil
	}
	if placer.resident == nil {
		scope := placer.cacheScope()
		for _, part := range placer.sharedParts() {
			key := uint64(prefix.HashName(scope + "/" + part.ID))
			placer.resident = append(placer.resident, backend.Prefix{Key: key, Tokens: part.Tokens})
		}
	}
	return placer.resident
}

// privateTokens returns the prompt and output tokens of the request that no other request shares, or
// 0 if the memory does not matter.
func (placer *placer) privateTokens() int {
	if placer.cacheTokens() == 0 {
		return 0
	}
	return max(0, placer.prompt().Tokens-placer.sharedTokens()) + placer.prompt().Output
}

// annotateOccupancy fills in the capacity of the candidates' KV caches.
func (placer *placer) annotateOccupancy(candidates []routing.Candidate) {
	capacity := placer.cacheTokens()
	for i := range candidates {
		candidates[i].CacheTokens = capacity
	}
}
