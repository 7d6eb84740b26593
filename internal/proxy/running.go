package proxy

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/internal/outbound"
	"github.com/cloverrail/cloverrail/internal/routing"
)

const (
	// promptEndTime is how long a server may take to end an attempt whose caller has left before other nodes are told that
	// it runs.
	promptEndTime = 10 * time.Millisecond
	// runningReportWait is how long after its arrival a request that resumes a stream waits for the report that an earlier
	// attempt runs: a caller may come back before its former node has noticed that it left.
	runningReportWait = 50 * time.Millisecond
	// runningRecheckInterval is the interval at which a request that waits for the end of an earlier attempt asks for it.
	runningRecheckInterval = 100 * time.Millisecond
	// maxRunningRetryAfter bounds the retry delay of callers whose stream cannot go on beside an earlier attempt.
	maxRunningRetryAfter = time.Second
)

// AttemptEnd is what is known of the end of an attempt whose caller has left.
type AttemptEnd string

// The ends. They are labels of metrics.
const (
	// AttemptEnded means that the server has ended the attempt, or no longer exists.
	AttemptEnded AttemptEnd = "ended"
	// AttemptReset means that the server sent on, that its connection was reset, and that it had time to notice.
	AttemptReset AttemptEnd = "reset"
	// AttemptUnknown means that the server was silent for longer than callers wait, or that nothing more will be known.
	AttemptUnknown AttemptEnd = "unknown"
)

// LeftAttempt is an attempt that its server did not end at once when its caller had left.
type LeftAttempt struct {
	Stream origin.Key
	Server string
	End    AttemptEnd
	Waited time.Duration
}

// EarlierAttempt is an attempt of an earlier try of a caller that a server may still work on.
type EarlierAttempt struct {
	Stream origin.Key
	Server string
	// Released reports that the stream may go on at another server.
	Released bool
	Took     time.Duration
}

// streamKey returns the key of the stream that the request begins or continues.
func (admitted *admitted) streamKey() origin.Key {
	if id := admitted.request.Resumes; id != "" {
		return admitted.originKey(id)
	}
	return admitted.originKey(admitted.request.ID)
}

// mayBeTakenUp reports whether callers may take up the streams of the request's route at any node.
func (proxy *Proxy) mayBeTakenUp(admitted *admitted) bool {
	return proxy.running != nil && admitted.route.Kind == catalog.Stream && admitted.route.Resumable
}

// CallerDataEnded records that the caller of a request has closed its direction of the connection while it gets the response:
// it may have left, and take the stream up at another node, before a write of the response shows that.
func (proxy *Proxy) CallerDataEnded(request *Request) {
	served, found := proxy.streams.Load(request)
	if !found || !proxy.mayBeTakenUp(served.(*admitted)) {
		return
	}
	f := proxy.newFollower(served.(*admitted))
	if f.placement == nil || f.reported {
		return
	}
	f.markReported()
	proxy.running.Put(f.stream, f.try, f.attempt, f.leftAt)
	go f.report(&f.attempt)
}

// followLatest follows the latest attempt of a stream that its caller may take up, if its server may still work on it.
func (proxy *Proxy) followLatest(admitted *admitted, outcome exchange.Outcome) {
	if !proxy.mayBeTakenUp(admitted) {
		return
	}
	f := proxy.newFollower(admitted)
	begun := outcome.Events > 0 || admitted.request.Resumes != ""
	if outcome.Failure == nil || !begun || f.placement == nil || f.placement.completion == nil || !f.leftAt.Before(admitted.deadline) {
		f.forget()
		return
	}
	f.attempt.Stalled = f.placement.standsStill(f.leftAt)
	proxy.running.Put(f.stream, f.try, f.attempt, f.leftAt)
	go f.run()
}

func (proxy *Proxy) newFollower(admitted *admitted) *follower {
	tracked := admitted.stream
	tracked.mutex.Lock()
	defer tracked.mutex.Unlock()
	f := &follower{
		proxy: proxy, tracked: tracked, placement: tracked.latest, leftAt: boottime.Now(), stream: admitted.streamKey(), try: admitted.originKey(admitted.request.ID),
		reported: tracked.mayHaveLeft,
	}
	if f.placement != nil {
		f.attempt = origin.RunningAttempt{Server: f.placement.chosen.Endpoint, Until: admitted.deadline}
	}
	return f
}

