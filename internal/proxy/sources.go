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

// annotateSources says of each candidate from where it can take shared parts that
// it lacks, and how many of them: from the store of kept KV cache if that has all,
// and else from the first server in rendezvous order. The first itself asks the
// second, which stood in for it if it was away.
func (p *placer) annotateSources(candidates []routing.Candidate, now time.Time) {
	all := homesOf(candidates)
	shared, store := p.sharedTokens(), p.store()
	for i := range candidates {
		c := &candidates[i]
		c.ImportBlocks = p.inStore(c.Version, now)
		if store != nil {
			c.ImportFrom = store.Address
		}
		h := all[c.Version]
		peer := h.besides(c)
		if peer == nil || c.ImportBlocks >= shared {
			continue
		}
		c.ImportFrom = peer.Address
		if peer == h.first {
			likely := max(peer.HitBlocks, int(likelyHeld*float64(shared)))
			c.ImportBlocks = max(c.ImportBlocks, likely)
		}
	}
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
	tokens := p.proxy.ledger.Held(store.Address, p.named(version), now)
	p.stored[version] = tokens
	return tokens
}
