// Package failure defines the typed errors that callers, operators and other
// packages can test. Each message names the remedy.
package failure

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Kind names one sort of failure. It is shown to callers and counted.
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
	KindHeldOff          Kind = "held_off"
)

// Outcome says whether the back end ran the request.
type Outcome string

// The outcomes. NotRun is a promise: no byte of an attempt left this system,
// or the back end itself said that it did not start.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Failure is the one error type that crosses package borders.
type Failure struct {
	Kind    Kind
	Outcome Outcome
	// Problem says what happened.
	Problem string
	// Remedy says what the reader can do about it.
	Remedy string
	// RetryAfter is when to come back; zero means that coming back with the
	// same request does not help.
	RetryAfter time.Duration
}

// Error joins the problem and the remedy.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%s; %s", failure.Problem, failure.Remedy)
}

// New returns a failure whose request was not run.
func New(kind Kind, problem, remedy string) *Failure {
	return &Failure{Kind: kind, Outcome: NotRun, Problem: problem, Remedy: remedy}
}

// WithOutcome returns a copy that states another outcome.
func (failure Failure) WithOutcome(outcome Outcome) *Failure {
	failure.Outcome = outcome
	return &failure
}

// WithRetryAfter returns a copy that says when to come back.
func (failure Failure) WithRetryAfter(wait time.Duration) *Failure {
	failure.RetryAfter = wait
	return &failure
}

// As finds the Failure inside err, or wraps err as an unavailable service of
// unknown outcome, the only safe reading of an error nobody typed.
func As(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Kind: KindUnavailable, Outcome: Unknown, Problem: err.Error(), Remedy: "see the node's log"}
}

// Is reports whether err is a Failure of the kind.
func Is(err error, kind Kind) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.Kind == kind
}