// follower waits for the end of an attempt whose caller has left, and tells it to other nodes.
type follower struct {
	proxy   *Proxy
	tracked *trackedStream
	// placement is the attempt; nil if the request has none.
	placement *placement
	leftAt    time.Time
	stream    origin.Key
	try       origin.Key
	attempt   origin.RunningAttempt
	// reported is set once other nodes have been told of the attempt.
	reported bool
}

// markReported records that other nodes are told of the attempt.
func (f *follower) markReported() {
	f.tracked.mutex.Lock()
	defer f.tracked.mutex.Unlock()
	f.tracked.mayHaveLeft, f.reported = true, true
}

// forget records that the attempt does not run.
func (f *follower) forget() {
	if f.reported {
		f.proxy.running.Remove(f.stream, f.try)
		go f.report(nil)
	}
}

func (f *follower) run() {
	done := f.placement.completion.Done()
	select {
	case <-done:
		if f.placement.completion.Result() == outbound.CompletionEnded {
			f.proxy.running.Remove(f.stream, f.try)
			f.forget()
			return
		}
	case <-time.After(promptEndTime):
	}
	f.report(&f.attempt)
	end := f.awaitEnd(done)
	if end == AttemptEnded {
		f.proxy.running.Remove(f.stream, f.try)
		f.report(nil)
	} else {
		f.attempt.Released = true
		f.proxy.running.Put(f.stream, f.try, f.attempt, boottime.Now())
		f.report(&f.attempt)
	}
	f.proxy.recorder.AttemptLeft(f.placement.placer.admitted.request, LeftAttempt{Stream: f.stream, Server: f.attempt.Server, End: end, Waited: boottime.Since(f.leftAt)})
}

// report tells other nodes that the attempt runs, or that it has ended.
func (f *follower) report(attempt *origin.RunningAttempt) {
	if f.proxy.runningHolders != nil {
		f.proxy.runningHolders.ReportRunning(context.Background(), f.stream, f.try, attempt)
	}
}

// awaitEnd waits until the server has ended the attempt, or nothing more will be known of it.
func (f *follower) awaitEnd(done <-chan struct{}) AttemptEnd {
	ticker := time.NewTicker(releaseCheckInterval)
	defer ticker.Stop()
	reset := resetWait{}
	for {
		select {
		case <-done:
			switch f.placement.completion.Result() {
			case outbound.CompletionEnded:
				return AttemptEnded
			case outbound.CompletionUnknown:
				return AttemptUnknown
			}
			reset = f.placement.newResetWait(boottime.Now())
			done = nil
		case <-f.proxy.stopping:
			return AttemptUnknown
		case <-ticker.C:
			now := boottime.Now()
			switch {
			case f.proxy.set.Replaced(f.attempt.Server):
				return AttemptEnded
			case reset.over(now):
				return AttemptReset
			case !now.Before(f.attempt.Until), now.Sub(f.placement.silentSince()) >= f.placement.placer.maxServerSilence():
				return AttemptUnknown
			}
		}
	}
}

// standsStill reports whether an attempt is silent for longer than its server should be.
func (placement *placement) standsStill(now time.Time) bool {
	return now.Sub(placement.silentSince()) >= placement.placer.eventGapTimeout()
}

// earlierAttempt is the attempt of an earlier try of the caller, as other nodes report it.
type earlierAttempt struct {
	proxy  *Proxy
	stream origin.Key

	mutex   sync.Mutex
	attempt origin.RunningAttempt
	ended   bool
	// checkedAt is when it was last asked for, and checking is set while it is.
	checkedAt time.Time
	checking  bool
}

// findEarlier finds an attempt of the stream that the caller resumes which a server may still work on.
func (proxy *Proxy) findEarlier(ctx context.Context, admitted *admitted) {
	if admitted.request.Resumes == "" || !proxy.mayBeTakenUp(admitted) {
		return
	}
	startedAt := boottime.Now()
	wait := max(0, runningReportWait-startedAt.Sub(admitted.request.Arrived))
	found, known := proxy.findRunning(ctx, admitted.streamKey(), wait)
	if !known {
		return
	}
	admitted.earlier = &earlierAttempt{proxy: proxy, stream: admitted.streamKey(), attempt: found, checkedAt: boottime.Now()}
	proxy.recorder.EarlierAttemptFound(admitted.request, EarlierAttempt{Stream: admitted.streamKey(), Server: found.Server, Released: found.Released, Took: boottime.Since(startedAt)})
}

