package routing

// keepTimely adds candidates that meet the target to the sample if it has none. They are a random
// sample themselves, since requests that all chose the best of them would overload it.
func keepTimely(request *Request, candidates []Candidate, accepted, sampled []int) []int {
	if request.TargetSeconds <= 0 {
		return sampled
	}
	for _, index := range sampled {
		if MeetsTarget(request, &candidates[index]) {
			return sampled
		}
	}
	timely := &topK{limit: sampledPerGroup, score: func(index int) uint64 { return mix(request.SampleSeed ^ candidates[index].Affinity) }}
	for _, index := range accepted {
		if MeetsTarget(request, &candidates[index]) {
			timely.offer(index)
		}
	}
	return append(sampled, timely.indexes...)
}
