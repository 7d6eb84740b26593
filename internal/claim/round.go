package claim

import "time"

// Decision is the outcome of a round.
type Decision uint8

// The decisions.
const (
	// Undecided means that the round waits for more responses.
	Undecided Decision = iota
	// Won means that this owner, and no other, may send the request.
	Won
	// Duplicate means that another owner has, or had, the key.
	Duplicate
	// Unavailable means that too few holders responded or had the history to decide.
	Unavailable
)

// Round is one owner's attempt to claim a key.
type Round struct {
	config    Config
	startedAt time.Time
	holders   []string
	responses map[string]Response
	decision  Decision
	status    Status
}

// NewRound returns a round that requests a key from the holders.
func NewRound(config Config, startedAt time.Time, holders []string) *Round {
	return &Round{config: config, startedAt: startedAt, holders: holders, responses: map[string]Response{}}
}

// Receive processes one holder's response and returns the decision. A decision is
// final: a late grant must not turn a rejection into a dispatch.
func (round *Round) Receive(now time.Time, holder string, response Response) Decision {
	if round.decision != Undecided {
		return round.decision
	}
	if now.Sub(round.startedAt) > round.config.RoundTimeout {
		round.decision = Unavailable
		return round.decision
	}
	round.responses[holder] = response
	round.decide()
	return round.decision
}

// NoResponse records that a holder did not respond.
func (round *Round) NoResponse(now time.Time, holder string) Decision {
	return round.Receive(now, holder, Response{Verdict: Abstained})
}

// Status returns the status of the existing claim after a Duplicate decision.
func (round *Round) Status() Status { return round.status }

func (round *Round) decide() {
	granted, taken := 0, 0
	for _, response := range round.responses {
		switch response.Verdict {
		case Granted:
			granted++
		case Taken:
			taken++
			round.status = max(round.status, response.Status)
		}
	}
	needed := Majority(len(round.holders))
	pending := len(round.holders) - len(round.responses)
	switch {
	case granted >= needed:
		round.decision = Won
	case taken >= needed || (taken > 0 && round.status == Completed):
		round.decision = Duplicate
	case granted+pending < needed:
		round.decision = Unavailable
	}
}

// String returns the decision's name, which is used as a metric label.
func (decision Decision) String() string {
	return [...]string{"undecided", "won", "duplicate", "unavailable"}[decision]
}
