// Package exchange sends one request to servers, with retries, until its caller has a
// complete response or a final failure. It handles plain requests and streams.
//
// Machine is a pure state machine that maps events to actions. Run performs the actions.
package exchange

import (
	"fmt"
	"slices"
	"time"

	"github.com/cloverrail/cloverrail/internal/failure"
)

// Rules limits the attempts of one request.
type Rules struct {
	// Repeatable is set if the request may run more than once, or if its stream can be
	// resumed after the last event.
	Repeatable bool
	// MaxRuns bounds the attempts that may have run, apart from those that a failed path cut off.
	MaxRuns int
	// MaxSends bounds all attempts, including those that certainly did not run. Further ones of a stream that was given up for
	// its server's silence, or cut off by its path, are charged to the budget one by one, with a delay.
	MaxSends int
	// PlacementWait bounds the wait for a server with free capacity.
	PlacementWait time.Duration
	// RetryAfter is the minimum retry delay given to the caller with a failure.
	RetryAfter time.Duration
}

// DefaultMaxSends is the default for Rules.MaxSends.
const DefaultMaxSends = 6

const callerLeft = "the caller disconnected before the response was complete"

const (
	// placementRetryDelay is the delay between placements while no server has free capacity.
	placementRetryDelay = 20 * time.Millisecond
	// longWaitRetryDelay is the same while the request waits for longer than Rules.PlacementWait.
	longWaitRetryDelay = 50 * time.Millisecond
	// continuationDelay is the delay between tries to continue a stream that no server has broken off.
	continuationDelay = 100 * time.Millisecond
)

// Budget permits or denies retries; see package retry.
type Budget interface {
	Withdraw(now time.Time) bool
}

// phase is the phase of the current attempt.
type phase int

const (
	placing phase = iota
	sent
	streaming
	// releasing is the wait until the previous attempt has ended at its server.
	releasing
	// awaitingRetry is the wait until the budget permits the next attempt.
	awaitingRetry
	finished
)

// Machine is the state machine of one request.
//
// Invariants: an attempt that may have run is retried only if the request is
// repeatable; at most Rules.MaxRuns attempts may have run that no failed path cut off; the
// caller gets one head and one end, and no event twice; a failure states NotRun only if
// every attempt was refused by its server or never reached one, and a response that
// promises as much is not delivered; an attempt that may still run is released before the
// next one is placed; a stream that was given up for its server's silence alone, or cut off
// by a failed path, is not aborted because no server or retry is available at the moment.
type Machine struct {
	rules  Rules
	budget Budget

	phase phase
	// server is the server of the latest attempt; "" once that may be used again.
	server   string
	excluded []string
	// silentServers holds those of the excluded servers that were only silent, and may be used again if no other can serve.
	silentServers []string
	// owesContinuation is set while the caller has events of a stream that was given up for its server's silence, or cut off
	// by its path, and no other server has taken it. declined holds those of the excluded servers that have not taken it since.
	owesContinuation bool
	declined         []string
	sends            int
	// runs counts the attempts that may have run, and cutOffRuns those of them that a failed path cut off.
	runs       int
	cutOffRuns int
	// brokenBy is how the attempt that is being released broke, while it is not decided whether another one follows.
	brokenBy *Broken
	// placingSince is when the current placement began; zero if there is none.
	placingSince time.Time
	// retryAfter is the time until servers accept requests again, as far as they have
	// announced it; 0 if unknown.
	retryAfter  time.Duration
	stashed     bool
	headSent    bool
	resumes     bool
	lastEventID int64
}

// NewMachine returns the machine of a new request. If the caller resumes a stream itself,
// resumeAfter is the ID of the last event that it has.
func NewMachine(rules Rules, budget Budget, resumeAfter *int64) *Machine {
	machine := &Machine{rules: rules, budget: budget}
	if resumeAfter != nil {
		machine.resumes, machine.lastEventID = true, *resumeAfter
	}
	return machine
}

// Start returns the first action.
func (machine *Machine) Start(now time.Time) []Action {
	machine.placingSince = now
	return []Action{Place{}}
}

// Finished reports whether the request has ended.
func (machine *Machine) Finished() bool { return machine.phase == finished }

// Runs returns the number of attempts that may have run.
func (machine *Machine) Runs() int { return machine.runs }

