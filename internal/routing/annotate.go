package routing

import (
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

// AffinityKey is the rendezvous key of a prompt: its first block that no engine
// holds, or its last one. Prompts that differ only further down share the key,
// so all nodes send a new prefix to the same engine; and prompts that share a
// known beginning, such as one tenant's rules, are spread by what is new.
func AffinityKey(chain []prefix.Hash, depths []prefixindex.Depth, store string) prefix.Hash {
	known := 0
	for _, depth := range depths {
		if depth.Holder.Endpoint != store {
			known = max(known, depth.Blocks)
		}
	}
	return chain[min(known, len(chain)-1)]
}

// Annotate fills in what the index knows of the candidates and their rendezvous
// weights for the key. Entries of another incarnation are of no use, whatever
// they say. Store names the kept-KV store, whose blocks every candidate can
// import; "" means none.
func (scheduler *Scheduler) Annotate(candidates []Candidate, key prefix.Hash, depths []prefixindex.Depth, store string) {
	clear(scheduler.held)
	for _, depth := range depths {
		scheduler.held[depth.Holder] = max(scheduler.held[depth.Holder], depth.Blocks)
	}
	kept := 0
	for holder, blocks := range scheduler.held {
		if holder.Endpoint == store {
			kept = blocks
		}
	}
	for index := range candidates {
		candidate := &candidates[index]
		candidate.Affinity = prefix.Weight(key, candidate.Endpoint)
		if len(depths) > 0 {
			holder := prefixindex.NewHolder(candidate.Endpoint, candidate.Epoch)
			candidate.HitBlocks = max(candidate.HitBlocks, scheduler.held[holder])
			candidate.ImportBlocks = kept
		}
	}
}

// Exclude marks the candidates of the given names.
func Exclude(candidates []Candidate, names []string) {
	for index := range candidates {
		for _, name := range names {
			candidates[index].Excluded = candidates[index].Excluded || name == candidates[index].Endpoint
		}
	}
}