// findRunning searches what is reported to this node, and asks other nodes. It waits for a report.
func (proxy *Proxy) findRunning(ctx context.Context, stream origin.Key, wait time.Duration) (origin.RunningAttempt, bool) {
	if attempt, known := proxy.running.Lookup(stream, boottime.Now()); known {
		return attempt, true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		attempt origin.RunningAttempt
		known   bool
	}
	answers, sources := make(chan answer, 2), 1
	go func() {
		waiting, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		attempt, known := proxy.running.Await(waiting, stream)
		answers <- answer{attempt, known}
	}()
	if proxy.runningHolders != nil {
		sources++
		go func() {
			asking, cancel := context.WithTimeout(ctx, wait+runningRecheckInterval)
			defer cancel()
			attempt, known := proxy.runningHolders.FindRunning(asking, stream, wait)
			answers <- answer{attempt, known}
		}()
	}
	for range sources {
		if a := <-answers; a.known {
			return a.attempt, true
		}
	}
	return origin.RunningAttempt{}, false
}

// state returns the attempt, and whether its server may still work on it.
func (e *earlierAttempt) state(now time.Time) (origin.RunningAttempt, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.attempt, !e.ended && now.Before(e.attempt.Until) && !e.proxy.set.Replaced(e.attempt.Server)
}

// recheck asks for the attempt again, in the background.
func (e *earlierAttempt) recheck(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.checking || now.Sub(e.checkedAt) < runningRecheckInterval {
		return
	}
	e.checking = true
	go func() {
		attempt, known := e.proxy.findRunning(context.Background(), e.stream, 0)
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.checking, e.checkedAt = false, boottime.Now()
		if e.ended = !known; known {
			e.attempt = attempt
		}
	}()
}

// keepsToEarlier reports whether no server gets the stream but the one that may still work on an earlier attempt of it: two
// servers must not work on a stream. If they probably do not, that one still goes first, since it has the prompt.
func (placer *placer) keepsToEarlier(now time.Time) bool {
	earlier := placer.admitted.earlier
	if earlier == nil || placer.passesEarlier {
		return false
	}
	attempt, runs := earlier.state(now)
	return runs && (!attempt.Released || len(placer.excluded) == 0 && !attempt.Stalled)
}

// keepToEarlier excludes the candidates that may not get the stream because of an earlier attempt of it. A server that stood
// still with that attempt does not get another one.
func (placer *placer) keepToEarlier(candidates []routing.Candidate, now time.Time) {
	if !placer.keepsToEarlier(now) {
		return
	}
	attempt, _ := placer.admitted.earlier.state(now)
	for i := range candidates {
		if attempt.Stalled || candidates[i].Endpoint != attempt.Server {
			candidates[i].Excluded = true
		}
	}
}

// unplacedBesideEarlier returns why no server gets the stream while another one may work on an earlier attempt of it. It
// returns nil if other servers may.
func (placer *placer) unplacedBesideEarlier(now time.Time) *exchange.Unplaced {
	if !placer.keepsToEarlier(now) {
		return nil
	}
	earlier := placer.admitted.earlier
	attempt, _ := earlier.state(now)
	if attempt.Released {
		return nil
	}
	earlier.recheck(now)
	problem := fmt.Sprintf("server %s may still work on an earlier attempt of the stream", attempt.Server)
	refusal := failure.New(failure.KindNoEndpoint, problem, "resume the stream after the given delay").WithRetryAfter(min(maxRunningRetryAfter, attempt.Until.Sub(now)))
	return &exchange.Unplaced{Reason: problem, Wait: placer.earlierPatience(), Refusal: refusal}
}

// earlierPatience returns how long the request waits for the end of an earlier attempt: as long as its caller bears, and as
// another server can complete the stream.
func (placer *placer) earlierPatience() time.Duration {
	admitted := placer.admitted
	latest := admitted.deadline.Add(-placer.proxy.runTimes.estimate(admitted.route.Name))
	return max(0, min(placer.maxServerSilence(), latest.Sub(admitted.request.Arrived)))
}
