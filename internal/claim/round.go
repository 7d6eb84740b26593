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
	config   Config
	started  time.Time
	holders  []string
	answered map[string]Answer
	decision Decision
	status   Status
}

// NewRound returns a round that requests a key from the holders.
func NewRound(config Config, started time.Time, holders []string) *Round {
	return &Round{config: config, started: started, holders: holders, answered: map[string]Answer{}}
}

// Receive processes one holder's response and returns the decision. A decision is
// final: a late grant must not turn a rejection into a dispatch.
func (round *Round) Receive(now time.Time, holder string, answer Answer) Decision {
	if round.decision != Undecided {
		return round.decision
	}
	if now.Sub(round.started) > round.config.RoundLimit {
		round.decision = Unavailable
		return round.decision
	}
	round.answered[holder] = answer
	round.decide()
	return round.decision
}

// NoResponse records that a holder did not respond.
func (round *Round) Lost(now time.Time, holder string) Decision {
	return round.Receive(now, holder, Answer{Verdict: Abstained})
}

// Status returns the status of the existing claim after a Duplicate decision.
func (round *Round) Status() Status { return round.status }

func (round *Round) decide() {
	granted, taken := 0, 0
	for _, answer := range round.answered {
		switch answer.Verdict {
		case Granted:
			granted++
		case Taken:
			taken++
			round.status = max(round.status, answer.Status)
		}
	}
	needed := Majority(len(round.holders))
	pending := len(round.holders) - len(round.answered)
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
