// Package dispatch executes one request, with retries and stream resumption,
// until the caller has the whole response or a final failure.
//
// Machine is a pure state machine that maps events and a time to actions. Driver
// performs the actions.
package dispatch

import (
	"fmt"
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/failure"
)

// Target identifies the engine selected for an attempt, with the incarnation and
// the weights that it had at that time.
type Target struct {
	Endpoint string
	Address  string
	Epoch    string
	Weights  string
}

// Event is an input of the machine. Events of an attempt other than the current
// one arrived late or belong to another request; they are counted and dropped.
type Event interface{ event() }

// Placed carries the target of the next attempt.
type Placed struct {
	Attempt string
	Target  Target
}

// NotPlaced reports that no engine can take the request now.
type NotPlaced struct{ Failure *failure.Failure }

// Opened reports that the response headers of an attempt have arrived.
type Opened struct {
	Attempt  string
	Identity engineapi.ServerIdentity
}

// Received carries one event of a response.
type Received struct {
	Attempt string
	Event   engineapi.Event
}

// NotStarted reports that the engine confirmed that it did not start an attempt.
type NotStarted struct {
	Attempt string
	Reason  string
}

// Rejected reports that an engine rejected the request itself; it is final.
type Rejected struct {
	Attempt string
	Status  int
	Body    []byte
}

// Broken reports that an attempt's connection ended without the end event.
type Broken struct {
	Attempt string
	Reason  string
}

// TextComplete reports that the caller has the whole text of the response.
type TextComplete struct{}

// MalformedEvent reports that an event of the response cannot be forwarded.
type MalformedEvent struct{}

// Expired reports that the request's deadline has passed.
type Expired struct{}

// CallerLeft reports that the caller has disconnected.
type CallerLeft struct{}

func (Placed) event()         {}
func (NotPlaced) event()      {}
func (Opened) event()         {}
func (Received) event()       {}
func (NotStarted) event()     {}
func (Rejected) event()       {}
func (Broken) event()         {}
func (TextComplete) event()   {}
func (MalformedEvent) event() {}
func (Expired) event()        {}
func (CallerLeft) event()     {}

// Action is an operation that the driver must perform.
type Action interface{ action() }

// Place selects an engine that is not excluded.
type Place struct{ Excluded []string }

// Send opens an attempt. ContinueAt is the offset to continue at; 0 starts from
// the beginning.
type Send struct {
	Attempt    string
	Target     Target
	ContinueAt int
}

// Resume reopens an attempt's stream after an offset, following a delay.
type Resume struct {
	Attempt     string
	Target      Target
	AfterOffset int
	Delay       time.Duration
}

// Cancel stops an attempt on its engine.
type Cancel struct {
	Attempt string
	Target  Target
}

// Emit forwards one event to the caller.
type Emit struct{ Data []byte }

// Finish completes the response.
type Finish struct{}

// Fail ends the request with a failure.
type Fail struct{ Failure *failure.Failure }

// ForwardRejection forwards an engine's rejection of the request itself to the
// caller.
type ForwardRejection struct {
	Status int
	Body   []byte
	// Outcome is whether an earlier attempt may have run.
	Outcome failure.Outcome
}

func (Place) action()            {}
func (Send) action()             {}
func (Resume) action()           {}
func (Cancel) action()           {}
func (Emit) action()             {}
func (Finish) action()           {}
func (Fail) action()             {}
func (ForwardRejection) action() {}

// Limits bound a request's attempts.
type Limits struct {
	// MaxAttempts bounds the engines tried; MaxResumes bounds consecutive resumes
	// that yield no new event.
	MaxAttempts int
	MaxResumes  int
	// ResumeDelay is the delay step between resumes: the first resume is immediate,
	// and each further one waits one step longer.
	ResumeDelay time.Duration
	// ReorderWindow bounds the events buffered while an earlier one is missing.
	ReorderWindow int
	// RetryAfter is the retry delay returned to the caller of a failed request.
	RetryAfter time.Duration
}

// DefaultLimits are suitable for engines that respond within seconds.
var DefaultLimits = Limits{MaxAttempts: 4, MaxResumes: 2, ResumeDelay: 50 * time.Millisecond, ReorderWindow: 64, RetryAfter: time.Second}

// Budget permits or denies retries; see package retry.
type Budget interface {
	// Withdraw takes one retry from the budget and reports whether one was
	// available.
	Withdraw(now time.Time) bool
}

// Machine is the state machine of one request.
type Machine struct {
	limits Limits
	budget Budget

	attempt  string
	target   Target
	attempts int
	resumes  int
	excluded []string
	opened   bool
	// mayHaveRun is set once an attempt was sent and the engine has not confirmed
	// that it did not start.
	mayHaveRun    bool
	nextOffset    int
	reorderBuffer map[int]engineapi.Event
	finished      bool
	textComplete  bool
	// Dropped counts events of attempts other than the current one.
	Dropped int
}

// NewMachine returns a machine for a new request.
func NewMachine(limits Limits, budget Budget) *Machine {
	return &Machine{limits: limits, budget: budget, reorderBuffer: map[int]engineapi.Event{}}
}

// Start returns the first action.
func (machine *Machine) Start() []Action {
	return []Action{Place{}}
}

// Finished reports whether the request has reached its final result.
func (machine *Machine) Finished() bool { return machine.finished }

