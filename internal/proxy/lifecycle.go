package proxy

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

const (
	// lameDuckPeriod is how long a stopping node still accepts new requests, so that
	// load balancers see that it is no longer ready before it refuses any.
	noticeTime = 2500 * time.Millisecond
	// abortMargin is reserved at the end of the grace period for sending final
	// responses to aborted requests.
	lastMoment = 700 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// Drain performs a graceful shutdown. It accepts requests for lameDuckPeriod, then
// refuses new ones as not run and waits for the open ones. Requests that are still
// open abortMargin before the end of the grace period are aborted.
func (proxy *Proxy) Drain(ctx context.Context, grace time.Duration) {
	begun := boottime.Now()
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		elapsed := boottime.Since(begun)
		if elapsed >= noticeTime {
			proxy.refusing.Store(true)
			if proxy.Open() == 0 {
				return
			}
		}
		if elapsed >= grace-lastMoment {
			proxy.Abort()
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
