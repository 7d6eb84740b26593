package node

import (
	"context"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/failure"
)

// lifecycle counts open requests and rejects new ones while the node is stopping or
// suspended.
type lifecycle struct {
	mutex     sync.Mutex
	requests  int
	unready   bool
	rejecting bool
	suspended bool
	// lastRejectedAt is when the stopping node last rejected a request.
	lastRejectedAt time.Time
	idle           chan struct{}
}

func newLifecycle() *lifecycle {
	return &lifecycle{idle: make(chan struct{})}
}

// begin admits a request; the returned function ends it.
func (lifecycle *lifecycle) begin() (func(), *failure.Failure) {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	switch {
	case lifecycle.rejecting:
		lifecycle.lastRejectedAt = boottime.Now()
		return nil, failure.New(failure.KindStopping, "this node is stopping", "send the request to another node").WithRetryAfter(time.Second)
	case lifecycle.suspended:
		return nil, failure.New(failure.KindUnavailable, "this node was paused and is catching up", "send the request to another node").WithRetryAfter(time.Second)
	}
	lifecycle.requests++
	return sync.OnceFunc(lifecycle.end), nil
}

func (lifecycle *lifecycle) end() {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	lifecycle.requests--
	lifecycle.closeIfIdle()
}

func (lifecycle *lifecycle) closeIfIdle() {
	if lifecycle.rejecting && lifecycle.requests == 0 {
		select {
		case <-lifecycle.idle:
		default:
			close(lifecycle.idle)
		}
	}
}

func (lifecycle *lifecycle) update(change func()) {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	change()
	lifecycle.closeIfIdle()
}

func (lifecycle *lifecycle) markUnready() { lifecycle.update(func() { lifecycle.unready = true }) }
func (lifecycle *lifecycle) reject()      { lifecycle.update(func() { lifecycle.rejecting = true }) }
func (lifecycle *lifecycle) suspend()     { lifecycle.update(func() { lifecycle.suspended = true }) }
func (lifecycle *lifecycle) resume()      { lifecycle.update(func() { lifecycle.suspended = false }) }

func (lifecycle *lifecycle) ready() bool {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	return !lifecycle.unready && !lifecycle.rejecting && !lifecycle.suspended
}

func (lifecycle *lifecycle) draining() bool {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	return lifecycle.unready || lifecycle.rejecting
}

func (lifecycle *lifecycle) openRequests() int {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	return lifecycle.requests
}

// noRejectionFor reports whether the stopping node has rejected no request for a
// duration.
func (lifecycle *lifecycle) idleFor(duration time.Duration) bool {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	return boottime.Since(lifecycle.lastRejectedAt) >= duration
}

// awaitIdle returns when no request is open or the context ends.
func (lifecycle *lifecycle) awaitIdle(ctx context.Context) {
	select {
	case <-lifecycle.idle:
	case <-ctx.Done():
	}
}
