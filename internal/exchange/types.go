package exchange

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cloverrail/cloverrail/internal/failure"
)

// Answer is a complete response of a server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Release, if set, returns the memory of the body, which must not be used afterwards. Further calls have no effect.
	Release func()
}

// release returns the memory of the body.
func (a *Answer) release() {
	if a != nil && a.Release != nil {
		a.Release()
	}
}

// Reply is the beginning of a server's response. Either Complete is set, or the response is
// a stream whose events Next returns until io.EOF.
type Reply struct {
	Status   int
	Header   http.Header
	Complete *Answer
	Next     func() (StreamEvent, error)
	Close    func()
	// ConnectedAt is when the connection was established on which the response arrives; zero if
	// unknown.
	ConnectedAt time.Time
	// EndsWithConnection is set if the response has neither a length nor chunks: its end looks the same whether it is
	// complete or its server has crashed.
	EndsWithConnection bool
	// ConfirmedByPeer is set if another node passes the response on and is certain of the incarnation
	// that responds.
	ConfirmedByPeer bool
}

// StreamEvent is one complete event of a stream.
type StreamEvent struct {
	Raw   []byte
	ID    int64
	HasID bool
}

// Result is how an attempt ended, as evidence of the state of its server.
type Result int

// The results of attempts.
const (
	// ResultNeutral is no evidence of the server's state: the caller left, for example.
	ResultNeutral Result = iota
	ResultServed
	ResultFaulty
	ResultRefused
	ResultUnreached
	ResultBroken
	// ResultCutOff means that the server closed the connection before its complete response,
	// as one that crashes does.
	ResultCutOff
	ResultSilent
)

// ErrRefused is returned if the server stated that it did not run the attempt.
type ErrRefused struct {
	Reason string
	// LoadedVersion is the version that the server has loaded; 0 if unknown.
	LoadedVersion int64
	// AnotherInstance is set if another incarnation responded, which shows that the
	// intended one no longer exists.
	AnotherInstance bool
	// RespondingInstance is the ID of the instance that responded, if it was another one and named itself.
	RespondingInstance string
	// ByPeer is set if another node reports it, to which the attempt was forwarded.
	ByPeer bool
}

// Error implements the error interface.
func (refused *ErrRefused) Error() string { return "not run: " + refused.Reason }

// ErrUnreached is returned if no connection to the server could be established.
type ErrUnreached struct {
	Reason string
	// ByPeer is set if other nodes report it, to which the attempt was forwarded.
	ByPeer bool
}

// Error implements the error interface.
func (unreached *ErrUnreached) Error() string { return "not reached: " + unreached.Reason }

// ErrWithdrawn is returned if nothing was sent for a reason that says nothing of the server's
// health: it announced after it was chosen that it accepts no more requests, or this node lacks a
// resource for a connection.
type ErrWithdrawn struct {
	Reason string
	// ByPeer is set if another node reports it, to which the attempt was forwarded.
	ByPeer bool
}

// Error implements the error interface.
func (w *ErrWithdrawn) Error() string { return "not sent: " + w.Reason }

// ErrCutOff is returned if the server closed the connection before its complete response.
type ErrCutOff struct{ Reason string }

// Error implements the error interface.
func (c *ErrCutOff) Error() string { return c.Reason }

// ErrPathFailed is returned if another node sent the attempt, and its path to the server failed before the complete
// response. It says nothing of the server.
type ErrPathFailed struct{ Reason string }

// Error implements the error interface.
func (p *ErrPathFailed) Error() string { return "path failed: " + p.Reason }

// ErrUnvouched is returned if the status of a complete response promises that the request did not run, and nobody
// vouches for that: the server did not state it, so that the attempt may have run.
type ErrUnvouched struct {
	Status int
	// RespondingInstance is the ID of the instance that responded, if it was another one and named itself.
	RespondingInstance string
}

// Error implements the error interface.
func (u *ErrUnvouched) Error() string {
	return fmt.Sprintf("status %d, without a statement that the request did not run", u.Status)
}

// Placement is an attempt on a chosen server. It counts as in flight until End is called.
type Placement interface {
	// Server returns the name of the server's incarnation.
	Server() string
	// Send sends the request. The errors ErrRefused, ErrUnreached and ErrWithdrawn guarantee
	// that it did not run; after any other error, it may have run. The status of a reply promises nothing.
	Send(ctx context.Context, resumes bool, after int64) (*Reply, error)
	// ResponseStarted is called for each event of the response; only the first call counts.
	ResponseStarted()
	// Forwarding is called before each event of the response is written to the caller.
	Forwarding()
	// Stalled reports whether an attempt that has been silent for the given time should
	// be retried on another server.
	Stalled(silent time.Duration) bool
	// PathFailed reports whether this node's path to the server has failed under an attempt that has been silent for the
	// given time. It may have the path probed, and may be called again until that has a result.
	PathFailed(silent time.Duration) bool
	// StartDeadline returns the time by which the response must have begun, or else the
	// attempt is cancelled; zero means that there is no deadline.
	StartDeadline() time.Time
	// End records the result of the attempt.
	End(result Result)
	// AwaitRelease waits, after End, until the attempt no longer runs at its server, until the caller can wait no
	// longer for another server, or until the context ends. It returns why it has ceased to wait. If the attempt of a
	// stream that has begun was broken, it also waits until it is known whether its path has failed.
	AwaitRelease(ctx context.Context) ReleaseReason
}

