package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/failure"
)

// EngineClient defines the engine calls that the driver makes.
type EngineClient interface {
	Open(ctx context.Context, dispatch engineapi.Dispatch) (*engineapi.Stream, error)
	Resume(ctx context.Context, address, attempt string, after int) (*engineapi.Stream, error)
	Cancel(address, attempt string)
}

// Placer selects engines and receives the results of attempts.
type Placer interface {
	// Place selects an engine and counts the attempt as in flight on it.
	Place(ctx context.Context, excluded []string) (Target, *failure.Failure)
	// ReportResult reports that the attempt on the target has ended. A failed
	// attempt counts against the endpoint.
	ReportResult(target Target, failed bool)
	// IncarnationContext returns a context that is canceled when the target's
	// incarnation ends, so that streams on an engine that crashed without closing
	// its connections are aborted.
	IncarnationContext(target Target) context.Context
	// ReportStale reports that the endpoint's state differs from the one that the
	// placement was based on.
	ReportStale(target Target)
}

// Sink receives the response. Emit blocks while the caller reads slowly, which
// in turn stops reads from the engine, so that buffered data stays bounded.
type Sink interface {
	// Emit forwards one event. Complete reports that the response text has ended
	// and only usage accounting may follow. ErrMalformedEvent means that the event
	// cannot be forwarded; any other error, that the caller has disconnected.
	Emit(data []byte) (complete bool, err error)
}

// ErrMalformedEvent is returned by a sink that cannot parse an engine's event.
var ErrMalformedEvent = errors.New("the engine sent a malformed event")

// BodyFunc builds the request body of an attempt that continues at an offset.
type BodyFunc func(continueAt int) ([]byte, error)

// Call describes one request.
type Call struct {
	Path   string
	Body   BodyFunc
	Placer Placer
	Sink   Sink
	Limits Limits
	Budget Budget
}

// Rejection carries an engine's rejection of the request itself, which is
// forwarded to the caller.
type Rejection struct {
	Status int
	Body   []byte
	// Outcome is whether the request may have run at another engine before.
	Outcome failure.Outcome
}

// Error implements error.
func (*Rejection) Error() string { return "the engine rejected the request" }

// Driver executes requests: it performs the actions that a Machine returns.
type Driver struct {
	engines EngineClient
	// onDropped receives the number of events dropped because they belonged to an
	// attempt other than the current one.
	onDropped func(count int)
}

// NewDriver returns a driver; onDropped is called with the number of events that
// were dropped as belonging to another attempt.
func NewDriver(engines EngineClient, onDropped func(count int)) *Driver {
	return &Driver{engines: engines, onDropped: onDropped}
}

// run holds the state of one request's execution.
type run struct {
	driver         *Driver
	call           Call
	machine        *Machine
	pendingActions []Action
	err            error
	inFlight       bool
	target         Target
}

// Run executes a request to completion. The error is a failure.Failure or a
// Rejection; nil means that the whole response was emitted.
func (driver *Driver) Run(ctx context.Context, call Call) error {
	run := &run{driver: driver, call: call, machine: NewMachine(call.Limits, call.Budget)}
	run.pendingActions = run.machine.Start()
	for len(run.pendingActions) > 0 {
		next := run.pendingActions[0]
		run.pendingActions = run.pendingActions[1:]
		run.perform(ctx, next)
	}
	run.endAttempt(run.err != nil && !isRejection(run.err) && ctx.Err() == nil)
	if run.machine.Dropped > 0 {
		driver.onDropped(run.machine.Dropped)
	}
	return run.err
}

func isRejection(err error) bool {
	var rejection *Rejection
	return errors.As(err, &rejection)
}

func (run *run) step(event Event) {
	run.pendingActions = append(run.pendingActions, run.machine.Step(boottime.Now(), event)...)
}

func (run *run) perform(ctx context.Context, action Action) {
	switch action := action.(type) {
	case Place:
		run.place(ctx, action)
	case Send:
		run.send(ctx, action)
	case Resume:
		run.resume(ctx, action)
	case Cancel:
		go run.driver.engines.Cancel(action.Target.Address, action.Attempt)
	case Emit:
		run.emit(action)
	case Fail:
		run.err = action.Failure
	case ForwardRejection:
		run.err = &Rejection{Status: action.Status, Body: action.Body, Outcome: action.Outcome}
	}
}

func (run *run) emit(action Emit) {
	complete, err := run.call.Sink.Emit(action.Data)
	switch {
	case errors.Is(err, ErrMalformedEvent):
		run.step(MalformedEvent{})
	case err != nil:
		run.step(CallerLeft{})
	case complete:
		run.step(TextComplete{})
	}
}

