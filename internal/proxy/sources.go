package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// likelyHeld is the share of a prompt's shared parts that the server first in
// rendezvous order is taken to hold if nothing is known of it: requests go there
// first, but parts that are not used for a while give way.
const likelyHeld = 0.7

// homes are the first two usable servers in rendezvous order that hold one
// version of the weights: those that are likely to hold the shared parts.
type homes struct{ first, second *routing.Candidate }

// homesOf returns the homes of each version.
func homesOf(candidates []routing.Candidate) map[int64]homes {
	all := map[int64]homes{}
	for i := range candidates {
		c := &candidates[i]
		if !c.Ready || c.Leaving || c.Down || c.Resting || c.Excluded {
			continue
		}
		h := all[c.Version]
		switch {
		case h.first == nil || c.Affinity > h.first.Affinity:
			h.first, h.second = c, h.first
		case h.second == nil || c.Affinity > h.second.Affinity:
			h.second = c
		}
		all[c.Version] = h
	}
	return all
}

// besides returns the home that is not the candidate itself, or nil.
func (h homes) besides(c *routing.Candidate) *routing.Candidate {
	if h.first == c {
		return h.second
	}
	return h.first
}

// holders are the two usable servers of one version that hold most of the shared
// parts.
type holders struct{ most, next *routing.Candidate }

// holdersOf returns the holders of each version. A server may give parts away that
// takes no requests, but not one that is down or that loads other weights.
func holdersOf(candidates []routing.Candidate) map[int64]holders {
	all := map[int64]holders{}
	for i := range candidates {
		c := &candidates[i]
		if c.HitBlocks == 0 || c.Down || c.Resting || c.Loading {
			continue
		}
		h := all[c.Version]
		switch {
		case h.most == nil || c.HitBlocks > h.most.HitBlocks:
			h.most, h.next = c, h.most
		case h.next == nil || c.HitBlocks > h.next.HitBlocks:
			h.next = c
		}
		all[c.Version] = h
	}
	return all
}

// besides returns the holder that is not the candidate itself, or nil.
func (h holders) besides(c *routing.Candidate) *routing.Candidate {
	if h.most == c {
		return h.next
	}
	return h.most
}

// annotateSources says of each candidate from where it can take shared parts that
// it lacks, and how many of them: from the server that holds most of them, whose
// link is fast, or from the store of kept KV cache if that has more. If neither has
// any, from the first server in rendezvous order, where they are read if anywhere;
// the first itself asks the second, which stood in for it if it was away.
func (p *placer) annotateSources(candidates []routing.Candidate, now time.Time) {
	homes, holders := homesOf(candidates), holdersOf(candidates)
	shared, store := p.sharedTokens(), p.store()
	for i := range candidates {
		c := &candidates[i]
		if store != nil {
			c.ImportFrom, c.ImportBlocks = store.Address, p.inStore(c.Version, now)
		}
		if peer := holders[c.Version].besides(c); peer != nil && peer.HitBlocks >= c.ImportBlocks {
			c.ImportFrom, c.ImportBlocks = peer.Address, peer.HitBlocks
			c.ImportTokensPerSecond = peerSpeed(p.admitted.service.Engine, peer.Zone == c.Zone)
			continue
		}
		h := homes[c.Version]
		peer := h.besides(c)
		if peer == nil || c.ImportBlocks >= shared {
			continue
		}
		c.ImportFrom = peer.Address
		if peer == h.first {
			c.ImportBlocks = max(c.ImportBlocks, int(likelyHeld*float64(shared)))
		}
	}
}

// farShare is the share of an engine's speed at which it takes parts from a server
// in another zone.
const farShare = 0.5

// peerSpeed is how many tokens an engine takes from another one in a second.
func peerSpeed(engine *catalog.Engine, near bool) float64 {
	if engine == nil || engine.TokenBytes <= 0 {
		return 0
	}
	speed := engine.LinkBitsPerSecond / 8 / engine.TokenBytes
	if !near {
		speed *= farShare
	}
	return speed
}

// store returns the store of kept KV cache that is to hold the prompt's shared
// parts: the first in rendezvous order, so that each part lies in one store. It is
// nil if there is none that answers: asking a dead one costs the server time.
func (p *placer) store() *catalog.PrefixStore {
	var first *catalog.PrefixStore
	var highest uint64
	key := p.affinityKey()
	for _, store := range p.admitted.belief.Snapshot.Stores() {
		if p.proxy.ledger.Down(store.Address) {
			continue
		}
		if weight := prefix.Weight(key, store.Address); first == nil || weight > highest {
			first, highest = store, weight
		}
	}
	return first
}

// inStore returns how many leading tokens of the shared parts the store of kept
// KV cache has at a version.
func (p *placer) inStore(version int64, now time.Time) int {
	if tokens, looked := p.stored[version]; looked {
		return tokens
	}
	store := p.store()
	if store == nil {
		return 0
	}
	tokens := p.proxy.ledger.Held(store.Address, "", p.named(version), now)
	p.stored[version] = tokens
	return tokens
}
