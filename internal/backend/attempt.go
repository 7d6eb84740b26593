package backend

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// Placement describes an attempt to be sent to a selected server, and the state of the server on
// which the selection relied.
type Placement struct {
	// Query is the query that returned the server as a candidate, and Chosen the candidate as the
	// selection saw it.
	Query  Query
	Chosen routing.Candidate
	// Tokens is the number of prompt tokens that the server has to process.
	Tokens int
	// ResidentTokens is the number of prompt and output tokens that the attempt shares with no other,
	// apart from those of Query.Shared.
	ResidentTokens int
	// Deferred marks an attempt that yields to all others: until it has started, it does not count
	// as work that delays them.
	Deferred bool
	// StillValid reports whether the selection still holds for the current state of the server. It
	// is called with the lock of the Set held and must not call the Set.
	StillValid func(current *routing.Candidate) bool
}

// Begin registers an attempt in flight if the placement is still valid, and returns nil
// otherwise. Check and registration are one critical section, so that of many placements that
// selected the same server concurrently, each sees those before it.
func (set *Set) Begin(placement Placement, now time.Time) *Attempt {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[placement.Chosen.Endpoint]
	if e == nil || now.Before(e.local().replacedUntil) {
		return nil
	}
	current := placement.Chosen
	set.fillCandidate(e, &current, &placement.Query, now)
	if !placement.StillValid(&current) {
		return nil
	}
	local := set.ensureLocalState(e)
	local.inFlight++
	if local.unansweredSince.IsZero() {
		local.unansweredSince = now
	}
	if placement.Deferred {
		local.deferred++
		placement.Tokens = 0
	}
	local.queuedTokens += placement.Tokens
	set.markUsed(e, now)
	resident := residentUse{tokens: placement.ResidentTokens, shared: placement.Query.Shared}
	if !placement.Deferred {
		resident.begin(local)
	}
	return &Attempt{
		resident: resident, server: e.server, set: set, entry: e, tokens: placement.Tokens, deferred: placement.Deferred,
		slowStartRound: local.backoff.sent(now), probe: local.breaker.Sent(now), sentAt: now,
	}
}

// Attempt is one attempt in flight on a server.
type Attempt struct {
	set    *Set
	entry  *entry
	tokens int
	// deferred reports that the attempt yields to others and has not started.
	deferred bool
	// slowStartRound is the slow-start round in which the attempt counts toward the window of the
	// server, or 0. admitted reports that the server has begun to answer it.
	slowStartRound int
	admitted       bool
	// probe reports that this attempt probes the server after its breaker opened.
	probe  bool
	sentAt time.Time
	// detour reports that the attempt was sent through another node.
	detour bool
	// resident is what the attempt holds in the memory of the server, and server the server as the
	// attempt was sent.
	resident residentUse
	server   *Server
}

// ResponseStarted records that the server has processed the prompt and begun to answer.
func (attempt *Attempt) ResponseStarted(now time.Time) {
	if attempt.entry == nil {
		return
	}
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	attempt.dequeue()
	attempt.resident.begin(attempt.entry.localState)
	attempt.markAdmitted()
	if attempt.probe {
		attempt.probe = false
		attempt.entry.breaker.ProbeAnswered()
	}
	attempt.entry.lastResponseAt, attempt.entry.lastAcceptedAt = now, now
	attempt.entry.unansweredSince, attempt.entry.silentSince = time.Time{}, time.Time{}
	attempt.entry.recordAnswered(attempt.sentAt)
	attempt.markHeard(attempt.entry, now)
}

// markHeard records that the server has responded, unless the response came through another node.
func (attempt *Attempt) markHeard(e *entry, now time.Time) {
	if !attempt.detour {
		e.heardAt, attempt.set.heardAt = now, now
	}
}

// SentOnDetour records that the attempt is sent through another node.
func (attempt *Attempt) SentOnDetour() {
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	attempt.detour = true
}

// Detour reports whether the attempt is sent through another node.
func (attempt *Attempt) Detour() bool {
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	return attempt.detour
}

// markAdmitted records, at most once, that the server has accepted the attempt.
func (attempt *Attempt) markAdmitted() {
	if attempt.slowStartRound > 0 && !attempt.admitted {
		attempt.admitted = true
		attempt.entry.backoff.admitted(attempt.slowStartRound, attempt.entry.server.Slots)
	}
}