// ReleaseReason is why an attempt that was given up counts as ended.
type ReleaseReason string

// The reasons. They are labels of metrics.
const (
	// ReleaseNotRequired means that the request may run at two servers at a time.
	ReleaseNotRequired ReleaseReason = "not_required"
	// ReleaseEnded means that the server has ended the attempt.
	ReleaseEnded ReleaseReason = "ended"
	// ReleaseReplaced means that the server's incarnation no longer exists.
	ReleaseReplaced ReleaseReason = "replaced"
	// ReleaseUnreachable means that this node alone does not reach the server.
	ReleaseUnreachable ReleaseReason = "unreachable"
	// ReleaseResponsive means that the server has shown signs of life for longer than it takes to notice that a
	// connection was closed, and that the attempt's connection hangs or was reset.
	ReleaseResponsive ReleaseReason = "responsive"
	// ReleaseOverdue means that the caller can wait no longer.
	ReleaseOverdue ReleaseReason = "overdue"
)

// Placer chooses servers.
type Placer interface {
	// Place begins an attempt on a server that is not excluded, or returns why none is
	// available.
	Place(excluded []string) (Placement, *Unplaced)
	// Readmit reports that no other server can serve the request than those that were silent. It returns to these as if
	// it had stayed there, whatever was learned of them meanwhile from silence alone.
	Readmit(servers []string)
}

// Caller receives the response. Its methods block while the caller reads slowly. An error
// means that the caller has disconnected.
type Caller interface {
	Answer(answer *Answer) error
	Open(status int, header http.Header) error
	Forward(event []byte) error
}

// SilenceTimeouts bounds how long an attempt may be silent before Placement.Stalled is
// consulted.
type SilenceTimeouts struct {
	// FirstEvent bounds the time to the response or to the first event, and BetweenEvents
	// the gap between events. Zero means no bound.
	FirstEvent    time.Duration
	BetweenEvents time.Duration
	// Recheck is the interval at which Placement.Stalled is consulted again while an attempt stays
	// silent; zero means the bound itself.
	Recheck time.Duration
}

// RetryQueue orders the requests that wait until their Budget permits a retry.
type RetryQueue interface {
	// Join makes the request wait, if it does not yet. Begun is set for a stream of which the caller has events. The channel
	// has an element when Budget.Withdraw may succeed.
	Join(begun bool) <-chan struct{}
	// Leave ends the wait, if the request waits.
	Leave()
}

// Request is a request to process with Run.
type Request struct {
	Rules  Rules
	Budget Budget
	// RetryQueue is nil if requests that wait for a retry are not ordered.
	RetryQueue      RetryQueue
	SilenceTimeouts SilenceTimeouts
	ResumeAfter     *int64
	Placer          Placer
	Caller          Caller
	// Stopping is closed when the process must exit.
	Stopping <-chan struct{}
	// Observe, if set, is called with each event and the server that it concerns.
	Observe func(server string, event Event)
	// ObserveResend, if set, is called when a request that may run once is sent to a server after attempts that did not run.
	ObserveResend func(resend Resend)
	// ObserveWait, if set, is called when a stream that has begun starts to wait before it goes on, and when that ends.
	ObserveWait func(wait Wait)
}

// WaitCause is what a stream that has begun waits for before it goes on.
type WaitCause string

// The causes. They are labels of metrics.
const (
	// WaitForRetry means that no further attempt is permitted until the retry budget permits one.
	WaitForRetry WaitCause = "retry"
	// WaitForServer means that no server can continue the stream at the moment.
	WaitForServer WaitCause = "server"
)

// Wait is a wait of a stream that has begun, in which it gets no events.
type Wait struct {
	Cause WaitCause
	// Reason is why no server can continue the stream, or may be asked at once; "" if the budget has no retry.
	Reason string
	// Ended is set once the stream no longer waits for Cause, after the time Waited.
	Ended  bool
	Waited time.Duration
}

// Resend is a further attempt of a request that may run once.
type Resend struct {
	// Server is that of the attempt, and Previous that of the last one, which did not run by Sign.
	Server   string
	Previous string
	Sign     Sign
}

// Outcome is how a request ended.
type Outcome struct {
	// Failure is nil if the caller got a complete response of a server.
	Failure *failure.Failure
	// Cut is set if the caller's stream had begun and must be aborted.
	Cut    bool
	Status int
	// Events is the number of events of a stream that were passed on to the caller.
	Events int
	Runs   int
	Sends  int
	// Sign is what showed that the last attempt did not run, if it did not.
	Sign Sign
	// TimeToHead is the time from the start of Run until the head of the response was
	// written to the caller.
	TimeToHead time.Duration
}
