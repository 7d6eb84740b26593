// Package overload decides which requests of an overloaded service are sent to servers now, and
// which are refused with a time at which they can be served. Its decisions depend only on their
// arguments and on what was recorded before: it uses no clock, network or log.
//
// Package proxy asks for a decision after placement has chosen a server and before the request is
// sent, so that a refused request has not run.
package overload

import "time"

// RankCount is the number of urgency ranks; 0 is the most urgent.
const RankCount = 10

// State is the state of a service.
type State int

// The states of a service.
const (
	Normal State = iota
	// Pressure means that requests of some class miss their target latency.
	Pressure
)

// String returns the name of the state in logs.
func (s State) String() string {
	if s == Pressure {
		return "pressure"
	}
	return "normal"
}

// Request is a request that is about to be sent to a chosen server, and the state of the service.
type Request struct {
	// Rank is the urgency rank; 0 is the most urgent.
	Rank int
	// Predicted is the predicted time to the first token on the chosen server, and Own the part of
	// it that the request's own prompt takes, which a later attempt does not save.
	Predicted time.Duration
	Own       time.Duration
	// Target is what is left of the target latency, negative if it has passed, and FullTarget the
	// whole of it, which applies to a caller that returns.
	Target     time.Duration
	FullTarget time.Duration
	// Remaining is the time left until the deadline, and Answer the expected time from the first
	// token to the end of the answer.
	Remaining time.Duration
	Answer    time.Duration
	// MinRetryAfter is the shortest Retry-After that the caller can be given.
	MinRetryAfter time.Duration
	// Tokens is the number of prompt tokens that the server has to compute, and SlotTime the time
	// for which the request will occupy a slot.
	Tokens   float64
	SlotTime time.Duration
	// TokensPerSecond is the total prefill rate of the service's usable servers. SlotsInUse and
	// Slots are sums over the same servers, and Waiting is the number of requests that wait at
	// them, 0 if a request can start at any of them without waiting.
	TokensPerSecond float64
	SlotsInUse      int
	Slots           int
	Waiting         int
	// Caller is the same number for all attempts of the caller with this request, and Shortened
	// is set if the caller states less time than callers do at first.
	Caller    uint64
	Shortened bool
	// Seed is a hash of the request's ID, by which the returns of refused callers are spread.
	Seed uint64
}

// Idle reports whether the service has capacity to spare: under half of its slots are in use and
// nothing waits. A request is then never refused. If the number of slots is unknown, only the
// requests that wait count.
func (r *Request) Idle() bool {
	return r.Waiting == 0 && (r.Slots <= 0 || 2*r.SlotsInUse < r.Slots)
}

// Reason is why a request is refused.
type Reason int

// The reasons.
const (
	// DeadlineMissed means that the first token would come after the request's deadline.
	DeadlineMissed Reason = iota + 1
	// TargetMissed means that the request would miss its target now, and can be on time later.
	TargetMissed
	// Reserved means that capacity is reserved for more urgent requests, and that the request can
	// be on time later.
	Reserved
)

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	switch r {
	case DeadlineMissed:
		return "deadline"
	case TargetMissed:
		return "target"
	case Reserved:
		return "reserved"
	default:
		return ""
	}
}

// Verdict is the decision on a request.
type Verdict struct {
	// Refused is 0 for a request that is to be sent.
	Refused Reason
	// RetryAfter is when a refused caller can be served. Promised is set if the caller can follow
	// it, so that the return counts as an appointment.
	RetryAfter time.Duration
	Promised   bool
	// Deferred is set for a request that is sent although it would miss its target, or although
	// capacity is reserved for more urgent ones: it yields to all others at its server.
	Deferred bool
	// Returning is set if the request is the return of a refused caller at its appointment.
	Returning bool
	// Expected is the predicted time to the first token, with the work of promised returns that
	// go first.
	Expected time.Duration
	// State is the state of the service after the request, and Changed is set if it is a new one.
	State   State
	Changed bool
}
