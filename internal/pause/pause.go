// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits for a length of time, or until the context ends.
func For(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
