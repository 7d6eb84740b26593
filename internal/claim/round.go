package claim

import "time"

// Decision is what a round came to.
type Decision uint8

// The decisions.
const (
	// Undecided rounds wait for more answers.
	Undecided Decision = iota
	// Won means that the owner, and nobody else, may send the request.
	Won
	// Duplicate means that another owner has, or had, the key.
	Duplicate
	// Unavailable means that too few holders answered or remembered.
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

// NewRound returns a round that asks the holders.
func NewRound(config Config, started time.Time, holders []string) *Round {
	return &Round{config: config, started: started, holders: holders, answered: map[string]Answer{}}
}

// Receive takes one holder's answer. Once decided a round stays so: a grant
// that arrives late must not turn a refusal into a dispatch.
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

// Lost notes that a holder gave no answer.
func (round *Round) Lost(now time.Time, holder string) Decision {
	return round.Receive(now, holder, Answer{Verdict: Abstained})
}

// Status is the status of the claim that a Duplicate ran into.
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

// String names the decision for counters.
func (decision Decision) String() string {
	return [...]string{"undecided", "won", "duplicate", "unavailable"}[decision]
}
