package proxy

import (
	"context"
	"time"
)

const (
	// noticeTime is how long a stopping node still takes new requests, for the
	// platform to see that it is not ready any more.
	noticeTime = 2500 * time.Millisecond
	// lastMoment is kept free before the end of the grace for final answers.
	lastMoment = 700 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// Drain waits, at a planned stop, until no request is open, and ends what is
// still open shortly before the grace is over.
func (proxy *Proxy) Drain(ctx context.Context, grace time.Duration) {
	begun := time.Now()
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		elapsed := time.Since(begun)
		if elapsed >= noticeTime && proxy.Open() == 0 {
			return
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
