package backend

import "time"

const (
	// maxBackoff caps the backoff that a server requests. A server that erroneously requests more
	// is still probed once per maxBackoff instead of being lost for good.
	maxBackoff = time.Hour
	// backoffJitter is the fraction of a backoff, and maxJitter the absolute bound, by which its
	// end is randomly delayed, so that nodes refused at the same moment do not return at the same
	// moment.
	backoffJitter = 0.1
	maxJitter     = time.Second
	// defaultSlots is the assumed number of concurrent requests of a server that does not report
	// its slots.
	defaultSlots = 16
)

// backoff tracks a backoff that a server requested from this node (Retry-After), and the slow
// start that follows it. The zero value has no backoff and no slow start.
//
// Slow start begins with a window of one request. Each admitted request widens the window by
// one, so that it doubles per response time, until it reaches the slots of the server. Without
// slow start, an overloaded server is idle after its backoff and looks best to all waiting
// requests of all nodes: 200 of them would arrive within one round trip.
type backoff struct {
	until time.Time
	// window is the number of requests sent after the backoff that may be in flight at once; 0
	// means unlimited. windowUsed counts those in flight.
	window     int
	windowUsed int
	// round counts backoffs. Requests sent in an earlier round no longer count.
	round int
}

// start begins a backoff, extended by jitter according to a random fraction from 0 to 1, and
// returns its duration. It counts from the arrival of the response, so that it never ends
// earlier than the server requested.
func (b *backoff) start(duration time.Duration, fraction float64, now time.Time) time.Duration {
	duration = min(duration, maxBackoff)
	duration += time.Duration(fraction * float64(min(time.Duration(backoffJitter*float64(duration)), maxJitter)))
	if until := now.Add(duration); until.After(b.until) {
		b.until = until
	}
	b.window, b.windowUsed = 1, 0
	b.round++
	return duration
}

// remaining returns the remaining duration of the backoff.
func (b *backoff) remaining(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }

// windowFull reports whether slow start allows no further request for now: either this node uses
// up its window, or the known work of all nodes fills the slots of the server.
func (b *backoff) windowFull(running, slots int) bool {
	return b.window > 0 && (b.windowUsed >= b.window || slots > 0 && running >= slots)
}

// sent records a request. It returns the slow-start round that the request counts toward, or 0
// if the server is not in slow start.
func (b *backoff) sent(now time.Time) (round int) {
	if b.window == 0 || b.remaining(now) > 0 {
		return 0
	}
	b.windowUsed++
	return b.round
}

// admitted widens the window after the server has admitted a request of the given round. It ends
// slow start once the window reaches the slots.
func (b *backoff) admitted(round, slots int) {
	if round != b.round || b.window == 0 {
		return
	}
	if slots == 0 {
		slots = defaultSlots
	}
	if b.window++; b.window >= slots {
		b.window = 0
	}
}

// ended records the end of a request of the given round.
func (b *backoff) ended(round int) {
	if round == b.round {
		b.windowUsed--
	}
}