func (run *run) endAttempt(failed bool) {
	if run.inFlight {
		run.inFlight = false
		run.call.Placer.ReportResult(run.target, failed)
	}
}

func (run *run) place(ctx context.Context, action Place) {
	run.endAttempt(true)
	if run.checkContext(ctx) {
		return
	}
	target, refusal := run.call.Placer.Place(ctx, action.Excluded)
	if refusal != nil {
		run.step(NotPlaced{Failure: refusal})
		return
	}
	run.inFlight = true
	run.target = target
	run.step(Placed{Attempt: uuid.NewString(), Target: target})
}

// checkContext steps the machine with the event for a context that has ended and
// reports whether it has.
func (run *run) checkContext(ctx context.Context) bool {
	switch {
	case ctx.Err() == nil:
		return false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		run.step(Expired{})
	default:
		run.step(CallerLeft{})
	}
	return true
}

func (run *run) send(ctx context.Context, action Send) {
	body, err := run.call.Body(action.ContinueAt)
	if err != nil {
		run.step(NotStarted{Attempt: action.Attempt, Reason: err.Error()})
		return
	}
	attemptCtx, cancel := run.attemptContext(ctx, action.Target)
	defer cancel()
	stream, err := run.driver.engines.Open(attemptCtx, engineapi.Dispatch{
		Address: action.Target.Address,
		Path:    run.call.Path,
		Attempt: action.Attempt,
		Epoch:   action.Target.Epoch,
		Weights: action.Target.Weights,
		Body:    body,
	})
	run.readStream(ctx, action.Attempt, stream, err)
}

// attemptContext returns a context that ends with the request or with the
// engine's incarnation, whichever ends first.
func (run *run) attemptContext(ctx context.Context, target Target) (context.Context, context.CancelFunc) {
	attemptCtx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(run.call.Placer.IncarnationContext(target), cancel)
	return attemptCtx, func() {
		stop()
		cancel()
	}
}

func (run *run) resume(ctx context.Context, action Resume) {
	select {
	case <-time.After(action.Delay):
	case <-ctx.Done():
	}
	attemptCtx, cancel := run.attemptContext(ctx, action.Target)
	defer cancel()
	stream, err := run.driver.engines.Resume(attemptCtx, action.Target.Address, action.Attempt, action.AfterOffset)
	var notStarted *engineapi.ErrNotStarted
	var rejected *engineapi.ErrRejected
	if errors.As(err, &notStarted) || errors.As(err, &rejected) {
		// The attempt itself did start, even if the stream could not be reopened.
		err = errors.New("the stream cannot be resumed")
	}
	run.readStream(ctx, action.Attempt, stream, err)
}

// readStream steps the machine with the events of a stream, or with the error
// that prevented it from opening.
func (run *run) readStream(ctx context.Context, attempt string, stream *engineapi.Stream, err error) {
	if err != nil {
		run.handleError(ctx, attempt, err)
		return
	}
	defer stream.Close()
	run.step(Opened{Attempt: attempt, Identity: stream.Identity})
	if len(run.pendingActions) > 0 {
		run.call.Placer.ReportStale(run.target)
		return
	}
	err = stream.Read(func(event engineapi.Event) bool {
		run.step(Received{Attempt: attempt, Event: event})
		for len(run.pendingActions) > 0 {
			emit, isEmit := run.pendingActions[0].(Emit)
			if !isEmit {
				return false
			}
			run.pendingActions = run.pendingActions[1:]
			run.perform(ctx, emit)
		}
		return !run.machine.Finished()
	})
	if err != nil && len(run.pendingActions) == 0 && !run.machine.Finished() {
		run.handleError(ctx, attempt, err)
	}
}

func (run *run) handleError(ctx context.Context, attempt string, err error) {
	var notStarted *engineapi.ErrNotStarted
	var rejected *engineapi.ErrRejected
	switch {
	case errors.As(err, &notStarted):
		run.call.Placer.ReportStale(run.target)
		run.step(NotStarted{Attempt: attempt, Reason: notStarted.Reason})
	case errors.As(err, &rejected):
		run.step(Rejected{Attempt: attempt, Status: rejected.Status, Body: rejected.Body})
	case run.checkContext(ctx):
	case errors.Is(err, io.ErrUnexpectedEOF):
		run.step(Broken{Attempt: attempt, Reason: "the engine closed the stream before its end event"})
	default:
		go run.call.Placer.ReportStale(run.target)
		run.step(Broken{Attempt: attempt, Reason: err.Error()})
	}
}
