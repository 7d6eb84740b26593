package exchange

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/failure"
)

const (
	// maxTimerDelay is the delay of a timer from which on this process counts as paused, or short of processor time.
	maxTimerDelay = 10 * time.Millisecond
	// finalReadTimeout is how long a response is read on after that: it may have come in time.
	finalReadTimeout = 20 * time.Millisecond
	// pathCheckDelay is how long an attempt of a stream may be silent until its path is first checked, and pathCheckInterval the
	// time between two checks.
	pathCheckDelay    = 500 * time.Millisecond
	pathCheckInterval = 100 * time.Millisecond
	// silentPath is the reason why an attempt of a stream was cut off that its path left silent.
	silentPath = "the path to the server failed while it was silent"
)

// update is sent by an attempt's goroutine to the driver.
type update struct {
	event    Event
	result   Result
	reply    *Reply
	rawEvent []byte
}

// driver runs one request: it performs the actions of its Machine and feeds events back.
type driver struct {
	request        Request
	machine        *Machine
	pendingActions []Action
	started        time.Time
	outcome        Outcome
	placement      Placement
	updates        chan update
	cancel         context.CancelFunc
	// attemptDone is closed once the goroutine of the latest attempt has returned.
	attemptDone chan struct{}
	// ended is the placement of the latest attempt that has ended.
	ended   Placement
	result  Result
	reply   *Reply
	stashed *Answer
	// received holds all answers whose memory is not returned yet.
	received     []*Answer
	rawEvent     []byte
	silenceTimer *time.Timer
	startTimer   *time.Timer
	// pathTimer passes when the path of a silent attempt is to be checked.
	pathTimer      *time.Timer
	silenceTimeout time.Duration
	lastActivity   time.Time
	// silenceDue is when silenceTimer passes, and readsOn is set while it runs for finalReadTimeout.
	silenceDue time.Time
	readsOn    bool
	// retryReady has an element when a silent attempt that waits for a retry may be given up; nil if none waits.
	retryReady <-chan struct{}
	// wait is the current wait of a stream that has begun, since waitingSince; its Cause is "" if there is none.
	wait         Wait
	waitingSince time.Time
	// unplacedReason is why no server could be chosen for the latest placement that failed.
	unplacedReason string
}

// Run processes a request to completion. The context must end when the caller
// disconnects or when the request's deadline passes.
func Run(ctx context.Context, request Request) Outcome {
	started := boottime.Now()
	driver := &driver{
		request:      request,
		machine:      NewMachine(request.Rules, request.Budget, request.ResumeAfter),
		started:      started,
		silenceTimer: stoppedTimer(),
		startTimer:   stoppedTimer(),
		pathTimer:    stoppedTimer(),
	}
	// Also if the caller panics: an attempt would count as in flight for good.
	defer driver.release()
	driver.pendingActions = driver.machine.Start(started)
	for !driver.machine.Finished() || len(driver.pendingActions) > 0 {
		if len(driver.pendingActions) == 0 {
			driver.await(ctx)
			continue
		}
		action := driver.pendingActions[0]
		driver.pendingActions = driver.pendingActions[1:]
		driver.perform(ctx, action)
	}
	driver.outcome.Runs, driver.outcome.Sends = driver.machine.Runs(), driver.machine.Sends()
	return driver.outcome
}

// release ends the current attempt, and returns the memory of all responses.
func (driver *driver) release() {
	driver.leaveRetryQueue()
	driver.endWait()
	driver.endAttempt(ResultNeutral)
	for _, answer := range driver.received {
		answer.release()
	}
}

func stoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

func (driver *driver) step(event Event) {
	if driver.request.Observe != nil {
		server := ""
		switch {
		case driver.placement != nil:
			server = driver.placement.Server()
		case driver.ended != nil:
			server = driver.ended.Server()
		}
		driver.request.Observe(server, event)
	}
	driver.pendingActions = append(driver.pendingActions, driver.machine.Step(boottime.Now(), event)...)
}

// await waits for the next event and steps the machine.
func (driver *driver) await(ctx context.Context) {
	select {
	case update := <-driver.updates:
		driver.receive(update)
	case <-driver.silenceTimer.C:
		if !driver.receiveReady() {
			driver.checkSilence()
		}
	case <-driver.retryReady:
		if !driver.receiveReady() {
			driver.checkSilence()
		}
	case <-driver.pathTimer.C:
		if !driver.receiveReady() {
			driver.checkPath()
		}
	case <-driver.startTimer.C:
		if !driver.receiveReady() {
			driver.step(Late{})
		}
	case <-ctx.Done():
		driver.step(driver.contextEvent(ctx))
	case <-driver.request.Stopping:
		driver.step(Stopping{})
	}
}

