// Package dispatch carries one request through its attempts until the caller
// has the whole answer or a final refusal.
//
// Machine is a pure state machine: events and a time go in, actions come out.
// Driver performs the actions.
package dispatch

import (
	"fmt"
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/failure"
)

// Target is the engine an attempt was chosen for, and what it held then.
type Target struct {
	Endpoint string
	Address  string
	Epoch    string
	Weights  string
}

// Event is what happened. Events that name an attempt other than the current
// one are late or crossed, and are counted and dropped.
type Event interface{ event() }

// Placed says where the next attempt goes.
type Placed struct {
	Attempt string
	Target  Target
}

// NotPlaced says that no engine can take the request now.
type NotPlaced struct{ Failure *failure.Failure }

// Opened says that an engine answered an attempt's headers.
type Opened struct {
	Attempt string
	Served  engineapi.Served
}

// Received is one event of an answer.
type Received struct {
	Attempt string
	Event   engineapi.Event
}

// NotStarted is an engine's word that it did not start an attempt.
type NotStarted struct {
	Attempt string
	Reason  string
}

// Rejected is an engine's final word on the request itself.
type Rejected struct {
	Attempt string
	Status  int
	Body    []byte
}

// Broken says that an attempt's connection ended without the explicit end.
type Broken struct {
	Attempt string
	Reason  string
}

// TextComplete says that the caller has the whole text of the answer.
type TextComplete struct{}

// Unreadable says that an event of the answer cannot be passed on.
type Unreadable struct{}

// Expired says that the request's deadline has passed.
type Expired struct{}

// CallerLeft says that nobody wants the answer any more.
type CallerLeft struct{}

func (Placed) event()       {}
func (NotPlaced) event()    {}
func (Opened) event()       {}
func (Received) event()     {}
func (NotStarted) event()   {}
func (Rejected) event()     {}
func (Broken) event()       {}
func (TextComplete) event() {}
func (Unreadable) event()   {}
func (Expired) event()      {}
func (CallerLeft) event()   {}

// Action is what the driver must do.
type Action interface{ action() }

// Place asks for an engine that is not excluded.
type Place struct{ Excluded []string }

// Send opens an attempt. ContinueAt is the offset to go on from; 0 starts afresh.
type Send struct {
	Attempt    string
	Target     Target
	ContinueAt int
}

// Resume reopens an attempt's stream after an offset, following a pause.
type Resume struct {
	Attempt string
	Target  Target
	After   int
	Pause   time.Duration
}

// Cancel ends an attempt's work on its engine.
type Cancel struct {
	Attempt string
	Target  Target
}

// Emit passes one event on to the caller.
type Emit struct{ Data []byte }

// Finish ends the answer.
type Finish struct{}

// Fail ends the request with its final answer.
type Fail struct{ Failure *failure.Failure }

// PassRejection hands an engine's refusal of the request itself to the caller.
type PassRejection struct {
	Status int
	Body   []byte
}

func (Place) action()         {}
func (Send) action()          {}
func (Resume) action()        {}
func (Cancel) action()        {}
func (Emit) action()          {}
func (Finish) action()        {}
func (Fail) action()          {}
func (PassRejection) action() {}

// Limits bound a request's attempts.
type Limits struct {
	// Attempts counts engines tried; Resumes counts reopenings in a row that
	// brought nothing new.
	Attempts int
	Resumes  int
	// ResumePause is the wait before the second and later reopenings.
	ResumePause time.Duration
	// ReorderWindow bounds the events held back for a missing earlier one.
	ReorderWindow int
	// RetryAfter is when a caller that was given up on should come back.
	RetryAfter time.Duration
}

// DefaultLimits suit engines that answer within seconds.
var DefaultLimits = Limits{Attempts: 4, Resumes: 2, ResumePause: 50 * time.Millisecond, ReorderWindow: 64, RetryAfter: time.Second}

// Budget permits or denies one more attempt; see package retry.
type Budget interface {
	// Withdraw takes one retry from the budget and reports whether it was there.
	Withdraw(now time.Time) bool
}

// Machine is the state of one request.
type Machine struct {
	limits Limits
	budget Budget

	attempt  string
	target   Target
	attempts int
	resumes  int
	excluded []string
	opened   bool
	// mayHaveRun turns true when an attempt went out and no engine's own word
	// says that it did not start.
	mayHaveRun bool
	next       int
	held       map[int]engineapi.Event
	finished   bool
	complete   bool
	// Dropped counts events of attempts that are not the current one.
	Dropped int
}

// NewMachine returns the machine of a new request.
func NewMachine(limits Limits, budget Budget) *Machine {
	return &Machine{limits: limits, budget: budget, held: map[int]engineapi.Event{}}
}

// Start returns the first action.
func (machine *Machine) Start() []Action {
	return []Action{Place{}}
}

// Finished reports whether the final answer was given.
func (machine *Machine) Finished() bool { return machine.finished }

