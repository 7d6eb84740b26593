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
func TestALimitIsTakenOnceForEachRequest(t *testing.T) {
	const burst = 200
	moment := begin.Add(10 * time.Second)
	asked := func() *Servers {
		limits := NewServers(func(uint64) bool { return true }, func() float64 { return 0.5 })
		limits.Resize(1)
		limits.Named(limitedServer, 10, begin)
		for now := begin; now.Before(moment); now = now.Add(100 * time.Millisecond) {
			limits.Asked(limitedService, now)
		}
		return limits
	}
	inTurn, limits := int64(0), asked()
	for range burst {
		if limits.Take(limitedServer, limitedService, moment) {
			inTurn++
		}
	}
	require.Positive(t, inTurn)
	require.Less(t, inTurn, int64(burst))
	for range 20 {
		limits := asked()
		var passed atomic.Int64
		var all sync.WaitGroup
		for range burst {
			all.Go(func() {
				if limits.Take(limitedServer, limitedService, moment) {
					passed.Add(1)
				}
			})
		}
		all.Wait()
		require.Equal(t, inTurn, passed.Load())
	}
}
