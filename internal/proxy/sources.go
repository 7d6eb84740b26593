package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// topTwo holds the two candidates with the highest scores among those with the same weights
// and software.
type topTwo struct{ first, second *routing.Candidate }

// excluding returns the best candidate other than c, or nil.
func (pair topTwo) excluding(c *routing.Candidate) *routing.Candidate {
	if pair.first == c {
		return pair.second
	}
	return pair.first
}

// topTwoByBuild returns the two usable candidates with the highest scores for each build.
func topTwoByBuild(candidates []routing.Candidate, usable func(c *routing.Candidate) bool, score func(c *routing.Candidate) uint64) map[cacheBuild]topTwo {
	best := map[cacheBuild]topTwo{}
	for i := range candidates {
		c := &candidates[i]
		if !usable(c) {
			continue
		}
		pair := best[cacheBuildOf(c)]
		switch {
		case pair.first == nil || score(c) > score(pair.first):
			pair.first, pair.second = c, pair.first
		case pair.second == nil || score(c) > score(pair.second):
			pair.second = c
		}
		best[cacheBuildOf(c)] = pair
	}
	return best
}

// preferredByBuild returns the first two usable servers in rendezvous order for each
// build. Requests prefer these servers, so they may hold the shared parts even if that
// has not been observed.
func preferredByBuild(candidates []routing.Candidate) map[cacheBuild]topTwo {
	usable := func(c *routing.Candidate) bool {
		return c.Ready && !c.Leaving && !c.Down && !c.BreakerOpen && !c.Excluded && c.BackoffLeft == 0 && c.LimitWait == 0
	}
	return topTwoByBuild(candidates, usable, func(c *routing.Candidate) uint64 { return c.Affinity })
}

// holdersByBuild returns the two servers that hold most of the shared parts for each
// build. A server that accepts no requests may still serve imports, unless it is down,
// its circuit breaker is open, it loads other weights, or it has requested a backoff.
func holdersByBuild(candidates []routing.Candidate) map[cacheBuild]topTwo {
	usable := func(c *routing.Candidate) bool {
		return c.HitBlocks > 0 && !c.Down && !c.BreakerOpen && !c.Loading && c.BackoffLeft == 0
	}
	return topTwoByBuild(candidates, usable, func(c *routing.Candidate) uint64 { return uint64(c.HitBlocks) })
}

// annotateSources sets where each candidate can import missing shared parts from, and how
// many blocks. The source is the server that holds most of them, or the KV cache store if
// that has more; on a tie it is the server, since all engines share the store's link. If
// neither is known to hold all shared parts, the source is the first server in rendezvous
// order, without any expected blocks. The first server itself uses the second, which
// replaces it while it is away.
func (p *placer) annotateSources(candidates []routing.Candidate, now time.Time) {
	preferred, holders := preferredByBuild(candidates), holdersByBuild(candidates)
	shared, store := p.sharedTokens(), p.store()
	for i := range candidates {
		c := &candidates[i]
		if store != nil {
			c.ImportFrom, c.ImportBlocks = store.Address, p.tokensInStore(cacheBuildOf(c), now)
		}
		if peer := holders[cacheBuildOf(c)].excluding(c); peer != nil && peer.HitBlocks >= c.ImportBlocks {
			c.ImportFrom, c.ImportBlocks = peer.Address, peer.HitBlocks
			c.ImportTokensPerSecond = peerImportRate(p.admitted.service.Engine, peer.Zone == c.Zone)
			continue
		}
		if peer := preferred[cacheBuildOf(c)].excluding(c); peer != nil && c.ImportBlocks < shared {
			c.ImportFrom = peer.Address
		}
	}
}

// crossZoneShare is the fraction of an engine's link rate that imports from a server in
// another zone achieve.
const crossZoneShare = 0.5

// peerImportRate returns how many tokens per second an engine can import from another.
func peerImportRate(engine *catalog.Engine, sameZone bool) float64 {
	if engine == nil || engine.TokenBytes <= 0 {
		return 0
	}
	rate := engine.LinkBitsPerSecond / 8 / engine.TokenBytes
	if !sameZone {
		rate *= crossZoneShare
	}
	return rate
}

// store returns the KV cache store for the prompt's shared parts: the first in rendezvous
// order, so that each part is kept in one store. It returns nil if no store is up, since a
// fetch from a store that is down costs the server time.
func (p *placer) store() *catalog.PrefixStore {
	var first *catalog.PrefixStore
	var highest uint64
	key := p.affinityKey()
	for _, store := range p.admitted.replica.Snapshot.Stores() {
		if p.proxy.ledger.Down(store.Address) {
			continue
		}
		if weight := prefix.Weight(key, store.Address); first == nil || weight > highest {
			first, highest = store, weight
		}
	}
	return first
}

// tokensInStore returns how many leading tokens of the shared parts the KV cache store
// holds for a build.
func (p *placer) tokensInStore(build cacheBuild, now time.Time) int {
	if tokens, cached := p.storedTokens[build]; cached {
		return tokens
	}
	store := p.store()
	if store == nil {
		return 0
	}
	tokens := p.proxy.ledger.CachedTokens(store.Address, "", p.piecesAt(build), now)
	p.storedTokens[build] = tokens
	return tokens
}
