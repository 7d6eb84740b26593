package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// PlacementDecision records a placement: the chosen server and the terms of its cost, and
// the same for the next cheapest server.
type PlacementDecision struct {
	Chosen routing.Candidate
	Terms  []routing.Term
	// Next is the name of the next cheapest server; "" if there was none.
	Next      string
	NextTerms []routing.Term
	// Deferred is set if the request will be late and yields to others.
	Deferred bool
	// OverLimit is the number of servers that were skipped because of their request limits.
	OverLimit int
	// NoRoom is the number of brittle servers that were skipped because they may have no room.
	NoRoom int
	// Rounds is the number of placement rounds: 1, plus 1 for each round whose choice was
	// invalidated by concurrent placements.
	Rounds int
	// LastResort is set if the circuit breakers of all remaining servers were open, so that this
	// request probes one of them.
	LastResort bool
	// Prediction is that of the chosen server.
	Prediction Prediction
}

// OverLimits records that no server accepts a request because of the servers' request limits.
type OverLimits struct {
	Service string
	// Servers is the number of servers at their limits, Shortest the time until the first of
	// them accepts a request, and RetryAfter the retry delay given to the caller.
	Servers    int
	Shortest   time.Duration
	RetryAfter time.Duration
}

// Recorder observes the decisions made about requests, for logs and metrics. Its methods
// must not block.
type Recorder interface {
	// Placed records a placement.
	Placed(request *Request, choice PlacementDecision)
	// Resent records that a request that may run once is sent again, and what shows that it did not run.
	Resent(request *Request, resend exchange.Resend)
	// FirstTokenPredicted records the predicted and the actual time from the placement to the first
	// token of a request.
	FirstTokenPredicted(predicted, actual time.Duration)
	// RateLimited records a request that was refused because of its tenant's rate limit.
	RateLimited(request *Request, tenant string, limit quota.Limit, decision quota.Decision)
	// OverLimits records, once per request, that all servers were at their request limits.
	OverLimits(request *Request, over OverLimits)
	// Overload records a request that was refused because of the load of its service, or that
	// changed the state of the service.
	Overload(request *Request, decision OverloadDecision)
	// NoRoom records, once per request, that a brittle server of a service had no room for it.
	NoRoom(service string)
	// RejectedForRoom records that a brittle server has rejected a request for want of room.
	RejectedForRoom(rejection Rejection)
	// Attempt records an event of an attempt. The suspects are set if the attempt broke.
	Attempt(request *Request, server string, event exchange.Event, suspects quarantine.Suspects)
	// Retry records whether the fleet's retry budget of a service had a retry that a request asked for.
	Retry(service string, granted bool)
	// StreamWaits records that a stream which has begun waits before it goes on, or that this wait has ended.
	StreamWaits(request *Request, wait exchange.Wait)
	// AttemptKept records, once per attempt, that a silent attempt is not given up because other
	// nodes hear its server.
	AttemptKept(request *Request, server string, silent time.Duration)
	// RequestQuarantined records a request that was refused because servers crashed while running it, or others with
	// a part of its prompt.
	RequestQuarantined(request *Request, suspects quarantine.Suspects, verdict quarantine.Verdict)
	// OnProbation records that a request with a part on probation may be sent, or that it waits.
	OnProbation(request *Request, decision ProbationDecision)
	// SuspectSent records a request that was sent to a server although several servers crashed while running it, or others
	// with a part of its prompt.
	SuspectSent(request *Request, verdict quarantine.Verdict)
	// TrialClaimed records that a request tries a quarantined part, or the error that prevented it.
	TrialClaimed(request *Request, part quarantine.Fingerprint, err error)
	// SuspicionResolved records whether a server crashed while running a request.
	SuspicionResolved(suspicion Suspicion)
	// ResponseEndedWithConnection records a response that had neither a length nor chunks.
	ResponseEndedWithConnection()
	// SuspicionCleared records that a request got a complete response, which clears a suspect.
	SuspicionCleared(request *Request, cleared quarantine.Fingerprint)
	// StreamOfUncertainVersion records that a stream which a server has begun is given up, as it is not certain which
	// software version it has. Replaced reports that another process than the listed one has begun it.
	StreamOfUncertainVersion(request *Request, server string, replaced bool)
	// StreamBegan records what began a stream of a service with several software versions.
	StreamBegan(request *Request, began StreamOrigin)
	// StreamResumed records what is known of the origin of a stream that a caller resumes.
	StreamResumed(request *Request, resumption Resumption)
	// AttemptLeft records what became of an attempt that its server did not end at once when its caller had left.
	AttemptLeft(request *Request, left LeftAttempt)
	// EarlierAttemptFound records that a server may still work on an earlier attempt of a stream that a caller resumes.
	EarlierAttemptFound(request *Request, earlier EarlierAttempt)
	// Request records the outcome of a request. The route is nil if none was found.
	Request(request *Request, route *catalog.Route, version int64, outcome exchange.Outcome)
}
