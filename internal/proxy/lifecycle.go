package proxy

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

const (
	// noticeTime is how long a stopping node still takes new requests, for whoever
	// sends callers here to see that it is not ready any more.
	noticeTime = 2500 * time.Millisecond
	// lastMoment is kept free before the end of the grace for final answers.
	lastMoment = 700 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// Drain is a planned stop: for a while requests are still served, then new ones
// are refused as not run and the open ones are waited for; what is still open
// shortly before the grace is over is ended.
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
