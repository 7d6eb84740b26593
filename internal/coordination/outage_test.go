package coordination

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// awaited returns how long AwaitRetry waits if the given function runs meanwhile.
func awaited(o *Outage, meanwhile func()) time.Duration {
	startedAt := time.Now()
	go meanwhile()
	o.AwaitRetry(context.Background())
	return time.Since(startedAt)
}

// Guards against work that sleeps on once the store answers again, and against a fleet that calls the
// store all at once.
func TestRetryFollowsAnswerOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answeredAfter = 20 * time.Millisecond
		earliest, latest := time.Hour, time.Duration(0)
		for range 100 {
			outage := &Outage{}
			outage.ObserveFailure(time.Now())
			waited := awaited(outage, func() {
				time.Sleep(answeredAfter)
				outage.ObserveAnswer(time.Now())
			})
			require.LessOrEqual(t, waited, answeredAfter+minRetryDelay+retrySpread)
			earliest, latest = min(earliest, waited), max(latest, waited)
		}
		require.GreaterOrEqual(t, earliest, answeredAfter+minRetryDelay)
		require.Greater(t, latest-earliest, retrySpread/2, "the calls of many nodes are spread")
	})
}

func TestRetryWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outage := &Outage{}
		begin := time.Now()
		time.Sleep(time.Second)
		outage.ObserveFailure(time.Now())
		for _, o := range []*Outage{outage, nil} {
			waited := awaited(o, func() { o.ObserveAnswer(begin) })
			require.GreaterOrEqual(t, waited, MaxRetryDelay/2, "an answer to an earlier call says nothing of the outage")
			require.LessOrEqual(t, waited, MaxRetryDelay)
		}
	})
}

func TestRetryEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		startedAt := time.Now()
		(&Outage{}).AwaitRetry(ctx)
		require.Equal(t, time.Millisecond, time.Since(startedAt))
	})
}
