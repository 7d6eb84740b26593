package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/failure"
)

// fakeServer responds to one attempt.
type fakeServer func(ctx context.Context, resumes bool, after int64) (*Reply, error)

// placer places each attempt on the next server of a list.
type placer struct {
	servers     []fakeServer
	next        int
	readmitted  []string
	results     []Result
	stalled     func(silent time.Duration) bool
	startWithin time.Duration
	// pathFailed, if set, reports whether the path has failed under the attempt with a number.
	pathFailed func(number int, silent time.Duration) bool
	// awaitRelease, if set, is called when the attempt with a number is to be released.
	awaitRelease func(ctx context.Context, number int)
}

func (placer *placer) Place([]string) (Placement, *Unplaced) {
	if placer.next >= len(placer.servers) {
		return nil, &Unplaced{Reason: "no servers left", Permanent: true}
	}
	placer.next++
	return &placement{placer: placer, number: placer.next - 1}, nil
}

func (placer *placer) Readmit(servers []string) {
	placer.readmitted = append(placer.readmitted, servers...)
}

type placement struct {
	placer *placer
	number int
}

func (placement *placement) Server() string   { return fmt.Sprint(placement.number) }
func (placement *placement) ResponseStarted() {}
func (placement *placement) Forwarding()      {}

func (placement *placement) Stalled(silent time.Duration) bool {
	return placement.placer.stalled != nil && placement.placer.stalled(silent)
}
func (placement *placement) PathFailed(silent time.Duration) bool {
	return placement.placer.pathFailed != nil && placement.placer.pathFailed(placement.number, silent)
}
func (placement *placement) StartDeadline() time.Time {
	if placement.placer.startWithin == 0 || placement.number > 0 {
		return time.Time{}
	}
	return time.Now().Add(placement.placer.startWithin)
}
func (placement *placement) End(result Result) {
	placement.placer.results = append(placement.placer.results, result)
}
func (placement *placement) AwaitRelease(ctx context.Context) ReleaseReason {
	if placement.placer.awaitRelease != nil {
		placement.placer.awaitRelease(ctx, placement.number)
	}
	return ReleaseEnded
}
func (placement *placement) Send(ctx context.Context, resumes bool, after int64) (*Reply, error) {
	return placement.placer.servers[placement.number](ctx, resumes, after)
}

// recorder is a Caller that records the response.
type recorder struct {
	heads       int
	status      int
	body        strings.Builder
	disconnects bool
}

func (recorder *recorder) Answer(answer *Answer) error {
	recorder.heads++
	recorder.status = answer.Status
	recorder.body.Write(answer.Body)
	return nil
}

func (recorder *recorder) Open(status int, _ http.Header) error {
	recorder.heads++
	recorder.status = status
	return nil
}

func (recorder *recorder) Forward(event []byte) error {
	if recorder.disconnects {
		return errors.New("gone")
	}
	recorder.body.Write(event)
	return nil
}

func respondsWith(status int, text string) fakeServer {
	return func(context.Context, bool, int64) (*Reply, error) {
		return &Reply{Status: status, Complete: &Answer{Status: status, Body: []byte(text)}, Close: func() {}}, nil
	}
}

func fails(err error) fakeServer {
	return func(context.Context, bool, int64) (*Reply, error) { return nil, err }
}

