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

// Engines is what the driver needs of the engines.
type Engines interface {
	Open(ctx context.Context, dispatch engineapi.Dispatch) (*engineapi.Answer, error)
	Resume(ctx context.Context, address, attempt string, after int) (*engineapi.Answer, error)
	Cancel(address, attempt string)
}

// Placer chooses engines and is told how attempts went.
type Placer interface {
	// Place chooses an engine and counts the attempt as in flight on it.
	Place(ctx context.Context, excluded []string) (Target, *failure.Failure)
	// Ended says that the attempt on the endpoint is over. A failed attempt
	// counts against the endpoint.
	Ended(target Target, failed bool)
	// Alive returns a context that ends when the target's incarnation is gone, so
	// that a stream on an engine that stopped without a word is given up.
	Alive(target Target) context.Context
	// Stale says that the endpoint is not what the placement thought it was.
	Stale(target Target)
}

// Sink is where the answer goes. Emit blocks while the caller reads slowly,
// which in turn stops reading from the engine: memory does not grow.
type Sink interface {
	// Emit passes one event on. Complete says that the answer's text has ended:
	// only accounting may follow. ErrUnreadable means that the event cannot be
	// passed on; any other error, that the caller has left.
	Emit(data []byte) (complete bool, err error)
}

// ErrUnreadable says that an engine sent an event that is not one.
var ErrUnreadable = errors.New("the engine sent an event that cannot be read")

// Body builds the request's body for an attempt that goes on from an offset.
type Body func(continueAt int) ([]byte, error)

// Call is one request.
type Call struct {
	Path   string
	Body   Body
	Placer Placer
	Sink   Sink
	Limits Limits
	Budget Budget
}

// Rejection is an engine's refusal of the request itself, for the caller to see.
type Rejection struct {
	Status int
	Body   []byte
}

// Error shows the status.
func (*Rejection) Error() string { return "the engine rejected the request" }

// Driver performs requests.
type Driver struct {
	engines Engines
	// Late counts events that arrived for another attempt.
	late func(count int)
}

// NewDriver returns a driver; late is told of events that were dropped.
func NewDriver(engines Engines, late func(count int)) *Driver {
	return &Driver{engines: engines, late: late}
}

// run is the state of one request's performance.
type run struct {
	driver  *Driver
	call    Call
	machine *Machine
	queue   []Action
	err     error
	placed  bool
	target  Target
}

// Run performs a request until its end. The error is a failure.Failure or a
// Rejection; nil means that the whole answer was emitted.
func (driver *Driver) Run(ctx context.Context, call Call) error {
	run := &run{driver: driver, call: call, machine: NewMachine(call.Limits, call.Budget)}
	run.queue = run.machine.Start()
	for len(run.queue) > 0 {
		next := run.queue[0]
		run.queue = run.queue[1:]
		run.perform(ctx, next)
	}
	run.release(run.err != nil && !isRejection(run.err) && ctx.Err() == nil)
	if run.machine.Dropped > 0 {
		driver.late(run.machine.Dropped)
	}
	return run.err
}

func isRejection(err error) bool {
	var rejection *Rejection
	return errors.As(err, &rejection)
}

func (run *run) step(event Event) {
	run.queue = append(run.queue, run.machine.Step(boottime.Now(), event)...)
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
	case PassRejection:
		run.err = &Rejection{Status: action.Status, Body: action.Body}
	}
}

func (run *run) emit(action Emit) {
	complete, err := run.call.Sink.Emit(action.Data)
	switch {
	case errors.Is(err, ErrUnreadable):
		run.step(Unreadable{})
	case err != nil:
		run.step(CallerLeft{})
	case complete:
		run.step(TextComplete{})
	}
}

func (run *run) release(failed bool) {
	if run.placed {
		run.placed = false
		run.call.Placer.Ended(run.target, failed)
	}
}

func (run *run) place(ctx context.Context, action Place) {
	run.release(true)
	if run.ended(ctx) {
		return
	}
	target, refusal := run.call.Placer.Place(ctx, action.Excluded)
	if refusal != nil {
		run.step(NotPlaced{Failure: refusal})
		return
	}
	run.placed = true
	run.target = target
	run.step(Placed{Attempt: uuid.NewString(), Target: target})
}

// ended turns the end of the context into its event.
func (run *run) ended(ctx context.Context) bool {
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
	attemptContext, cancel := run.attemptContext(ctx, action.Target)
	defer cancel()
	answer, err := run.driver.engines.Open(attemptContext, engineapi.Dispatch{
		Address: action.Target.Address,
		Path:    run.call.Path,
		Attempt: action.Attempt,
		Epoch:   action.Target.Epoch,
		Weights: action.Target.Weights,
		Body:    body,
	})
	run.consume(ctx, action.Attempt, answer, err)
}

// attemptContext ends with the request, or earlier with the engine.
func (run *run) attemptContext(ctx context.Context, target Target) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(run.call.Placer.Alive(target), cancel)
	return bounded, func() {
		stop()
		cancel()
	}
}

func (run *run) resume(ctx context.Context, action Resume) {
	select {
	case <-time.After(action.Pause):
	case <-ctx.Done():
	}
	attemptContext, cancel := run.attemptContext(ctx, action.Target)
	defer cancel()
	answer, err := run.driver.engines.Resume(attemptContext, action.Target.Address, action.Attempt, action.After)
	var notStarted *engineapi.ErrNotStarted
	var rejected *engineapi.ErrRejected
	if errors.As(err, &notStarted) || errors.As(err, &rejected) {
		// The attempt did start, whatever became of the reopening.
		err = errors.New("the stream cannot be resumed")
	}
	run.consume(ctx, action.Attempt, answer, err)
}

// consume turns an answer, or the lack of one, into events.
func (run *run) consume(ctx context.Context, attempt string, answer *engineapi.Answer, err error) {
	if err != nil {
		run.failed(ctx, attempt, err)
		return
	}
	defer answer.Close()
	run.step(Opened{Attempt: attempt, Served: answer.Served})
	if len(run.queue) > 0 {
		run.call.Placer.Stale(run.target)
		return
	}
	err = answer.Read(func(event engineapi.Event) bool {
		run.step(Received{Attempt: attempt, Event: event})
		for len(run.queue) > 0 {
			emit, isEmit := run.queue[0].(Emit)
			if !isEmit {
				return false
			}
			run.queue = run.queue[1:]
			run.perform(ctx, emit)
		}
		return !run.machine.Finished()
	})
	if err != nil && len(run.queue) == 0 && !run.machine.Finished() {
		run.failed(ctx, attempt, err)
	}
}

func (run *run) failed(ctx context.Context, attempt string, err error) {
	var notStarted *engineapi.ErrNotStarted
	var rejected *engineapi.ErrRejected
	switch {
	case errors.As(err, &notStarted):
		run.call.Placer.Stale(run.target)
		run.step(NotStarted{Attempt: attempt, Reason: notStarted.Reason})
	case errors.As(err, &rejected):
		run.step(Rejected{Attempt: attempt, Status: rejected.Status, Body: rejected.Body})
	case run.ended(ctx):
	case errors.Is(err, io.ErrUnexpectedEOF):
		run.step(Broken{Attempt: attempt, Reason: "the engine closed it early"})
	default:
		go run.call.Placer.Stale(run.target)
		run.step(Broken{Attempt: attempt, Reason: err.Error()})
	}
}
