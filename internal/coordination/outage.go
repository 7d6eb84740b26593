package coordination

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/pause"
)

const (
	// MaxRetryDelay is the longest wait before a failed call to the store is repeated while nothing shows
	// that the store answers again.
	MaxRetryDelay = time.Second
	// minRetryDelay is the shortest wait, and retrySpread the time over which nodes that learn of the
	// store's return at the same time spread their calls.
	minRetryDelay = 50 * time.Millisecond
	retrySpread   = 500 * time.Millisecond
)

// Outage tracks whether the shared store answers, so that work that an outage has put off is taken up
// when the outage ends. Its zero value has seen no outage; nil sees none. It is safe for concurrent use.
type Outage struct {
	mutex sync.Mutex
	// failedAt is when the last call without a usable response ended.
	failedAt time.Time
	// ended is closed once the store answers; nil if nobody waits.
	ended chan struct{}
}

// ObserveFailure records that a call ended without a usable response.
func (o *Outage) ObserveFailure(at time.Time) {
	if o == nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if at.After(o.failedAt) {
		o.failedAt = at
	}
}

// ObserveAnswer records that the store answered a call, of this node or another one, that was sent at a
// time.
func (o *Outage) ObserveAnswer(sentAt time.Time) {
	if o == nil {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.ended != nil && sentAt.After(o.failedAt) {
		close(o.ended)
		o.ended = nil
	}
}

// AwaitRetry waits after a failed call until it may be repeated: until the store answers, or for
// MaxRetryDelay at most. A node that alone is cut off from the store learns from nobody that it answers
// again. The waits of a fleet are spread at random.
func (o *Outage) AwaitRetry(ctx context.Context) {
	delay := MaxRetryDelay/2 + rand.N(MaxRetryDelay/2)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-o.nextAnswer():
		pause.For(ctx, minRetryDelay+rand.N(retrySpread))
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextAnswer returns a channel that is closed when the store answers.
func (o *Outage) nextAnswer() <-chan struct{} {
	if o == nil {
		return nil
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.ended == nil {
		o.ended = make(chan struct{})
	}
	return o.ended
}
