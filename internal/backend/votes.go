package backend

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/capacity"
)

// voteAfterResponse is how long after the last response of a server a node without work on it still
// votes. Most attempts are shorter than the interval between reports, so that few nodes would vote
// while they have work.
const voteAfterResponse = 2 * time.Second

// Vote returns this node's vote on the prefill rate of the server with the given ServerKey, or 0.
type Vote func(server uint64, now time.Time) capacity.Votes

// SetVote sets the source of the votes that Work reports. The function is called with the lock of
// the Set held and must not call the Set.
func (set *Set) SetVote(vote Vote) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	set.vote = vote
}

// voteOn returns this node's vote on a server on which it has or recently had work.
func (set *Set) voteOn(s *entry, now time.Time) capacity.Votes {
	if set.vote == nil || s.inFlight == 0 && now.Sub(s.lastResponseAt) > voteAfterResponse {
		return 0
	}
	return set.vote(s.key, now)
}