// receive steps the machine with what the attempt reports.
func (driver *driver) receive(update update) {
	driver.result, driver.rawEvent = update.result, update.rawEvent
	if update.reply != nil {
		driver.reply = update.reply
		driver.received = append(driver.received, update.reply.Complete)
	}
	driver.recordActivity(update.event)
	driver.outcome.Sign = signOf(update.event)
	driver.step(update.event)
}

// signOf returns the sign by which an event shows that the attempt did not run; the zero value if it does not.
func signOf(event Event) Sign {
	switch event := event.(type) {
	case Refused:
		return event.Sign
	case Unreached:
		return event.Sign
	default:
		return Sign{}
	}
}

// receiveReady processes an update that has come while the driver wrote to a slow caller, and reports whether there was one.
// A timer that has passed meanwhile shows nothing of the server then.
func (driver *driver) receiveReady() bool {
	select {
	case update := <-driver.updates:
		driver.receive(update)
		return true
	default:
		return false
	}
}

// contextEvent returns the event for the end of the request's context.
func (driver *driver) contextEvent(ctx context.Context) Event {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		driver.result = ResultSilent
		return Expired{}
	}
	return CallerLeft{Reason: context.Cause(ctx).Error()}
}

// recordActivity restarts the silence timer after an event of the response.
func (driver *driver) recordActivity(event Event) {
	switch event.(type) {
	case Opened, Arrived:
		driver.startTimer.Stop()
		driver.leaveRetryQueue()
		driver.placement.ResponseStarted()
		driver.resetSilenceTimer(driver.request.SilenceTimeouts.BetweenEvents)
	}
}

// checkSilence reports a silent attempt to the machine if its placement has stalled.
func (driver *driver) checkSilence() {
	if !driver.readsOn && boottime.Since(driver.silenceDue) > maxTimerDelay {
		driver.startSilenceTimer(finalReadTimeout)
		driver.readsOn = true
		return
	}
	if !driver.placement.Stalled(boottime.Since(driver.lastActivity)) {
		driver.leaveRetryQueue()
		driver.startSilenceTimer(cmp.Or(driver.request.SilenceTimeouts.Recheck, driver.silenceTimeout))
		return
	}
	driver.step(Silent{})
	if slices.Contains(driver.pendingActions, Action(Cancel{})) {
		driver.result = ResultSilent
	}
}

// checkPath ends a silent attempt of a stream that has begun once its path has failed: no retry that is permitted, and no other
// server, is needed for that.
func (driver *driver) checkPath() {
	if driver.placement.PathFailed(boottime.Since(driver.lastActivity)) {
		driver.result = ResultNeutral
		driver.step(Broken{Reason: silentPath, PathFailed: true})
		return
	}
	driver.pathTimer.Reset(pathCheckInterval)
}

func (driver *driver) resetSilenceTimer(timeout time.Duration) {
	driver.silenceTimer.Stop()
	driver.pathTimer.Stop()
	driver.silenceTimeout, driver.lastActivity = timeout, boottime.Now()
	if timeout > 0 {
		driver.startSilenceTimer(timeout)
		if driver.outcome.Events > 0 || driver.reply != nil {
			driver.pathTimer.Reset(pathCheckDelay)
		}
	}
}

func (driver *driver) startSilenceTimer(timeout time.Duration) {
	driver.silenceDue, driver.readsOn = boottime.Now().Add(timeout), false
	driver.silenceTimer.Reset(timeout)
}

func (driver *driver) perform(ctx context.Context, action Action) {
	switch action := action.(type) {
	case Place:
		driver.place(ctx, action)
	case Send:
		driver.send(ctx, action)
	case Cancel:
		driver.endAttempt(ResultNeutral)
	case AwaitRelease:
		driver.awaitRelease(ctx)
	case AwaitRetry:
		if driver.pause(ctx, action.Delay, driver.joinRetryQueue()) {
			driver.step(RetryDue{})
		}
	case RecheckSilence:
		driver.recheckSilence()
	case Stash:
		driver.stashed = driver.reply.Complete
		driver.endAttempt(ResultFaulty)
	case Deliver:
		driver.deliver()
	case Open:
		driver.outcome.Status = driver.reply.Status
		driver.outcome.TimeToHead = boottime.Since(driver.started)
		driver.checkWrite(driver.request.Caller.Open(driver.reply.Status, driver.reply.Header))
	case Forward:
		driver.placement.Forwarding()
		driver.outcome.Events++
		driver.checkWrite(driver.request.Caller.Forward(driver.rawEvent))
	case Finish:
		driver.endAttempt(ResultServed)
	case Cut:
		driver.outcome.Cut, driver.outcome.Failure = true, action.Failure
	case Fail:
		driver.outcome.Failure = action.Failure
	}
}

