package routing

// pickEqual returns the candidate that the hash of the request selects among those that cost at most
// margin seconds more than the cheapest one and are no farther away. Nodes that decide between two
// reports know nothing of each other's choices: without it, all would choose the endpoint that was
// cheapest at the report.
func pickEqual(request *Request, candidates []Candidate, accepted []int, costs []float64, cheapest int) int {
	if request.EqualMargin <= 0 || cheapest < 0 {
		return cheapest
	}
	limit := request.EqualMargin
	for position, index := range accepted {
		if index == cheapest {
			limit += costs[position]
		}
	}
	chosen, highest := cheapest, uint64(0)
	for position, index := range accepted {
		c := &candidates[index]
		if costs[position] > limit || c.Distance > candidates[cheapest].Distance {
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
