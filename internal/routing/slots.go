package routing

// scarceUtilization is the slot utilization above which slots are scarce. Load is bursty, so
// some endpoints are full long before all are.
const spareSlots = 0.5

// SlotUtilization returns the share of slots in use on the endpoints that accept requests.
func SlotsTaken(candidates []Candidate) float64 {
	running, slots := 0, 0
	for i := range candidates {
		if c := &candidates[i]; c.Ready && !c.Leaving && !c.Down && !c.Resting && c.RestLeft == 0 && c.LimitWait == 0 {
			running += c.Running
			slots += c.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return float64(running) / float64(slots)
}

// SlotsScarce reports whether the endpoints are short of free slots.
func Scarce(candidates []Candidate) bool { return SlotsTaken(candidates) > spareSlots }
