package exchange

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// countingCaller takes one event at a time, and records how many events were read ahead of it.
type countingCaller struct {
	recorder
	read      *atomic.Int64
	forwarded int64
	maxAhead  int64
}

func (caller *countingCaller) Forward(event []byte) error {
	caller.forwarded++
	caller.maxAhead = max(caller.maxAhead, caller.read.Load()-caller.forwarded)
	return caller.recorder.Forward(event)
}

// Guards against buffering a stream for a client that reads slowly, which no memory budget counts: beside the
// event that is being forwarded, at most one has been read.
func TestSlowReaderHoldsOneEventAhead(t *testing.T) {
	const events = 1000
	var read atomic.Int64
	server := func(context.Context, bool, int64) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Close: func() {}, Next: func() (StreamEvent, error) {
			if read.Load() == events {
				return StreamEvent{}, io.EOF
			}
			id := read.Add(1)
			return StreamEvent{Raw: make([]byte, 64), ID: id, HasID: true}, nil
		}}, nil
	}
	caller := &countingCaller{read: &read}
	outcome := Run(context.Background(), Request{Rules: singleRun, Budget: &fixedBudget{}, Placer: &placer{servers: []fakeServer{server}}, Caller: caller})
	require.Nil(t, outcome.Failure)
	require.Equal(t, int64(events), caller.forwarded)
	require.LessOrEqual(t, caller.maxAhead, int64(1))
}

// slowCaller takes each event after a delay.
type slowCaller struct {
	recorder
	delay time.Duration
}

func (caller *slowCaller) Forward(event []byte) error {
	time.Sleep(caller.delay)
	return caller.recorder.Forward(event)
}

// Guards against streams that are given up for their server's silence although its next event has come: their client took the
// one before slowly.
func TestSlowReaderIsNotTakenForSilentServer(t *testing.T) {
	const events, silence = 20, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		fakePlacer := &placer{servers: []fakeServer{streams(events, io.EOF), streams(events, io.EOF)}, stalled: func(time.Duration) bool { return true }}
		caller := &slowCaller{delay: 2 * silence}
		outcome := Run(t.Context(), Request{
			Rules: Rules{Repeatable: true, MaxRuns: 2, MaxSends: 6}, Budget: &fixedBudget{remaining: 9}, Placer: fakePlacer, Caller: caller,
			SilenceTimeouts: SilenceTimeouts{FirstEvent: silence, BetweenEvents: silence},
		})
		require.Nil(t, outcome.Failure)
		require.Equal(t, []Result{ResultServed}, fakePlacer.results)
	})
}

// Guards against streams that are given up for their server's silence by a process that was paused: their next events had come
// in time, and were not read yet.
func TestPausedProcessReadsBeforeServerCountsAsSilent(t *testing.T) {
	const silence, readDelay = 100 * time.Millisecond, 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		begun := false
		server := func(context.Context, bool, int64) (*Reply, error) {
			id := int64(0)
			return &Reply{Status: http.StatusOK, Close: func() {}, Next: func() (StreamEvent, error) {
				if id == 2 {
					return StreamEvent{}, io.EOF
				}
				if id++; id == 2 && !begun {
					begun = true
					time.Sleep(2*silence + readDelay)
				}
				return StreamEvent{Raw: make([]byte, 64), ID: id, HasID: true}, nil
			}}, nil
		}
		fakePlacer := &placer{servers: []fakeServer{server, server}, stalled: func(time.Duration) bool { return true }}
		outcome := Run(t.Context(), Request{
			Rules: Rules{Repeatable: true, MaxRuns: 2, MaxSends: 6}, Budget: &fixedBudget{remaining: 9}, Placer: fakePlacer, Caller: &slowCaller{delay: 2 * silence},
			SilenceTimeouts: SilenceTimeouts{FirstEvent: silence, BetweenEvents: silence},
		})
		require.Nil(t, outcome.Failure)
		require.Equal(t, []Result{ResultServed}, fakePlacer.results, "the first server was not silent")
	})
}

// Guards against streams that are given up for their server's silence although its next event has come, where the client has taken
// the one before just after the silence would have been too long: either may be looked at first then.
func TestEventThatHasComeIsNotTakenForSilence(t *testing.T) {
	const events, silence = 60, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		fakePlacer := &placer{servers: []fakeServer{streams(events, io.EOF), streams(events, io.EOF)}, stalled: func(time.Duration) bool { return true }}
		outcome := Run(t.Context(), Request{
			Rules: Rules{Repeatable: true, MaxRuns: 2, MaxSends: 6}, Budget: &fixedBudget{remaining: 9}, Placer: fakePlacer, Caller: &slowCaller{delay: silence + maxTimerDelay/2},
			SilenceTimeouts: SilenceTimeouts{FirstEvent: silence, BetweenEvents: silence},
		})
		require.Nil(t, outcome.Failure)
		require.Equal(t, []Result{ResultServed}, fakePlacer.results)
	})
}