func hangs(ctx context.Context, _ bool, _ int64) (*Reply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// streams returns a server that sends the events from after+1 to last and then fails with end.
func streams(last int64, end error) fakeServer {
	return func(_ context.Context, resumes bool, after int64) (*Reply, error) {
		next := int64(1)
		if resumes {
			next = after + 1
		}
		return &Reply{Status: http.StatusOK, Close: func() {}, Next: func() (StreamEvent, error) {
			if next > last {
				return StreamEvent{}, end
			}
			next++
			return StreamEvent{Raw: fmt.Appendf(nil, "%d ", next-1), ID: next - 1, HasID: true}, nil
		}}, nil
	}
}

func runRequest(ctx context.Context, rules Rules, recorder *recorder, list ...fakeServer) (Outcome, *placer) {
	fakePlacer := &placer{servers: list}
	outcome := Run(ctx, Request{Rules: rules, Budget: &fixedBudget{remaining: 9}, Placer: fakePlacer, Caller: recorder})
	return outcome, fakePlacer
}

func TestBrokenStreamIsResumedAsOneResponse(t *testing.T) {
	recorder := &recorder{}
	outcome, fakePlacer := runRequest(context.Background(), Rules{Repeatable: true, MaxRuns: 3, MaxSends: 6}, recorder,
		streams(2, io.ErrUnexpectedEOF), fails(&ErrRefused{}), streams(4, io.ErrUnexpectedEOF), streams(6, io.EOF))
	require.Nil(t, outcome.Failure)
	require.Equal(t, "1 2 3 4 5 6 ", recorder.body.String())
	require.Equal(t, 1, recorder.heads)
	require.Equal(t, []Result{ResultBroken, ResultRefused, ResultBroken, ResultServed}, fakePlacer.results)
}

func TestNonRepeatableBrokenStreamIsCut(t *testing.T) {
	recorder := &recorder{}
	outcome, _ := runRequest(context.Background(), singleRun, recorder, streams(2, io.ErrUnexpectedEOF), streams(6, io.EOF))
	require.True(t, outcome.Cut)
	require.Equal(t, failure.Ran, outcome.Failure.Outcome)
	require.Equal(t, "1 2 ", recorder.body.String())
}

func TestServerErrorIsDeliveredOnlyIfRetryFails(t *testing.T) {
	recorder := &recorder{}
	outcome, _ := runRequest(context.Background(), twoRuns, recorder, respondsWith(500, "sorry"), respondsWith(200, "done"))
	require.Nil(t, outcome.Failure)
	require.Equal(t, "done", recorder.body.String())
	recorder.body.Reset()
	outcome, _ = runRequest(context.Background(), twoRuns, recorder, respondsWith(500, "sorry"), fails(errors.New("reset")))
	require.Nil(t, outcome.Failure)
	require.Equal(t, "sorry", recorder.body.String())
	require.Equal(t, 500, recorder.status)
}

func TestUnvouchedPromiseCountsAsFailureOfServer(t *testing.T) {
	recorder := &recorder{}
	outcome, fakePlacer := runRequest(context.Background(), twoRuns, recorder, fails(&ErrUnvouched{Status: 503}), respondsWith(200, "done"))
	require.Nil(t, outcome.Failure)
	require.Equal(t, "done", recorder.body.String())
	require.Equal(t, []Result{ResultFaulty, ResultServed}, fakePlacer.results)
	outcome, fakePlacer = runRequest(context.Background(), singleRun, recorder, fails(&ErrUnvouched{Status: 429}))
	require.Equal(t, failure.KindBackendFailed, outcome.Failure.Kind)
	require.Equal(t, failure.Unknown, outcome.Failure.Outcome)
	require.Contains(t, outcome.Failure.Problem, "429")
	require.Equal(t, []Result{ResultFaulty}, fakePlacer.results)
}

func TestDeadlineCancelsAttempt(t *testing.T) {
	ended := make(chan struct{})
	server := func(ctx context.Context, _ bool, _ int64) (*Reply, error) {
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	outcome, fakePlacer := runRequest(ctx, singleRun, &recorder{}, server)
	<-ended
	require.Equal(t, failure.KindDeadline, outcome.Failure.Kind)
	require.Equal(t, failure.Unknown, outcome.Failure.Outcome)
	require.Equal(t, []Result{ResultSilent}, fakePlacer.results)
}

func TestCallerDisconnectEndsAttempt(t *testing.T) {
	outcome, fakePlacer := runRequest(context.Background(), singleRun, &recorder{disconnects: true}, streams(3, io.EOF))
	require.Equal(t, failure.KindCallerLeft, outcome.Failure.Kind)
	require.Len(t, fakePlacer.results, 1)
}

func TestShutdownFailsOpenRequests(t *testing.T) {
	stopping := make(chan struct{})
	close(stopping)
	outcome := Run(context.Background(), Request{
		Rules: singleRun, Budget: &fixedBudget{}, Placer: &placer{servers: []fakeServer{hangs}}, Caller: &recorder{}, Stopping: stopping,
	})
	require.Equal(t, failure.KindStopping, outcome.Failure.Kind)
	require.False(t, outcome.Cut)
}

func TestSilentAttemptIsRetriedOnlyWhenStalled(t *testing.T) {
	checks := 0
	fakePlacer := &placer{servers: []fakeServer{hangs, respondsWith(200, "done")}}
	fakePlacer.stalled = func(time.Duration) bool {
		if len(fakePlacer.results) > 0 {
			// On a busy machine the second server's response may also exceed the silence timeout.
			return false
		}
		checks++
		return checks == 3
	}
	recorder := &recorder{}
	outcome := Run(context.Background(), Request{
		Rules: twoRuns, Budget: &fixedBudget{remaining: 1}, Placer: fakePlacer, Caller: recorder, SilenceTimeouts: SilenceTimeouts{FirstEvent: time.Millisecond},
	})
	require.Nil(t, outcome.Failure)
	require.Equal(t, 3, checks)
	require.Equal(t, []Result{ResultSilent, ResultServed}, fakePlacer.results)
}

// Guards against a request that cannot return to a server that it left for its silence alone, since its placer does not know
// that it was there.
func TestPlacerLearnsOfReadmittedServers(t *testing.T) {
	fakePlacer := &placer{servers: []fakeServer{hangs}, stalled: func(time.Duration) bool { return true }}
	outcome := Run(context.Background(), Request{
		Rules: twoRuns, Budget: &fixedBudget{remaining: 1}, Placer: fakePlacer, Caller: &recorder{}, SilenceTimeouts: SilenceTimeouts{FirstEvent: time.Millisecond},
	})
	require.NotNil(t, outcome.Failure, "no server is left")
	require.Equal(t, []string{"0"}, fakePlacer.readmitted)
}

// Guards against a dark server that is given up only at the next multiple of the silence timeout: where
// a recheck interval is set, an attempt that stays silent is checked again after it.
func TestSilentAttemptIsCheckedAgainAfterRecheckInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var checkedAt []time.Duration
		started := time.Now()
		fakePlacer := &placer{servers: []fakeServer{hangs, respondsWith(200, "done")}}
		fakePlacer.stalled = func(time.Duration) bool {
			checkedAt = append(checkedAt, time.Since(started))
			return len(checkedAt) == 3
		}
		outcome := Run(context.Background(), Request{
			Rules: twoRuns, Budget: &fixedBudget{remaining: 1}, Placer: fakePlacer, Caller: &recorder{},
			SilenceTimeouts: SilenceTimeouts{FirstEvent: 400 * time.Millisecond, Recheck: 50 * time.Millisecond},
		})
		require.Nil(t, outcome.Failure)
		require.Equal(t, []time.Duration{400 * time.Millisecond, 450 * time.Millisecond, 500 * time.Millisecond}, checkedAt)
	})
}

