package routing

import (
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

// AffinityKey returns the rendezvous key of a prompt: its first block that no engine
// holds, or its last block. Prompts that differ only in later blocks share the key, so
// all nodes send a new prefix to the same engine. Prompts that share a cached prefix,
// such as a tenant's system prompt, are spread by their first new block.
func AffinityKey(chain []prefix.Hash, depths []prefixindex.Depth, store string) prefix.Hash {
	longestHit := 0
	for _, depth := range depths {
		if depth.Holder.Endpoint != store {
			longestHit = max(longestHit, depth.Blocks)
		}
	}
	return chain[min(longestHit, len(chain)-1)]
}

// Annotate fills in the candidates' cache hits from the index and their rendezvous
// weights for the key. Index entries of other incarnations are ignored. store is the
// endpoint of the KV cache store, whose blocks every candidate can import; "" if there is none.
func (scheduler *Scheduler) Annotate(candidates []Candidate, key prefix.Hash, depths []prefixindex.Depth, store string) {
	clear(scheduler.heldBlocks)
	for _, depth := range depths {
		scheduler.heldBlocks[depth.Holder] = max(scheduler.heldBlocks[depth.Holder], depth.Blocks)
	}
	storeBlocks := 0
	for holder, blocks := range scheduler.heldBlocks {
		if holder.Endpoint == store {
			storeBlocks = blocks
		}
	}
	for index := range candidates {
		candidate := &candidates[index]
		candidate.Affinity = prefix.Weight(key, candidate.Endpoint)
		if len(depths) > 0 {
			holder := prefixindex.NewHolder(candidate.Endpoint, candidate.Epoch)
			candidate.HitBlocks = max(candidate.HitBlocks, scheduler.heldBlocks[holder])
			candidate.ImportBlocks = storeBlocks
		}
	}
}

// Exclude marks the candidates with the given names as excluded.
func Exclude(candidates []Candidate, names []string) {
	for index := range candidates {
		for _, name := range names {
			candidates[index].Excluded = candidates[index].Excluded || name == candidates[index].Endpoint
		}
	}
}
