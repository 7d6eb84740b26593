package routing

import "slices"

const (
	// sampledPerGroup is the number of candidates sampled at random from those with the
	// newest weights, and from all others. Two are enough to spread the load.
	drawn = 2
	// affinityKept is the number of candidates kept by affinity rank.
	firsts = 2
	// hitsKept is the number of candidates kept because they hold most of the prefix.
	kept = 2
)

// sampleCandidates reduces the accepted candidates to those that a request may choose
// from: the first ones by affinity, those that hold most of its prefix, and a random
// sample of those with the newest weights and of all others. Nodes learn of each other's
// choices with a delay. If they all picked the best of all candidates, they would all send
// the requests of that time to the same endpoint, whose queue would outgrow all others.
func sample(draw uint64, candidates []Candidate, accepted []int) []int {
	newest := int64(0)
	for _, index := range accepted {
		newest = max(newest, candidates[index].Version)
	}
	hits := &best{most: kept, measure: func(index int) uint64 { return uint64(candidates[index].HitBlocks) }}
	current := &best{most: drawn, measure: func(index int) uint64 { return mix(draw ^ candidates[index].Affinity) }}
	others := &best{most: drawn, measure: current.measure}
	var sampled []int
	for _, index := range accepted {
		switch c := &candidates[index]; {
		case c.AffinityRank < firsts:
			sampled = append(sampled, index)
			continue
		case c.HitBlocks > 0:
			hits.offer(index)
		}
		if candidates[index].Version == newest {
			current.offer(index)
		} else {
			others.offer(index)
		}
	}
	for _, group := range []*best{hits, current, others} {
		for _, index := range group.indexes {
			if !slices.Contains(sampled, index) {
				sampled = append(sampled, index)
			}
		}
	}
	return sampled
}

// topK keeps the indexes with the highest scores, up to limit.
type best struct {
	most    int
	measure func(index int) uint64
	indexes []int
}

func (b *best) offer(index int) {
	if len(b.indexes) < b.most {
		b.indexes = append(b.indexes, index)
		return
	}
	lowest := slices.MinFunc(b.indexes, func(i, j int) int {
		switch first, second := b.measure(i), b.measure(j); {
		case first < second:
			return -1
		case first > second:
			return 1
		default:
			return 0
		}
	})
	if b.measure(index) > b.measure(lowest) {
		b.indexes[slices.Index(b.indexes, lowest)] = index
	}
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
