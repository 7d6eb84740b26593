package exchange

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/failure"
)

// Event is an input of the Machine.
type Event interface{ event() }

// Placed reports that a server was chosen.
type Placed struct{ Server string }

// Unplaced reports that no server accepts the request now.
type Unplaced struct {
	Reason string
	// Permanent is set if waiting for free capacity does not help, and Final if no server may get the request any more.
	Permanent bool
	Final     bool
	// Expired is set if the request's deadline has passed.
	Expired bool
	// RetryAfter is the retry delay for the caller; 0 if unknown.
	RetryAfter time.Duration
	// Wait is how long the request waits for this reason to end, if that is longer than Rules.PlacementWait.
	Wait time.Duration
	// Refusal, if set, is the failure of the request, unless a response of a server has begun. A stream that was given up
	// for its server's silence waits where it has a retry delay.
	Refusal *failure.Failure
}

// Refused reports that the server stated that it did not and will not run the attempt.
type Refused struct {
	Reason string
	Sign   Sign
}

// Unreached reports that nothing was sent to the server, usually because no connection
// could be established.
type Unreached struct {
	Reason string
	Sign   Sign
}

// Answered reports a complete response. Faulty is set if it is a server error, so that a
// retry on another server may succeed.
type Answered struct{ Faulty bool }

// Unvouched reports a complete response whose status promises that the request did not run, although it may have.
// Such a response is never delivered.
type Unvouched struct{ Status int }

// Opened reports that the server began a stream.
type Opened struct{}

// Arrived reports a complete event of the stream.
type Arrived struct {
	ID    int64
	HasID bool
}

// Ended reports that the stream is complete.
type Ended struct{}

// Broken reports that the attempt failed after it was sent, so that it may have run. PathFailed is set if it is known that
// the path has failed on which this or another node sent it, and not the server.
type Broken struct {
	Reason     string
	PathFailed bool
}

// Silent reports that the attempt has made no progress for longer than expected.
type Silent struct{}

// Late reports that the attempt has not begun by its start deadline.
type Late struct{}

// Released reports that the attempt that was given up no longer runs at its server, as far as is known, or that the
// request cannot wait any longer for that.
type Released struct {
	Reason ReleaseReason
	// Waited is the time since the attempt was given up.
	Waited time.Duration
}

// RetryDue reports that the delay of AwaitRetry has passed.
type RetryDue struct{}

// Expired reports that the request's deadline has passed.
type Expired struct{}

// Stopping reports that this process is about to exit.
type Stopping struct{}

// CallerLeft reports that the caller has disconnected, and how that was noticed.
type CallerLeft struct{ Reason string }

func (Placed) event()     {}
func (Unplaced) event()   {}
func (Refused) event()    {}
func (Unreached) event()  {}
func (Answered) event()   {}
func (Unvouched) event()  {}
func (Opened) event()     {}
func (Arrived) event()    {}
func (Ended) event()      {}
func (Broken) event()     {}
func (Silent) event()     {}
func (Late) event()       {}
func (Released) event()   {}
func (RetryDue) event()   {}
func (Expired) event()    {}
func (Stopping) event()   {}
func (CallerLeft) event() {}

// Action is an output of the Machine, which the driver performs.
type Action interface{ action() }

// Place chooses a server after a delay. Readmitted holds the servers that are no longer excluded although the request was
// given up there: they were only silent.
type Place struct {
	Excluded   []string
	Readmitted []string
	Delay      time.Duration
}

// Send starts an attempt on the chosen server. If Resumes is set, the stream continues
// after the event with the ID After.
type Send struct {
	Resumes bool
	After   int64
}

// Cancel cancels the current attempt.
type Cancel struct{}

// AwaitRelease waits until the attempt that was cancelled no longer runs at its server.
type AwaitRelease struct{}

// AwaitRetry waits before the next attempt is charged to the budget again.
type AwaitRetry struct{ Delay time.Duration }

// RecheckSilence checks after another silence timeout whether the attempt is still silent.
type RecheckSilence struct{}

// Stash keeps the current response for Deliver in case the retry yields no better one.
type Stash struct{}

// Deliver writes the current response, or else the stashed one, to the caller.
type Deliver struct{}

// Open writes the head of a stream to the caller.
type Open struct{}

// Forward writes the event that has arrived to the caller.
type Forward struct{}

// Finish completes the caller's stream.
type Finish struct{}

// Cut aborts the caller's stream in such a way that it cannot be mistaken for complete.
type Cut struct{ Failure *failure.Failure }

// Fail writes the failure of a request that was given up to the caller.
type Fail struct{ Failure *failure.Failure }

func (Place) action()          {}
func (Send) action()           {}
func (Cancel) action()         {}
func (AwaitRelease) action()   {}
func (AwaitRetry) action()     {}
func (RecheckSilence) action() {}
func (Stash) action()          {}
func (Deliver) action()        {}
func (Open) action()           {}
func (Forward) action()        {}
func (Finish) action()         {}
func (Cut) action()            {}
func (Fail) action()           {}