// dequeue records that the attempt no longer waits.
func (attempt *Attempt) dequeue() {
	attempt.entry.queuedTokens -= attempt.tokens
	attempt.tokens = 0
	if attempt.deferred {
		attempt.entry.deferred--
		attempt.deferred = false
	}
}

// End records the result of the attempt, and reports whether the server refused it for lack of
// capacity. Further calls have no effect.
func (attempt *Attempt) End(result exchange.Result, now time.Time) (full bool) {
	if attempt.entry == nil {
		return false
	}
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	attempt.dequeue()
	attempt.resident.end(attempt.entry.localState)
	if result == exchange.ResultServed {
		attempt.markAdmitted()
	}
	e := attempt.entry
	attempt.entry = nil
	if e.inFlight--; e.inFlight == 0 {
		e.unansweredSince = time.Time{}
	}
	if attempt.slowStartRound > 0 {
		e.backoff.ended(attempt.slowStartRound)
	}
	switch result {
	case exchange.ResultServed, exchange.ResultRefused, exchange.ResultFaulty:
		e.recordAnswered(attempt.sentAt)
		attempt.markHeard(e, now)
	}
	switch result {
	case exchange.ResultServed:
		e.lastAcceptedAt = now
	case exchange.ResultRefused:
		full = attempt.recordRefusal(e, now)
	}
	switch {
	case attempt.detour && result == exchange.ResultUnreached:
		e.path.unreachableUntil = now.Add(detourRetryInterval)
	case !attempt.detour && e.path.detour && failed(result):
		// The attempt failed on a path that has turned out to be broken.
		result = exchange.ResultNeutral
	}
	e.recordResult(result, attempt.probe, now)
	return full
}

// failed reports whether an attempt ended without any response of the server.
func failed(result exchange.Result) bool {
	switch result {
	case exchange.ResultUnreached, exchange.ResultBroken, exchange.ResultCutOff, exchange.ResultSilent:
		return true
	default:
		return false
	}
}

// recordAnswered records that the server answered an attempt sent at sentAt, unless the answer
// came from another incarnation at its address.
func (entry *entry) recordAnswered(sentAt time.Time) {
	if entry.replacedUntil.IsZero() && sentAt.After(entry.lastAnsweredSentAt) {
		entry.lastAnsweredSentAt = sentAt
	}
}

// AnsweredSince reports whether the server with the given ServerKey has answered any attempt
// that was sent after a given time, which shows that it had not terminated by then.
func (set *Set) AnsweredSince(key uint64, since time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.byKey[key]
	return e != nil && e.local().lastAnsweredSentAt.After(since)
}

func (entry *entry) recordResult(result exchange.Result, probe bool, now time.Time) {
	switch result {
	case exchange.ResultServed, exchange.ResultRefused, exchange.ResultFaulty:
		entry.lastResponseAt, entry.unansweredSince, entry.silentSince = now, time.Time{}, time.Time{}
	case exchange.ResultSilent:
		if entry.silentSince.IsZero() {
			entry.silentSince = now
		}
	}
	switch result {
	case exchange.ResultServed:
		entry.replacedFor = 0
		entry.breaker.Succeeded()
		entry.failures.record(0, now)
		entry.refusals.record(0, now)
	case exchange.ResultRefused:
		entry.releaseProbe(probe)
		entry.refusedUntil = now.Add(refusalBackoff)
		if entry.backoff.remaining(now) == 0 {
			// Refusals during a backoff do not count: the server gets no requests until its end
			// anyway.
			entry.refusals.record(1, now)
		}
	case exchange.ResultUnreached:
		entry.lastConnectFailureAt = now
		entry.recordFailure(connectBreaker, probe, now)
	case exchange.ResultFaulty, exchange.ResultBroken, exchange.ResultCutOff, exchange.ResultSilent:
		entry.recordFailure(responseBreaker, probe, now)
	default:
		entry.releaseProbe(probe)
	}
}

// recordFailure adds a failure to the failure rate and to the breaker.
func (entry *entry) recordFailure(config retry.BreakerConfig, probe bool, now time.Time) {
	entry.failures.record(1, now)
	if probe {
		entry.breaker.Failed(config, now)
		return
	}
	entry.breaker.FailedOutsideProbe(config, now)
}

// releaseProbe lets another attempt probe the server if this one was the probe.
func (entry *entry) releaseProbe(probe bool) {
	if probe {
		entry.breaker.ProbeAbandoned()
	}
}
