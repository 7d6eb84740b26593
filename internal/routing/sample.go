package routing

import "slices"

const (
	// sampledPerGroup is the number of candidates sampled at random from those with the
	// newest weights, and from all others. Two are enough to spread the load.
	sampledPerGroup = 2
	// affinityKept is the number of candidates kept by affinity rank.
	affinityKept = 2
	// hitsKept is the number of candidates kept because they hold most of the prefix.
	hitsKept = 2
)

// sampleCandidates reduces the accepted candidates to those that a request may choose
// from: the first ones by affinity, those that hold most of its prefix, and a random
// sample of those with the newest weights and of all others. Nodes learn of each other's
// choices with a delay. If they all picked the best of all candidates, they would all send
// the requests of that time to the same endpoint, whose queue would outgrow all others.
func sampleCandidates(seed uint64, candidates []Candidate, accepted []int) []int {
	newest := int64(0)
	for _, index := range accepted {
		newest = max(newest, candidates[index].Version)
	}
	hitGroup := &topK{limit: hitsKept, score: func(index int) uint64 { return uint64(candidates[index].HitBlocks) }}
	newestGroup := &topK{limit: sampledPerGroup, score: func(index int) uint64 { return mix(seed ^ candidates[index].Affinity) }}
	olderGroup := &topK{limit: sampledPerGroup, score: newestGroup.score}
	var sampled []int
	for _, index := range accepted {
		switch c := &candidates[index]; {
		case c.AffinityRank < affinityKept:
			sampled = append(sampled, index)
			continue
		case c.HitBlocks > 0:
			hitGroup.offer(index)
		}
		if candidates[index].Version == newest {
			newestGroup.offer(index)
		} else {
			olderGroup.offer(index)
		}
	}
	for _, group := range []*topK{hitGroup, newestGroup, olderGroup} {
		for _, index := range group.indexes {
			if !slices.Contains(sampled, index) {
				sampled = append(sampled, index)
			}
		}
	}
	return sampled
}

// topK keeps the indexes with the highest scores, up to limit.
type topK struct {
	limit   int
	score   func(index int) uint64
	indexes []int
}

func (t *topK) offer(index int) {
	if len(t.indexes) < t.limit {
		t.indexes = append(t.indexes, index)
		return
	}
	lowest := slices.MinFunc(t.indexes, func(i, j int) int {
		switch first, second := t.score(i), t.score(j); {
		case first < second:
			return -1
		case first > second:
			return 1
		default:
			return 0
		}
	})
	if t.score(index) > t.score(lowest) {
		t.indexes[slices.Index(t.indexes, lowest)] = index
	}
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
