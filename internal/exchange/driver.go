package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/failure"
)

// update is sent by an attempt's goroutine to the driver.
type message struct {
	event  Event
	result Result
	reply  *Reply
	raw    []byte
}

// driver runs one request: it performs the actions of its Machine and feeds events back.
type run struct {
	request   Request
	machine   *Machine
	queue     []Action
	started   time.Time
	outcome   Outcome
	placement Placement
	inbox     chan message
	cancel    context.CancelFunc
	result    Result
	reply     *Reply
	kept      *Answer
	raw       []byte
	silence   *time.Timer
	late      *time.Timer
	patience  time.Duration
	heardAt   time.Time
}

// Run processes a request to completion. The context must end when the caller
// disconnects or when the request's deadline passes.
func Run(ctx context.Context, request Request) Outcome {
	started := boottime.Now()
	run := &run{
		request: request,
		machine: NewMachine(request.Rules, request.Budget, request.ResumeAfter),
		started: started,
		silence: stoppedTimer(),
		late:    stoppedTimer(),
	}
	run.queue = run.machine.Start(started)
	for !run.machine.Finished() || len(run.queue) > 0 {
		if len(run.queue) == 0 {
			run.await(ctx)
			continue
		}
		action := run.queue[0]
		run.queue = run.queue[1:]
		run.perform(ctx, action)
	}
	run.release(ResultNeutral)
	run.outcome.Runs, run.outcome.Sends = run.machine.Runs(), run.machine.Sends()
	return run.outcome
}

func stoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

func (run *run) step(event Event) {
	if run.request.Observe != nil {
		server := ""
		if run.placement != nil {
			server = run.placement.Server()
		}
		run.request.Observe(server, event)
	}
	run.queue = append(run.queue, run.machine.Step(boottime.Now(), event)...)
}

// await waits for the next event and steps the machine.
func (run *run) await(ctx context.Context) {
	select {
	case message := <-run.inbox:
		run.result, run.raw = message.result, message.raw
		if message.reply != nil {
			run.reply = message.reply
		}
		run.heard(message.event)
		run.step(message.event)
	case <-run.silence.C:
		run.doubt()
	case <-run.late.C:
		run.step(Late{})
	case <-ctx.Done():
		run.step(run.over(ctx))
	case <-run.request.Stopping:
		run.step(Stopping{})
	}
}

// contextEvent returns the event for the end of the request's context.
func (run *run) over(ctx context.Context) Event {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		run.result = ResultSilent
		return Expired{}
	}
	return CallerLeft{}
}

// recordActivity restarts the silence timer after an event of the response.
func (run *run) heard(event Event) {
	switch event.(type) {
	case Opened, Arrived:
		run.late.Stop()
		run.placement.Started()
		run.listen(run.request.Patience.Between)
	}
}

// checkSilence reports a silent attempt to the machine if its placement has stalled.
func (run *run) doubt() {
	if !run.placement.Doubtful(boottime.Since(run.heardAt)) {
		run.silence.Reset(run.patience)
		return
	}
	run.step(Silent{})
	if len(run.queue) > 0 {
		run.result = ResultSilent
	}
}

func (run *run) listen(patience time.Duration) {
	run.silence.Stop()
	run.patience, run.heardAt = patience, boottime.Now()
	if patience > 0 {
		run.silence.Reset(patience)
	}
}

func (run *run) perform(ctx context.Context, action Action) {
	switch action := action.(type) {
	case Place:
		run.place(ctx, action)
	case Send:
		run.send(ctx, action)
	case Cancel:
		run.release(ResultNeutral)
	case Keep:
		run.kept = run.reply.Whole
		run.release(ResultFaulty)
	case Deliver:
		run.deliver()
	case Open:
		run.outcome.Status = run.reply.Status
		run.outcome.FirstAfter = boottime.Since(run.started)
		run.give(run.request.Caller.Open(run.reply.Status, run.reply.Header))
	case Forward:
		run.give(run.request.Caller.Forward(run.raw))
	case Finish:
		run.release(ResultServed)
	case Cut:
		run.outcome.Cut, run.outcome.Failure = true, action.Failure
	case Fail:
		run.outcome.Failure = action.Failure
	}
}