// Sends returns the number of attempts.
func (machine *Machine) Sends() int { return machine.sends }

// Step processes an event and returns the actions to perform. It returns none once the
// request has ended.
func (machine *Machine) Step(now time.Time, event Event) []Action {
	if machine.phase == finished {
		return nil
	}
	switch event := event.(type) {
	case Placed:
		return machine.placed(event)
	case Unplaced:
		return machine.unplaced(now, event)
	case Refused:
		return machine.notRun(now, "the server refused the request: "+event.Reason, true)
	case Unreached:
		return machine.notRun(now, "the server cannot be reached: "+event.Reason, false)
	case Answered:
		return machine.answered(now, event)
	case Unvouched:
		return machine.unvouched(now, event)
	case Opened:
		machine.phase = streaming
		return nil
	case Arrived:
		return machine.arrived(event)
	case Ended:
		machine.phase = finished
		return append(machine.sendHead(), Finish{})
	case Broken:
		return machine.broken(now, event)
	case Silent:
		return machine.silent(now)
	case Late:
		return machine.retryOrFail(now, "the server did not start the request in time")
	case Released:
		return machine.released(now, event.Reason)
	case RetryDue:
		return machine.retryDue(now)
	case Expired:
		return machine.expired()
	case Stopping:
		return machine.abandon(failure.KindStopping, "this node is shutting down", "send the request to another node")
	case CallerLeft:
		return machine.abandon(failure.KindCallerLeft, callerLeft+": "+event.Reason, "send the request again")
	default:
		return nil
	}
}

func (machine *Machine) placed(event Placed) []Action {
	machine.phase = sent
	machine.server = event.Server
	machine.placingSince = time.Time{}
	machine.sends++
	// The attempt counts as run unless the server denies it or was not reached.
	machine.runs++
	return []Action{Send{Resumes: machine.resumes, After: machine.lastEventID}}
}

// expired ends a request whose deadline has passed.
func (machine *Machine) expired() []Action {
	return machine.abandon(failure.KindDeadline, "the request's deadline has passed", "set a longer timeout, or send the request again")
}

func (machine *Machine) unplaced(now time.Time, event Unplaced) []Action {
	if event.Expired {
		return machine.expired()
	}
	if !event.Permanent && now.Sub(machine.placingSince) < max(machine.rules.PlacementWait, event.Wait) {
		delay := placementRetryDelay
		if event.Wait > 0 {
			delay = longWaitRetryDelay
		}
		return []Action{Place{Excluded: machine.excluded, Delay: delay}}
	}
	if event.Refusal != nil && !(machine.owesContinuation && event.Refusal.RetryAfter > 0) {
		return machine.refuse(event.Refusal)
	}
	if len(machine.silentServers) > 0 {
		return machine.placeSilent(now)
	}
	if machine.owesContinuation && !event.Final {
		return machine.placeDeclined()
	}
	machine.retryAfter = event.RetryAfter
	return machine.fail(failure.KindNoEndpoint, "no server can accept the request: "+event.Reason, "send the request again, or add servers")
}

func (machine *Machine) answered(now time.Time, event Answered) []Action {
	if machine.headSent {
		// The caller already has the head of another response.
		return machine.retryOrFail(now, "the server did not resume the stream")
	}
	if event.Faulty && machine.takeRetry(now, true) == retryAllowed {
		machine.stashed = true
		return append([]Action{Stash{}}, machine.place(now)...)
	}
	machine.phase = finished
	return []Action{Deliver{}}
}

// unvouched handles a response that is not delivered. The attempt has ended at its server, as after any response.
func (machine *Machine) unvouched(now time.Time, event Unvouched) []Action {
	machine.owesContinuation = false
	denied := machine.takeRetry(now, true)
	if denied == retryAllowed {
		return append([]Action{Cancel{}}, machine.place(now)...)
	}
	return machine.giveUp(fmt.Sprintf("the server responded with status %d and did not state that the request did not run", event.Status), denied)
}

// sendHead commits the response to the current attempt's head, unless the caller has one already. A stream that fails
// before its first event can still be answered with a failure, or with the response of another server.
func (machine *Machine) sendHead() []Action {
	if machine.headSent {
		return nil
	}
	machine.headSent = true
	// The stashed response can no longer be delivered.
	machine.stashed = false
	return []Action{Open{}}
}

