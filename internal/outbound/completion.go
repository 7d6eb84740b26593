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
	// result returns how the call was completed. It is called once done is closed.
	result func() CompletionResult
	// closeAcknowledged reports whether the called party's host has acknowledged the end of the connection.
	closeAcknowledged func() bool
}

// CompletionResult is what is known of the called party once a call is complete.
type CompletionResult int

const (
	// CompletionUnknown means that it is not known whether the called party still works on the call.
	CompletionUnknown CompletionResult = iota
	// CompletionEnded means that it has ended the call.
	CompletionEnded
	// CompletionReset means that it runs, and that its connection was reset.
	CompletionReset
)

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

// Begin records that a call has been sent: done is closed once it is complete, and result returns how then.
// CloseAcknowledged reports whether the called party's host has acknowledged the end of the connection.
func (c *Completion) Begin(done <-chan struct{}, result func() CompletionResult, closeAcknowledged func() bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.done, c.result, c.closeAcknowledged = done, result, closeAcknowledged
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

// CloseAcknowledged reports whether the called party's host has acknowledged the end of the latest call's connection: the
// called party notices it as soon as it reads or writes there.
func (c *Completion) CloseAcknowledged() bool {
	c.mutex.Lock()
	acknowledged := c.closeAcknowledged
	c.mutex.Unlock()
	return acknowledged != nil && acknowledged()
}

// Result returns how the latest call was completed; CompletionUnknown if it is not complete.
func (c *Completion) Result() CompletionResult {
	select {
	case <-c.Done():
	default:
		return CompletionUnknown
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.result == nil {
		return CompletionEnded
	}
	return c.result()
}

var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