// Step processes one event. It returns no actions once the request has finished.
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
		return machine.ifCurrent(event.Attempt, func() []Action { return machine.checkIdentity(now, event.Identity) })
	case Received:
		return machine.ifCurrent(event.Attempt, func() []Action { return machine.received(event.Event) })
	case NotStarted:
		return machine.ifCurrent(event.Attempt, func() []Action { return machine.notStarted(now, event.Reason) })
	case Rejected:
		return machine.ifCurrent(event.Attempt, func() []Action {
			machine.finished = true
			return []Action{ForwardRejection{Status: event.Status, Body: event.Body, Outcome: machine.outcome()}}
		})
	case Broken:
		return machine.ifCurrent(event.Attempt, func() []Action { return machine.broken(now, event.Reason) })
	case TextComplete:
		machine.textComplete = true
		return nil
	case MalformedEvent:
		return machine.abandon(failure.KindStreamBroken, "the engine sent a malformed event", "send the request again")
	case Expired:
		return machine.abandon(failure.KindDeadline, "the request's deadline passed", "send it again, or declare a longer deadline for its class")
	case CallerLeft:
		return machine.abandon(failure.KindCallerLeft, "the caller disconnected before the response was complete", "send the request again")
	default:
		return nil
	}
}

// ifCurrent runs step for events of the current attempt only. Any other event is
// late or belongs to another request, and must never reach the caller.
func (machine *Machine) ifCurrent(attempt string, step func() []Action) []Action {
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
	machine.reorderBuffer = map[int]engineapi.Event{}
	return []Action{Send{Attempt: event.Attempt, Target: event.Target, ContinueAt: machine.nextOffset}}
}

func (machine *Machine) notPlaced(event NotPlaced) []Action {
	machine.finished = true
	final := *event.Failure
	final.Outcome = machine.outcome()
	return []Action{Fail{Failure: &final}}
}

// checkIdentity compares the responding engine with the one selected for the
// attempt. A mismatch is discarded before any byte reaches the caller.
func (machine *Machine) checkIdentity(now time.Time, identity engineapi.ServerIdentity) []Action {
	expected := engineapi.ServerIdentity{Attempt: machine.attempt, Epoch: machine.target.Epoch, Weights: machine.target.Weights}
	if identity == expected {
		machine.opened = true
		return nil
	}
	machine.mayHaveRun = true
	return append(machine.cancelAttempt(), machine.retryOrFail(now, "the response came from another engine incarnation or model version")...)
}

func (machine *Machine) received(event engineapi.Event) []Action {
	if !machine.opened || event.Offset < machine.nextOffset {
		return nil
	}
	if event.Offset >= machine.nextOffset+machine.limits.ReorderWindow {
		// Beyond the reorder window the missing events are lost; resuming fetches them.
		return machine.resume()
	}
	machine.reorderBuffer[event.Offset] = event
	actions := []Action{}
	for {
		ready, found := machine.reorderBuffer[machine.nextOffset]
		if !found {
			return actions
		}
		delete(machine.reorderBuffer, machine.nextOffset)
		if ready.Done {
			machine.finished = true
			return append(actions, Finish{})
		}
		machine.nextOffset++
		machine.resumes = 0
		actions = append(actions, Emit{Data: ready.Data})
	}
}

func (machine *Machine) notStarted(now time.Time, reason string) []Action {
	return machine.retryOrFail(now, "the engine did not start the request: "+reason)
}

// broken resumes on the same engine first, since its stream may still exist.
func (machine *Machine) broken(now time.Time, reason string) []Action {
	machine.mayHaveRun = true
	if machine.textComplete {
		// A continuation on another engine would append text after the end.
		machine.finished = true
		return []Action{Finish{}}
	}
	if machine.opened && machine.resumes < machine.limits.MaxResumes {
		return machine.resume()
	}
	return append(machine.cancelAttempt(), machine.retryOrFail(now, "the connection was lost: "+reason)...)
}

func (machine *Machine) resume() []Action {
	delay := time.Duration(machine.resumes) * machine.limits.ResumeDelay
	machine.resumes++
	machine.reorderBuffer = map[int]engineapi.Event{}
	return []Action{Resume{Attempt: machine.attempt, Target: machine.target, AfterOffset: machine.nextOffset - 1, Delay: delay}}
}

// retryOrFail tries another engine within the limits and the retry budget, or
// fails the request.
func (machine *Machine) retryOrFail(now time.Time, reason string) []Action {
	machine.excluded = append(machine.excluded, machine.target.Endpoint)
	machine.attempt = ""
	if machine.attempts >= machine.limits.MaxAttempts || !machine.budget.Withdraw(now) {
		kind := failure.KindBackendFailed
		if machine.nextOffset > 0 {
			kind = failure.KindStreamBroken
		}
		return machine.fail(kind, fmt.Sprintf("given up after %d attempts: %s", machine.attempts, reason), "send the request again")
	}
	return []Action{Place{Excluded: machine.excluded}}
}

func (machine *Machine) abandon(kind failure.Kind, problem, remedy string) []Action {
	if machine.attempt != "" {
		machine.mayHaveRun = true
	}
	return append(machine.cancelAttempt(), machine.fail(kind, problem, remedy)...)
}

func (machine *Machine) fail(kind failure.Kind, problem, remedy string) []Action {
	machine.finished = true
	final := failure.New(kind, problem, remedy).WithOutcome(machine.outcome()).WithRetryAfter(machine.limits.RetryAfter)
	return []Action{Fail{Failure: final}}
}

func (machine *Machine) cancelAttempt() []Action {
	if machine.attempt == "" {
		return nil
	}
	return []Action{Cancel{Attempt: machine.attempt, Target: machine.target}}
}

func (machine *Machine) outcome() failure.Outcome {
	switch {
	case machine.nextOffset > 0:
		return failure.Ran
	case machine.mayHaveRun:
		return failure.Unknown
	default:
		return failure.NotRun
	}
}
