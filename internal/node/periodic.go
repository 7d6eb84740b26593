package node

import (
	"context"
	"time"
)

// runPeriodically runs task once per interval, for the first time after one
// interval, until the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			task()
		case <-ctx.Done():
			return
		}
	}
}