func TestAttemptIsCancelledAtStartDeadline(t *testing.T) {
	for _, rules := range []Rules{singleRun, twoRuns} {
		ended := make(chan struct{})
		slow := func(ctx context.Context, _ bool, _ int64) (*Reply, error) {
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		}
		fakePlacer := &placer{servers: []fakeServer{slow, streams(2, io.EOF)}, startWithin: time.Millisecond}
		recorder := &recorder{}
		outcome := Run(context.Background(), Request{Rules: rules, Budget: &fixedBudget{remaining: 1}, Placer: fakePlacer, Caller: recorder})
		<-ended
		if rules.Repeatable {
			require.Nil(t, outcome.Failure)
			require.Equal(t, "1 2 ", recorder.body.String())
			continue
		}
		require.Equal(t, failure.Unknown, outcome.Failure.Outcome)
	}
}

func TestStartDeadlineDoesNotApplyToStartedStream(t *testing.T) {
	fakePlacer := &placer{servers: []fakeServer{streams(50, io.EOF)}, startWithin: 20 * time.Second}
	outcome := Run(context.Background(), Request{Rules: singleRun, Budget: &fixedBudget{}, Placer: fakePlacer, Caller: &recorder{}})
	require.Nil(t, outcome.Failure)
}

// Guards against two servers that work on one request: the next attempt is sent only once the previous one has been
// released, and not at all if the caller leaves meanwhile.
func TestNextAttemptAwaitsRelease(t *testing.T) {
	for name, leaves := range map[string]bool{"released": false, "the caller leaves": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const silence, releaseTime = 100 * time.Millisecond, 700 * time.Millisecond
				ctx, leave := context.WithCancel(context.Background())
				defer leave()
				var releasedAt, sentAt time.Time
				second := func(ctx context.Context, resumes bool, after int64) (*Reply, error) {
					sentAt = time.Now()
					return streams(2, io.EOF)(ctx, resumes, after)
				}
				fakePlacer := &placer{
					servers: []fakeServer{hangs, second},
					stalled: func(time.Duration) bool { return true },
					awaitRelease: func(ctx context.Context, _ int) {
						select {
						case <-time.After(releaseTime):
							releasedAt = time.Now()
						case <-ctx.Done():
						}
					},
				}
				if leaves {
					time.AfterFunc(releaseTime/2, leave)
				}
				caller, startedAt := &recorder{}, time.Now()
				outcome := Run(ctx, Request{
					Rules: Rules{Repeatable: true, MaxRuns: 2, MaxSends: 6}, Budget: &fixedBudget{remaining: 9}, Placer: fakePlacer, Caller: caller,
					SilenceTimeouts: SilenceTimeouts{FirstEvent: silence},
				})
				if leaves {
					require.NotNil(t, outcome.Failure, "the caller has left")
					require.Equal(t, failure.KindCallerLeft, outcome.Failure.Kind)
					require.Zero(t, sentAt)
					require.Equal(t, releaseTime/2, time.Since(startedAt))
					return
				}
				require.Nil(t, outcome.Failure)
				require.Equal(t, "1 2 ", caller.body.String())
				require.Equal(t, silence+releaseTime, sentAt.Sub(startedAt))
				require.False(t, sentAt.Before(releasedAt))
			})
		})
	}
}