// checkWrite handles the result of a write to the caller.
func (driver *driver) checkWrite(err error) {
	if err != nil {
		driver.step(CallerLeft{Reason: err.Error()})
	}
}

func (driver *driver) deliver() {
	answer := driver.stashed
	if driver.placement != nil && driver.reply != nil && driver.reply.Complete != nil {
		answer = driver.reply.Complete
		driver.endAttempt(driver.result)
	}
	driver.outcome.Status = answer.Status
	driver.outcome.TimeToHead = boottime.Since(driver.started)
	if err := driver.request.Caller.Answer(answer); err != nil {
		driver.outcome.Failure = failure.New(failure.KindCallerLeft, callerLeft+": "+err.Error(), "send the request again").WithOutcome(failure.Ran)
	}
}

func (driver *driver) place(ctx context.Context, action Place) {
	driver.leaveRetryQueue()
	if action.Delay > 0 {
		driver.beginWait(WaitForServer, driver.unplacedReason)
		if !driver.pause(ctx, action.Delay, nil) {
			return
		}
	}
	if len(action.Readmitted) > 0 {
		driver.request.Placer.Readmit(action.Readmitted)
	}
	placement, unplaced := driver.request.Placer.Place(action.Excluded)
	if unplaced != nil {
		driver.unplacedReason = unplaced.Reason
		driver.step(*unplaced)
		return
	}
	driver.endWait()
	driver.placement = placement
	driver.observeResend(placement.Server())
	driver.step(Placed{Server: placement.Server()})
}

// observeResend reports a further attempt of a request that may run once, on a server.
func (driver *driver) observeResend(server string) {
	if driver.request.ObserveResend == nil || driver.request.Rules.Repeatable || driver.machine.Sends() == 0 {
		return
	}
	driver.request.ObserveResend(Resend{Server: server, Previous: driver.ended.Server(), Sign: driver.outcome.Sign})
}

// beginWait records that a stream which has begun waits before it goes on. Only a change of the cause is reported.
func (driver *driver) beginWait(cause WaitCause, reason string) {
	if driver.outcome.Events == 0 || driver.wait.Cause == cause {
		return
	}
	driver.endWait()
	driver.wait, driver.waitingSince = Wait{Cause: cause, Reason: reason}, boottime.Now()
	driver.observeWait()
}

// endWait records that the current wait, if any, has ended.
func (driver *driver) endWait() {
	if driver.wait.Cause == "" {
		return
	}
	driver.wait.Ended, driver.wait.Waited = true, boottime.Since(driver.waitingSince)
	driver.observeWait()
	driver.wait = Wait{}
}

func (driver *driver) observeWait() {
	if driver.request.ObserveWait != nil {
		driver.request.ObserveWait(driver.wait)
	}
}

// recheckSilence checks a silent attempt again for which the budget has no retry. The request waits in the queue for one
// meanwhile.
func (driver *driver) recheckSilence() {
	timeout := driver.silenceTimeout
	if driver.request.RetryQueue != nil {
		driver.retryReady = driver.joinRetryQueue()
		timeout = continuationDelay
	}
	driver.startSilenceTimer(timeout)
}

// joinRetryQueue makes a stream wait for a retry in the queue, but for one that too many servers did not take: that asks for
// what the others leave, and no sooner than after the delay.
func (driver *driver) joinRetryQueue() <-chan struct{} {
	if driver.machine.Sends() >= driver.request.Rules.MaxSends {
		driver.beginWait(WaitForRetry, string(deniedBySends))
		return nil
	}
	driver.beginWait(WaitForRetry, "")
	if driver.request.RetryQueue == nil {
		return nil
	}
	return driver.request.RetryQueue.Join(driver.outcome.Events > 0)
}

// leaveRetryQueue ends the wait for a retry, if there is one.
func (driver *driver) leaveRetryQueue() {
	driver.retryReady = nil
	if driver.request.RetryQueue != nil {
		driver.request.RetryQueue.Leave()
	}
	if driver.wait.Cause == WaitForRetry {
		driver.endWait()
	}
}

// pause waits for a time, or until the channel has an element, and reports whether the request goes on.
func (driver *driver) pause(ctx context.Context, delay time.Duration, ready <-chan struct{}) bool {
	select {
	case <-time.After(delay):
		return true
	case <-ready:
		return true
	case <-ctx.Done():
		driver.step(driver.contextEvent(ctx))
	case <-driver.request.Stopping:
		driver.step(Stopping{})
	}
	return false
}

