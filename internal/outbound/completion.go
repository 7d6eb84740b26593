package outbound

import (
	"context"
	"sync"
)

// Completion tells when the called party has ceased to work on a call, which can be later than the call's own
// end: a party that is busy or stopped notices later that the call was given up.
type Completion struct {
	mutex sync.Mutex
	done  <-chan struct{}
	// confirmed reports, once done is closed, whether the called party has ended the call.
	confirmed func() bool
}

type completionKey struct{}

// TrackCompletion returns a context whose calls report their completion.
func TrackCompletion(ctx context.Context) (context.Context, *Completion) {
	c := &Completion{}
	return context.WithValue(ctx, completionKey{}, c), c
}

// CompletionOf returns the Completion of a context, or nil.
func CompletionOf(ctx context.Context) *Completion {
	c, _ := ctx.Value(completionKey{}).(*Completion)
	return c
}

// Begin records that a call has been sent: done is closed once it is complete, and confirmed reports then whether the
// called party has ended it.
func (c *Completion) Begin(done <-chan struct{}, confirmed func() bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.done, c.confirmed = done, confirmed
}

// Done returns a channel that is closed once the latest call is complete. It is closed if there is none.
func (c *Completion) Done() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.done == nil {
		return closedChannel
	}
	return c.done
}

// Confirmed reports whether the called party has ended the latest call.
func (c *Completion) Confirmed() bool {
	select {
	case <-c.Done():
	default:
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.confirmed == nil || c.confirmed()
}

var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
