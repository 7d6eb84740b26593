package admission

// messageShare is the share of the budget for requests that messages of other nodes may hold while they arrive, so that whoever
// sends such messages slowly does not take what clients' requests need.
const messageShare = 0.25

// Messages returns the part of the budget for requests that messages of other nodes may hold until they are decoded.
func (budget *MemoryBudget) Messages() *MemoryBudget {
	if budget == nil {
		return nil
	}
	return &MemoryBudget{limit: int64(messageShare * float64(budget.limit)), whole: budget}
}