// awaitRelease waits until the latest attempt has been released.
func (driver *driver) awaitRelease(ctx context.Context) {
	startedAt := boottime.Now()
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	released := make(chan ReleaseReason, 1)
	go func(attempt Placement, attemptDone <-chan struct{}) {
		<-attemptDone
		released <- attempt.AwaitRelease(waitCtx)
	}(driver.ended, driver.attemptDone)
	select {
	case reason := <-released:
		if ctx.Err() != nil {
			driver.step(driver.contextEvent(ctx))
			return
		}
		driver.step(Released{Reason: reason, Waited: boottime.Since(startedAt)})
	case <-ctx.Done():
		driver.step(driver.contextEvent(ctx))
	case <-driver.request.Stopping:
		driver.step(Stopping{})
	}
}

func (driver *driver) send(ctx context.Context, action Send) {
	attemptCtx, cancel := context.WithCancel(ctx)
	driver.cancel = cancel
	driver.reply = nil
	driver.result = ResultNeutral
	driver.updates = make(chan update)
	driver.resetSilenceTimer(driver.request.SilenceTimeouts.FirstEvent)
	if deadline := driver.placement.StartDeadline(); !deadline.IsZero() {
		driver.startTimer.Reset(boottime.Until(deadline))
	}
	done := make(chan struct{})
	driver.attemptDone = done
	go func(placement Placement, updates chan<- update) {
		defer close(done)
		runAttempt(attemptCtx, placement, action, updates)
	}(driver.placement, driver.updates)
}

// endAttempt ends the current attempt, if any. A result already observed overrides
// fallback, unless fallback is ResultServed.
func (driver *driver) endAttempt(fallback Result) {
	if driver.placement == nil {
		return
	}
	driver.silenceTimer.Stop()
	driver.startTimer.Stop()
	driver.pathTimer.Stop()
	if driver.cancel != nil {
		driver.cancel()
	}
	if driver.result != ResultNeutral && fallback != ResultServed {
		fallback = driver.result
	}
	driver.placement.End(fallback)
	driver.ended = driver.placement
	driver.placement, driver.cancel, driver.updates = nil, nil, nil
}

// runAttempt sends one attempt and reports its updates until it is complete or its
// context ends.
func runAttempt(ctx context.Context, placement Placement, action Send, updates chan<- update) {
	report := func(update update) bool {
		select {
		case updates <- update:
			return true
		case <-ctx.Done():
			return false
		}
	}
	reply, err := placement.Send(ctx, action.Resumes, action.After)
	if err != nil {
		report(failureUpdate(err))
		return
	}
	defer reply.Close()
	if reply.Complete != nil {
		if !report(completeUpdate(reply)) {
			reply.Complete.release()
		}
		return
	}
	if !report(update{event: Opened{}, result: ResultServed, reply: reply}) {
		return
	}
	for {
		next, err := reply.Next()
		switch {
		case errors.Is(err, io.EOF):
			report(update{event: Ended{}, result: ResultServed})
			return
		case err != nil:
			report(failureUpdate(err))
			return
		}
		raw := append([]byte(nil), next.Raw...)
		if !report(update{event: Arrived{ID: next.ID, HasID: next.HasID}, result: ResultServed, rawEvent: raw}) {
			return
		}
	}
}

func completeUpdate(reply *Reply) update {
	if reply.Status >= http.StatusInternalServerError {
		return update{event: Answered{Faulty: true}, result: ResultFaulty, reply: reply}
	}
	return update{event: Answered{}, result: ResultServed, reply: reply}
}

// signBy returns a sign as reported by this node or by a peer.
func signBy(sign Sign, byPeer bool) Sign {
	if byPeer {
		return sign.ByPeer()
	}
	return sign
}

func failureUpdate(err error) update {
	var refused *ErrRefused
	var unreached *ErrUnreached
	var withdrawn *ErrWithdrawn
	var cutOff *ErrCutOff
	var unvouched *ErrUnvouched
	var pathFailed *ErrPathFailed
	switch {
	case errors.As(err, &pathFailed):
		return update{event: Broken{Reason: err.Error(), PathFailed: true}, result: ResultNeutral}
	case errors.As(err, &unvouched):
		return update{event: Unvouched{Status: unvouched.Status}, result: ResultFaulty}
	case errors.As(err, &refused):
		return update{event: Refused{Reason: refused.Reason, Sign: signBy(SignStated, refused.ByPeer)}, result: ResultRefused}
	case errors.As(err, &unreached):
		return update{event: Unreached{Reason: unreached.Reason, Sign: signBy(SignUnsent, unreached.ByPeer)}, result: ResultUnreached}
	case errors.As(err, &withdrawn):
		return update{event: Unreached{Reason: withdrawn.Reason, Sign: signBy(SignWithdrawn, withdrawn.ByPeer)}, result: ResultNeutral}
	case errors.As(err, &cutOff):
		return update{event: Broken{Reason: err.Error()}, result: ResultCutOff}
	default:
		return update{event: Broken{Reason: err.Error()}, result: ResultBroken}
	}
}
