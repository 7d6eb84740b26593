package routing

// pickEqual returns the candidate that the hash of the request selects among those that the first one
// precedes by at most the margin of the request and that are no farther away. Nodes that decide
// between two reports know nothing of each other's choices: without it, all would choose the endpoint
// that was first at the report.
func pickEqual(request *Request, candidates []Candidate, accepted []int, ranks []Rank, first int) int {
	if request.EqualMargin <= 0 || first < 0 {
		return first
	}
	var lowest Rank
	for position, index := range accepted {
		if index == first {
			lowest = ranks[position]
		}
	}
	chosen, highest := first, uint64(0)
	for position, index := range accepted {
		c := &candidates[index]
		if lowest.LessBy(request.EqualMargin, ranks[position]) || c.Distance > candidates[first].Distance {
			continue
		}
		if draw := mix(request.SampleSeed ^ c.Affinity); draw >= highest {
			chosen, highest = index, draw
		}
	}
	return chosen
}

// UnreportedWork returns the expected engine time, in seconds per endpoint, of the requests that other
// nodes have sent since the last report on their work, which is age seconds old: the demand of the
// service times the age, spread over the endpoints. The demand follows from the requests that others
// run (Little's law); those that wait for slots do not count.
func UnreportedWork(candidates []Candidate, age, slotSeconds, requestSeconds float64) float64 {
	running, endpoints := 0, 0
	for i := range candidates {
		c := &candidates[i]
		if !c.Ready || c.Leaving || c.Down {
			continue
		}
		endpoints++
		if c.Slots > 0 {
			running += min(c.PeersRunning, c.Slots)
		} else {
			running += c.PeersRunning
		}
	}
	if endpoints == 0 || slotSeconds <= 0 || age <= 0 {
		return 0
	}
	return float64(running) / slotSeconds * age / float64(endpoints) * requestSeconds
}
