package routing

import (
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

// Annotate fills in what the index knows of the candidates and their rendezvous
// weights for the key, which is the prompt's first block where it has one.
// Entries of another incarnation are of no use, whatever they say.
func Annotate(candidates []Candidate, key prefix.Hash, depths []prefixindex.Depth) {
	for index := range candidates {
		candidate := &candidates[index]
		candidate.Affinity = prefix.Weight(key, candidate.Endpoint)
		for _, depth := range depths {
			if depth.Holder.Endpoint == candidate.Endpoint && depth.Holder.Epoch == candidate.Epoch {
				candidate.HitBlocks = max(candidate.HitBlocks, depth.Blocks)
			}
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