func (machine *Machine) arrived(event Arrived) []Action {
	if event.HasID {
		if machine.resumes && event.ID <= machine.lastEventID {
			return nil
		}
		machine.resumes, machine.lastEventID = true, event.ID
	}
	machine.owesContinuation = false
	return append(machine.sendHead(), Forward{})
}

// silent cancels a silent attempt only if it may be retried. If only the budget forbids that now, it is checked again.
func (machine *Machine) silent(now time.Time) []Action {
	if !machine.inFlight() {
		return nil
	}
	switch machine.takeRetry(now, true) {
	case retryAllowed:
		machine.silentServers = append(machine.silentServers, machine.server)
		machine.owesContinuation = machine.headSent
		return machine.release()
	case deniedByBudget:
		return []Action{RecheckSilence{}}
	default:
		return nil
	}
}

// inFlight reports whether an attempt has been sent and has not been given up.
func (machine *Machine) inFlight() bool { return machine.phase == sent || machine.phase == streaming }

// release gives up an attempt that its server may still work on. The next one is placed once that has ended, since
// servers must not work on a request at the same time.
func (machine *Machine) release() []Action {
	machine.phase = releasing
	return []Action{Cancel{}, AwaitRelease{}}
}

func (machine *Machine) released(now time.Time, reason ReleaseReason) []Action {
	switch {
	case machine.phase != releasing:
		return nil
	case machine.brokenBy == nil:
		if reason == ReleaseUnreachable && machine.owesContinuation {
			machine.cutOff()
		}
		return machine.place(now)
	}
	by := machine.brokenBy
	machine.brokenBy = nil
	if by.PathFailed || reason == ReleaseUnreachable {
		machine.cutOff()
	}
	return machine.continueOrFail(now, by.problem(), true)
}

// cutOff records that a failed path cut the attempt off. It is no run, and its server may be used again.
func (machine *Machine) cutOff() {
	machine.cutOffRuns++
	machine.silentServers = slices.DeleteFunc(machine.silentServers, func(server string) bool { return server == machine.server })
	machine.server, machine.owesContinuation = "", true
}

// broken handles an attempt that broke after it was sent. Whether a stream goes on that the caller has events of is decided
// once the attempt is released: then it is known whether the server has failed or the path to it.
func (machine *Machine) broken(now time.Time, by Broken) []Action {
	if !machine.headSent || !machine.rules.Repeatable {
		return machine.retryOrFail(now, by.problem())
	}
	machine.owesContinuation, machine.brokenBy = false, &by
	return machine.release()
}

func (b *Broken) problem() string { return "the attempt failed after it was sent: " + b.Reason }

// notRun handles an attempt that certainly did not run. If it reached the server, a retry is charged to the budget.
func (machine *Machine) notRun(now time.Time, reason string, reachedServer bool) []Action {
	machine.runs--
	if machine.owesContinuation {
		machine.declined = append(machine.declined, machine.server)
	}
	return machine.continueOrFail(now, reason, reachedServer)
}

// continueOrFail places the next attempt if that is permitted. A stream that no server has broken off waits for a retry.
func (machine *Machine) continueOrFail(now time.Time, reason string, reachedServer bool) []Action {
	denied := machine.takeRetry(now, reachedServer)
	switch {
	case denied == retryAllowed:
		return append([]Action{Cancel{}}, machine.place(now)...)
	case machine.owesContinuation && (denied == deniedByBudget || denied == deniedBySends):
		machine.phase = awaitingRetry
		return []Action{Cancel{}, AwaitRetry{Delay: continuationDelay}}
	default:
		return machine.giveUp(reason, denied)
	}
}

// retryDue tries again to charge the next attempt of a stream to the budget.
func (machine *Machine) retryDue(now time.Time) []Action {
	switch {
	case machine.phase != awaitingRetry:
		return nil
	case machine.budget.Withdraw(now):
		return machine.place(now)
	default:
		return []Action{AwaitRetry{Delay: continuationDelay}}
	}
}