// panickingCaller panics when it is to write the response.
type panickingCaller struct{ recorder }

func (p *panickingCaller) Answer(*Answer) error { panic("cannot be written") }

// An attempt whose response cannot be written is ended, and its memory returned: it would count as in flight for good.
func TestPanicOfCallerEndsAttempt(t *testing.T) {
	released := false
	list := []fakeServer{func(context.Context, bool, int64) (*Reply, error) {
		answer := &Answer{Status: http.StatusOK, Release: func() { released = true }}
		return &Reply{Status: http.StatusOK, Complete: answer, Close: func() {}}, nil
	}}
	fakePlacer := &placer{servers: list}
	require.Panics(t, func() {
		Run(t.Context(), Request{Rules: Rules{MaxRuns: 1, MaxSends: 1}, Budget: &fixedBudget{}, Placer: fakePlacer, Caller: &panickingCaller{}})
	})
	require.Equal(t, []Result{ResultServed}, fakePlacer.results)
	require.True(t, released)
}

// panickingStream panics when it is to write an event.
type panickingStream struct{ recorder }

func (p *panickingStream) Forward([]byte) error { panic("cannot be written") }

func TestPanicOfCallerEndsStream(t *testing.T) {
	fakePlacer := &placer{servers: []fakeServer{streams(3, io.EOF)}}
	require.Panics(t, func() {
		Run(t.Context(), Request{Rules: Rules{MaxRuns: 1, MaxSends: 1}, Budget: &fixedBudget{}, Placer: fakePlacer, Caller: &panickingStream{}})
	})
	require.Len(t, fakePlacer.results, 1)
}

// earningBudget is a Budget that denies the first retries.
type earningBudget struct{ denied int }

func (b *earningBudget) Withdraw(time.Time) bool {
	b.denied--
	return b.denied < 0
}

// Guards against a stream that waits until its deadline at a server that its path leaves silent, since its runs are spent or no
// other server can serve it.
func TestSilentStreamGoesOnOnceItsPathHasFailed(t *testing.T) {
	const silence, verdict = 2 * time.Second, 1200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		startedAt := time.Now()
		fakePlacer := &placer{
			servers:    []fakeServer{stops, stops, streams(3, io.EOF)},
			pathFailed: func(number int, silent time.Duration) bool { return number < 2 && silent >= verdict },
		}
		caller := &recorder{}
		outcome := Run(ctx, Request{
			Rules: Rules{Repeatable: true, MaxRuns: 1, MaxSends: 6}, Budget: &earningBudget{}, Placer: fakePlacer, Caller: caller,
			SilenceTimeouts: SilenceTimeouts{FirstEvent: silence, BetweenEvents: silence},
		})
		require.Nil(t, outcome.Failure)
		require.Equal(t, "1 2 3 ", caller.body.String())
		require.Equal(t, []Result{ResultNeutral, ResultNeutral, ResultServed}, fakePlacer.results, "it says nothing of the servers")
		require.Equal(t, 2*verdict, time.Since(startedAt))
	})
}

// stops sends one event and then nothing more.
func stops(ctx context.Context, _ bool, _ int64) (*Reply, error) {
	reply, _ := streams(1, nil)(ctx, false, 0)
	first := reply.Next
	sent := false
	reply.Next = func() (StreamEvent, error) {
		if !sent {
			sent = true
			return first()
		}
		<-ctx.Done()
		return StreamEvent{}, ctx.Err()
	}
	return reply, nil
}

// Guards against requests that wait for a server which has stopped until their deadline: the retry budget was spent when it had been
// silent for too long, and earned retries later.
func TestSilentAttemptIsGivenUpOnceRetryIsAvailable(t *testing.T) {
	const silence = 400 * time.Millisecond
	for name, server := range map[string]fakeServer{"before its response": hangs, "in its stream": stops} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				startedAt := time.Now()
				fakePlacer := &placer{servers: []fakeServer{server, streams(3, io.EOF)}, stalled: func(time.Duration) bool { return true }}
				caller := &recorder{}
				outcome := Run(ctx, Request{
					Rules: twoRuns, Budget: &earningBudget{denied: 2}, Placer: fakePlacer, Caller: caller,
					SilenceTimeouts: SilenceTimeouts{FirstEvent: silence, BetweenEvents: silence},
				})
				require.Nil(t, outcome.Failure)
				require.Equal(t, "1 2 3 ", caller.body.String())
				require.Equal(t, []Result{ResultSilent, ResultServed}, fakePlacer.results)
				require.Equal(t, 3*silence, time.Since(startedAt))
			})
		})
	}
}