// Step takes one event. After the final answer it returns no actions.
func (machine *Machine) Step(now time.Time, event Event) []Action {
	if machine.finished {
		return nil
	}
	switch event := event.(type) {
	case Placed:
		return machine.placed(event)
	case NotPlaced:
		return machine.notPlaced(event)
	case Opened:
		return machine.current(event.Attempt, func() []Action { return machine.checkServed(now, event.Served) })
	case Received:
		return machine.current(event.Attempt, func() []Action { return machine.received(event.Event) })
	case NotStarted:
		return machine.current(event.Attempt, func() []Action { return machine.notStarted(now, event.Reason) })
	case Rejected:
		return machine.current(event.Attempt, func() []Action {
			machine.finished = true
			return []Action{PassRejection{Status: event.Status, Body: event.Body}}
		})
	case Broken:
		return machine.current(event.Attempt, func() []Action { return machine.broken(now, event.Reason) })
	case TextComplete:
		machine.complete = true
		return nil
	case Unreadable:
		return machine.abandon(failure.KindStreamBroken, "the engine sent an event that cannot be read", "send the request again")
	case Expired:
		return machine.abandon(failure.KindDeadline, "the request's deadline passed", "send it again, or declare a longer deadline for its class")
	case CallerLeft:
		return machine.abandon(failure.KindCallerLeft, "the caller left before the end", "send the request again")
	default:
		return nil
	}
}

// current runs the step only for the current attempt. Anything else is an
// answer that arrives late or crossed, and must never reach the caller.
func (machine *Machine) current(attempt string, step func() []Action) []Action {
	if attempt == "" || attempt != machine.attempt {
		machine.Dropped++
		return nil
	}
	return step()
}

func (machine *Machine) placed(event Placed) []Action {
	machine.attempts++
	machine.resumes = 0
	machine.opened = false
	machine.attempt = event.Attempt
	machine.target = event.Target
	machine.held = map[int]engineapi.Event{}
	return []Action{Send{Attempt: event.Attempt, Target: event.Target, ContinueAt: machine.next}}
}

func (machine *Machine) notPlaced(event NotPlaced) []Action {
	machine.finished = true
	final := *event.Failure
	final.Outcome = machine.outcome()
	return []Action{Fail{Failure: &final}}
}

// checkServed compares what answered with what the attempt was chosen for. A
// mismatch is discarded before a byte reaches the caller.
func (machine *Machine) checkServed(now time.Time, served engineapi.Served) []Action {
	expected := engineapi.Served{Attempt: machine.attempt, Epoch: machine.target.Epoch, Weights: machine.target.Weights}
	if served == expected {
		machine.opened = true
		return nil
	}
	machine.mayHaveRun = true
	return append(machine.cancel(), machine.another(now, "the answer came from another incarnation or version")...)
}

func (machine *Machine) received(event engineapi.Event) []Action {
	if !machine.opened || event.Offset < machine.next {
		return nil
	}
	if event.Offset >= machine.next+machine.limits.ReorderWindow {
		// Too far ahead: the missing events were lost. Resuming fetches them.
		return machine.reopen()
	}
	machine.held[event.Offset] = event
	actions := []Action{}
	for {
		following, found := machine.held[machine.next]
		if !found {
			return actions
		}
		delete(machine.held, machine.next)
		if following.Done {
			machine.finished = true
			return append(actions, Finish{})
		}
		machine.next++
		machine.resumes = 0
		actions = append(actions, Emit{Data: following.Data})
	}
}

func (machine *Machine) notStarted(now time.Time, reason string) []Action {
	return machine.another(now, "the engine did not start it: "+reason)
}

// broken resumes on the same engine first; its stream may still be there.
func (machine *Machine) broken(now time.Time, reason string) []Action {
	machine.mayHaveRun = true
	if machine.complete {
		// Going on elsewhere would add text that does not belong to the answer.
		machine.finished = true
		return []Action{Finish{}}
	}
	if machine.opened && machine.resumes < machine.limits.Resumes {
		return machine.reopen()
	}
	return append(machine.cancel(), machine.another(now, "the connection broke: "+reason)...)
}

func (machine *Machine) reopen() []Action {
	pause := time.Duration(machine.resumes) * machine.limits.ResumePause
	machine.resumes++
	machine.held = map[int]engineapi.Event{}
	return []Action{Resume{Attempt: machine.attempt, Target: machine.target, After: machine.next - 1, Pause: pause}}
}

// another tries one more engine, within the limits and the retry budget.
func (machine *Machine) another(now time.Time, reason string) []Action {
	machine.excluded = append(machine.excluded, machine.target.Endpoint)
	machine.attempt = ""
	if machine.attempts >= machine.limits.Attempts || !machine.budget.Withdraw(now) {
		kind := failure.KindBackendFailed
		if machine.next > 0 {
			kind = failure.KindStreamBroken
		}
		return machine.give(kind, fmt.Sprintf("given up after %d attempts: %s", machine.attempts, reason), "send the request again")
	}
	return []Action{Place{Excluded: machine.excluded}}
}

func (machine *Machine) abandon(kind failure.Kind, problem, remedy string) []Action {
	if machine.attempt != "" {
		machine.mayHaveRun = true
	}
	return append(machine.cancel(), machine.give(kind, problem, remedy)...)
}

func (machine *Machine) give(kind failure.Kind, problem, remedy string) []Action {
	machine.finished = true
	final := failure.New(kind, problem, remedy).WithOutcome(machine.outcome()).WithRetryAfter(machine.limits.RetryAfter)
	return []Action{Fail{Failure: final}}
}

func (machine *Machine) cancel() []Action {
	if machine.attempt == "" {
		return nil
	}
	return []Action{Cancel{Attempt: machine.attempt, Target: machine.target}}
}

func (machine *Machine) outcome() failure.Outcome {
	switch {
	case machine.next > 0:
		return failure.Ran
	case machine.mayHaveRun:
		return failure.Unknown
	default:
		return failure.NotRun
	}
}
