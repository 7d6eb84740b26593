package admission

const (
	// headShare is the share of the budget for requests that their heads may hold, so that clients which send heads without
	// end do not take what bodies need.
	headShare = 0.5
	// freeHeadBytes is the cost up to which a head is not counted: each connection has that much.
	freeHeadBytes = 8 << 10
	// headByteCost and headLineCost are what a byte and a line of a head cost in bytes: it is read, parsed, and copied for
	// servers.
	headByteCost = 3
	headLineCost = 256
)

// Heads returns the part of the budget for requests that their heads may hold.
func (budget *MemoryBudget) Heads() *MemoryBudget {
	if budget == nil {
		return nil
	}
	return &MemoryBudget{limit: int64(headShare * float64(budget.limit)), whole: budget}
}

// HeadHold is the bytes that the head of one request holds. The zero value holds none and counts nothing. It is not safe for
// concurrent use.
type HeadHold struct {
	budget  *MemoryBudget
	cost    int64
	charged int64
}

// HoldHead returns an empty hold on the budget. Release must be called when the request has ended.
func (budget *MemoryBudget) HoldHead() HeadHold { return HeadHold{budget: budget} }

// Add takes what a part of a head costs. After a refusal the hold is as before.
func (hold *HeadHold) Add(bytes, lines int) *MemoryRefusal {
	if hold.budget == nil {
		return nil
	}
	cost := hold.cost + headByteCost*int64(bytes) + headLineCost*int64(lines)
	charged := max(0, cost-freeHeadBytes)
	if wanted := charged - hold.charged; wanted > 0 && !hold.budget.charge(wanted) {
		return hold.budget.refuse(wanted)
	}
	hold.cost, hold.charged = cost, charged
	return nil
}

// Release returns the bytes to the budget.
func (hold *HeadHold) Release() {
	if hold.charged > 0 {
		hold.budget.charge(-hold.charged)
	}
	hold.cost, hold.charged = 0, 0
}
