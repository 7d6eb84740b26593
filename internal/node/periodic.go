package node

import (
	"context"
	"time"
)

// runPeriodically runs task once per interval, for the first time after one
// interval, until the context ends.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-ctx.Done():
			return
		}
	}
}
