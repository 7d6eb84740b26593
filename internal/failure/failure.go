// Package failure defines typed errors that callers, operators and other packages
// can inspect. Each message includes a remedy.
package failure

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Kind classifies a failure. It is reported to callers and used as a metric
// label.
type Kind string

// The kinds of failure.
const (
	KindUnauthorized     Kind = "unauthorized"
	KindNotFound         Kind = "not_found"
	KindInvalidRequest   Kind = "invalid_request"
	KindTooLarge         Kind = "request_too_large"
	KindHeaderTooLarge   Kind = "header_too_large"
	KindRateLimited      Kind = "rate_limited"
	KindQueueFull        Kind = "queue_full"
	KindQueueTimeout     Kind = "queue_timeout"
	KindMemory           Kind = "memory_exhausted"
	KindNoEndpoint       Kind = "no_endpoint"
	KindNotConfigured    Kind = "not_configured"
	KindStopping         Kind = "stopping"
	KindBackendFailed    Kind = "backend_failed"
	KindStreamBroken     Kind = "stream_broken"
	KindDuplicate        Kind = "duplicate"
	KindClaimUnavailable Kind = "claim_unavailable"
	KindDeadline         Kind = "deadline_exceeded"
	KindConflict         Kind = "conflict"
	KindUnknownOutcome   Kind = "unknown_outcome"
	KindUnavailable      Kind = "unavailable"
	KindCallerLeft       Kind = "caller_left"
	KindQuarantined      Kind = "held_off"
	// KindOtherSoftware is that of a stream that cannot go on: no server of the software version that
	// began it is left, or that version is not known.
	KindOtherSoftware Kind = "other_software"
)

// Outcome states whether the backend ran the request.
type Outcome string

// The outcomes. NotRun is a guarantee: either no byte of any attempt left this
// system, or the backend itself reported that it did not start the request.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Failure is the error type that packages return to each other.
type Failure struct {
	Kind    Kind
	Outcome Outcome
	// Problem describes what happened.
	Problem string
	// Remedy describes what the reader can do about it.
	Remedy string
	// RetryAfter is the time to wait before a retry; zero means that retrying the
	// same request does not help.
	RetryAfter time.Duration
}

// Error joins the problem and the remedy.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%s; %s", failure.Problem, failure.Remedy)
}

// New returns a failure with the outcome NotRun.
func New(kind Kind, problem, remedy string) *Failure {
	return &Failure{Kind: kind, Outcome: NotRun, Problem: problem, Remedy: remedy}
}

// WithOutcome returns a copy with the given outcome.
func (failure Failure) WithOutcome(outcome Outcome) *Failure {
	failure.Outcome = outcome
	return &failure
}

// WithRetryAfter returns a copy with the given retry delay.
func (failure Failure) WithRetryAfter(delay time.Duration) *Failure {
	failure.RetryAfter = delay
	return &failure
}

// As returns the Failure in err's chain. It converts any other error to one of
// kind unavailable and unknown outcome, since nothing safer can be assumed.
func As(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Kind: KindUnavailable, Outcome: Unknown, Problem: err.Error(), Remedy: "see the node's log"}
}

// Is reports whether err's chain contains a Failure of the kind.
func Is(err error, kind Kind) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.Kind == kind
}
