package quota

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a check of a server's limit that is separate from its use: concurrent requests
// must acquire as many permits as the same number of sequential ones.
func TestConcurrentTryAcquireStaysWithinLimit(t *testing.T) {
	const burst = 200
	burstAt := start.Add(10 * time.Second)
	newLimits := func() *ServerLimits {
		limits := NewServerLimits(func(uint64) bool { return true }, func() float64 { return 0.5 })
		limits.Resize(1)
		limits.ObserveLimit(limitedServer, 10, start)
		for now := start; now.Before(burstAt); now = now.Add(100 * time.Millisecond) {
			limits.Requested(limitedService, now)
		}
		return limits
	}
	sequential, limits := int64(0), newLimits()
	for range burst {
		if limits.TryAcquire(limitedServer, limitedService, burstAt) {
			sequential++
		}
	}
	require.Positive(t, sequential)
	require.Less(t, sequential, int64(burst))
	for range 20 {
		limits := newLimits()
		var acquired atomic.Int64
		var workers sync.WaitGroup
		for range burst {
			workers.Go(func() {
				if limits.TryAcquire(limitedServer, limitedService, burstAt) {
					acquired.Add(1)
				}
			})
		}
		workers.Wait()
		require.Equal(t, sequential, acquired.Load())
	}
}
