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
	refusing  bool
	suspended bool
	// lastRejectedAt is when the stopping node last rejected a request.
	refusedAt time.Time
	idle      chan struct{}
}

func newLifecycle() *lifecycle {
	return &lifecycle{idle: make(chan struct{})}
}

// begin admits a request; the returned function ends it.
func (lifecycle *lifecycle) enter() (func(), *failure.Failure) {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	switch {
	case lifecycle.refusing:
		lifecycle.refusedAt = boottime.Now()
		return nil, failure.New(failure.KindStopping, "this node is stopping", "send the request to another node").WithRetryAfter(time.Second)
	case lifecycle.suspended:
		return nil, failure.New(failure.KindUnavailable, "this node was paused and is catching up", "send the request to another node").WithRetryAfter(time.Second)
	}
	lifecycle.requests++
	return sync.OnceFunc(lifecycle.leave), nil
}

func (lifecycle *lifecycle) leave() {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	lifecycle.requests--
	lifecycle.signal()
}

func (lifecycle *lifecycle) signal() {
	if lifecycle.refusing && lifecycle.requests == 0 {
		select {
		case <-lifecycle.idle:
		default:
			close(lifecycle.idle)
		}
	}
}

func (lifecycle *lifecycle) set(change func()) {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	change()
	lifecycle.signal()
}

func (lifecycle *lifecycle) stopReadiness() { lifecycle.set(func() { lifecycle.unready = true }) }
func (lifecycle *lifecycle) refuse()        { lifecycle.set(func() { lifecycle.refusing = true }) }
func (lifecycle *lifecycle) suspend()       { lifecycle.set(func() { lifecycle.suspended = true }) }
func (lifecycle *lifecycle) resume()        { lifecycle.set(func() { lifecycle.suspended = false }) }

func (lifecycle *lifecycle) ready() bool {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	return !lifecycle.unready && !lifecycle.refusing && !lifecycle.suspended
}

func (lifecycle *lifecycle) draining() bool {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	return lifecycle.unready || lifecycle.refusing
}

func (lifecycle *lifecycle) open() int {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	return lifecycle.requests
}

// idleFor reports whether the stopping node has rejected no request for a duration.
func (lifecycle *lifecycle) quiet(while time.Duration) bool {
	lifecycle.mutex.Lock()
	defer lifecycle.mutex.Unlock()
	return boottime.Since(lifecycle.refusedAt) >= while
}

// awaitIdle returns when no request is open or the context ends.
func (lifecycle *lifecycle) wait(ctx context.Context) {
	select {
	case <-lifecycle.idle:
	case <-ctx.Done():
	}
}
