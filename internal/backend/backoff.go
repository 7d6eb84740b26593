package backend

import "time"

const (
	// maxBackoff caps the backoff that a server requests. A server that erroneously requests more
	// is still probed once per maxBackoff instead of being lost for good.
	longestRest = time.Hour
	// backoffJitter is the fraction of a backoff, and maxJitter the absolute bound, by which its
	// end is randomly delayed, so that nodes refused at the same moment do not return at the same
	// moment.
	restSpread = 0.1
	mostSpread = time.Second
	// defaultSlots is the assumed number of concurrent requests of a server that does not report
	// its slots.
	unknownSlots = 16
)

// backoff tracks a backoff that a server requested from this node (Retry-After), and the slow
// start that follows it. The zero value has no backoff and no slow start.
//
// Slow start begins with a window of one request. Each admitted request widens the window by
// one, so that it doubles per response time, until it reaches the slots of the server. Without
// slow start, an overloaded server is idle after its backoff and looks best to all waiting
// requests of all nodes: 200 of them would arrive within one round trip.
type rest struct {
	until time.Time
	// window is the number of requests sent after the backoff that may be in flight at once; 0
	// means unlimited. windowUsed counts those in flight.
	room   int
	trials int
	// round counts backoffs. Requests sent in an earlier round no longer count.
	round int
}

// start begins a backoff, extended by jitter according to a random fraction from 0 to 1, and
// returns its duration. It counts from the arrival of the response, so that it never ends
// earlier than the server requested.
func (r *rest) ask(length time.Duration, spread float64, now time.Time) time.Duration {
	length = min(length, longestRest)
	length += time.Duration(spread * float64(min(time.Duration(restSpread*float64(length)), mostSpread)))
	if until := now.Add(length); until.After(r.until) {
		r.until = until
	}
	r.room, r.trials = 1, 0
	r.round++
	return length
}

// remaining returns the remaining duration of the backoff.
func (r *rest) left(now time.Time) time.Duration { return max(0, r.until.Sub(now)) }

// windowFull reports whether slow start allows no further request for now: either this node uses
// up its window, or the known work of all nodes fills the slots of the server.
func (r *rest) full(running, slots int) bool {
	return r.room > 0 && (r.trials >= r.room || slots > 0 && running >= slots)
}

// sent records a request. It returns the slow-start round that the request counts toward, or 0
// if the server is not in slow start.
func (r *rest) sent(now time.Time) (round int) {
	if r.room == 0 || r.left(now) > 0 {
		return 0
	}
	r.trials++
	return r.round
}

// admitted widens the window after the server has admitted a request of the given round. It ends
// slow start once the window reaches the slots.
func (r *rest) admitted(round, slots int) {
	if round != r.round || r.room == 0 {
		return
	}
	if slots == 0 {
		slots = unknownSlots
	}
	if r.room++; r.room >= slots {
		r.room = 0
	}
}

// ended records the end of a request of the given round.
func (r *rest) ended(round int) {
	if round == r.round {
		r.trials--
	}
}