// checkWrite handles the result of a write to the caller.
func (run *run) give(err error) {
	if err != nil {
		run.step(CallerLeft{})
	}
}

func (run *run) deliver() {
	answer := run.kept
	if run.placement != nil && run.reply != nil && run.reply.Whole != nil {
		answer = run.reply.Whole
		run.release(run.result)
	}
	run.outcome.Status = answer.Status
	run.outcome.FirstAfter = boottime.Since(run.started)
	if run.request.Caller.Answer(answer) != nil {
		run.outcome.Failure = failure.New(failure.KindCallerLeft, "the caller disconnected before the response was complete", "send the request again").WithOutcome(failure.Ran)
	}
}

func (run *run) place(ctx context.Context, action Place) {
	if action.Pause > 0 {
		select {
		case <-time.After(action.Pause):
		case <-ctx.Done():
			run.step(run.over(ctx))
			return
		case <-run.request.Stopping:
			run.step(Stopping{})
			return
		}
	}
	placement, unplaced := run.request.Placer.Place(action.Excluded)
	if unplaced != nil {
		run.step(*unplaced)
		return
	}
	run.placement = placement
	run.step(Placed{Server: placement.Server()})
}

func (run *run) send(ctx context.Context, action Send) {
	attempt, cancel := context.WithCancel(ctx)
	run.cancel = cancel
	run.reply = nil
	run.result = ResultNeutral
	run.inbox = make(chan message)
	run.listen(run.request.Patience.First)
	if by := run.placement.StartBy(); !by.IsZero() {
		run.late.Reset(boottime.Until(by))
	}
	go perform(attempt, run.placement, action, run.inbox)
}

// endAttempt ends the current attempt, if any. A result already observed overrides
// fallback, unless fallback is ResultServed.
func (run *run) release(other Result) {
	if run.placement == nil {
		return
	}
	run.silence.Stop()
	run.late.Stop()
	if run.cancel != nil {
		run.cancel()
	}
	if run.result != ResultNeutral && other != ResultServed {
		other = run.result
	}
	run.placement.End(other)
	run.placement, run.cancel, run.inbox = nil, nil, nil
}

// runAttempt sends one attempt and reports its updates until it is complete or its
// context ends.
func perform(ctx context.Context, placement Placement, action Send, inbox chan<- message) {
	tell := func(message message) bool {
		select {
		case inbox <- message:
			return true
		case <-ctx.Done():
			return false
		}
	}
	reply, err := placement.Send(ctx, action.Resumes, action.After)
	if err != nil {
		tell(failed(err))
		return
	}
	defer reply.Close()
	if reply.Whole != nil {
		tell(whole(reply))
		return
	}
	if !tell(message{event: Opened{}, result: ResultServed, reply: reply}) {
		return
	}
	for {
		next, err := reply.Next()
		switch {
		case errors.Is(err, io.EOF):
			tell(message{event: Ended{}, result: ResultServed})
			return
		case err != nil:
			tell(failed(err))
			return
		}
		raw := append([]byte(nil), next.Raw...)
		if !tell(message{event: Arrived{ID: next.ID, HasID: next.HasID}, result: ResultServed, raw: raw}) {
			return
		}
	}
}

func whole(reply *Reply) message {
	if reply.Status >= http.StatusInternalServerError {
		return message{event: Answered{Faulty: true}, result: ResultFaulty, reply: reply}
	}
	return message{event: Answered{}, result: ResultServed, reply: reply}
}

func failed(err error) message {
	var refused *ErrRefused
	var unreached *ErrUnreached
	var withdrawn *ErrWithdrawn
	var cutOff *ErrCutOff
	switch {
	case errors.As(err, &refused):
		return message{event: Refused{Reason: refused.Reason}, result: ResultRefused}
	case errors.As(err, &unreached):
		return message{event: Unreached{Reason: unreached.Reason}, result: ResultUnreached}
	case errors.As(err, &withdrawn):
		return message{event: Unreached{Reason: withdrawn.Reason}, result: ResultNeutral}
	case errors.As(err, &cutOff):
		return message{event: Broken{Reason: err.Error()}, result: ResultCutOff}
	default:
		return message{event: Broken{Reason: err.Error()}, result: ResultBroken}
	}
}