// retryOrFail handles a failed attempt that may have run, and charges a retry to the budget.
func (machine *Machine) retryOrFail(now time.Time, reason string) []Action {
	machine.owesContinuation = false
	denied := machine.takeRetry(now, true)
	if denied == retryAllowed {
		return machine.release()
	}
	return machine.giveUp(reason, denied)
}

// giveUp ends a request whose last attempt has failed, and which is not sent again for the given reason.
func (machine *Machine) giveUp(reason string, denied retryDenial) []Action {
	if machine.stashed {
		machine.phase = finished
		return []Action{Cancel{}, Deliver{}}
	}
	kind := failure.KindBackendFailed
	if machine.headSent {
		kind = failure.KindStreamBroken
	}
	return append([]Action{Cancel{}}, machine.fail(kind, fmt.Sprintf("given up after %d attempts (%s): %s", machine.sends, denied, reason), "send the request again")...)
}

// retryDenial is why no further attempt is permitted.
type retryDenial string

const (
	retryAllowed   retryDenial = ""
	deniedRepeat   retryDenial = "it may not run twice"
	deniedByRuns   retryDenial = "the route allows no more runs"
	deniedBySends  retryDenial = "too many servers did not take it"
	deniedByBudget retryDenial = "the service's retry budget is spent"
)

// takeRetry returns why one more attempt is not permitted, or retryAllowed. It charges a permitted one to the budget if the
// failed one reached the server.
func (machine *Machine) takeRetry(now time.Time, reachedServer bool) retryDenial {
	switch {
	case machine.runs > 0 && !machine.rules.Repeatable:
		return deniedRepeat
	case machine.runs-machine.cutOffRuns >= machine.rules.MaxRuns:
		return deniedByRuns
	case machine.sends >= machine.rules.MaxSends:
		return deniedBySends
	case !reachedServer || machine.budget.Withdraw(now):
		return retryAllowed
	default:
		return deniedByBudget
	}
}

func (machine *Machine) place(now time.Time) []Action {
	machine.phase = placing
	machine.placingSince = now
	if machine.server != "" {
		machine.excluded = append(machine.excluded, machine.server)
	}
	return []Action{Place{Excluded: machine.excluded}}
}

// placeSilent places the next attempt with the silent servers no longer excluded, which may go on. Each is used again once,
// unless it is silent again.
func (machine *Machine) placeSilent(now time.Time) []Action {
	readmitted := machine.silentServers
	machine.readmit(readmitted)
	machine.silentServers = nil
	machine.placingSince = now
	return []Action{Place{Excluded: machine.excluded, Readmitted: readmitted}}
}

// placeDeclined places the next attempt later, with the servers no longer excluded that have not taken the stream: they may
// have been full or out of reach for a moment only.
func (machine *Machine) placeDeclined() []Action {
	machine.readmit(machine.declined)
	machine.declined = nil
	return []Action{Place{Excluded: machine.excluded, Delay: continuationDelay}}
}

// readmit ends the exclusion of servers.
func (machine *Machine) readmit(servers []string) {
	isReadmitted := func(server string) bool { return slices.Contains(servers, server) }
	machine.excluded = slices.DeleteFunc(slices.Clone(machine.excluded), isReadmitted)
}

// abandon ends the request and cancels its current attempt.
func (machine *Machine) abandon(kind failure.Kind, problem, remedy string) []Action {
	if !machine.inFlight() {
		return machine.fail(kind, problem, remedy)
	}
	return append([]Action{Cancel{}}, machine.fail(kind, problem, remedy)...)
}

func (machine *Machine) fail(kind failure.Kind, problem, remedy string) []Action {
	return machine.refuse(failure.New(kind, problem, remedy).WithRetryAfter(max(machine.rules.RetryAfter, machine.retryAfter)))
}

// refuse ends the request with a failure.
func (machine *Machine) refuse(refusal *failure.Failure) []Action {
	machine.phase = finished
	final := refusal.WithOutcome(machine.outcome())
	if machine.headSent {
		return []Action{Cut{Failure: final}}
	}
	if machine.stashed {
		return []Action{Deliver{}}
	}
	return []Action{Fail{Failure: final}}
}

func (machine *Machine) outcome() failure.Outcome {
	switch {
	case machine.headSent:
		return failure.Ran
	case machine.runs > 0:
		return failure.Unknown
	default:
		return failure.NotRun
	}
}
