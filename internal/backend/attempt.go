package backend

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// Placement describes an attempt to be sent to a selected server, and the state of the server on
// which the selection relied.
type Claim struct {
	// Query is the query that returned the server as a candidate, and Chosen the candidate as the
	// selection saw it.
	Query  Query
	Chosen routing.Candidate
	// Tokens is the number of prompt tokens that the server has to process.
	Tokens int
	// Deferred marks an attempt that yields to all others: until it has started, it does not count
	// as work that delays them.
	Deferred bool
	// StillValid reports whether the selection still holds for the current state of the server. It
	// is called with the lock of the Set held and must not call the Set.
	Holds func(current *routing.Candidate) bool
}

// Begin registers an attempt in flight if the placement is still valid, and returns nil
// otherwise. Check and registration are one critical section, so that of many placements that
// selected the same server concurrently, each sees those before it.
func (set *Set) Begin(claim Claim, now time.Time) *Attempt {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.servers[claim.Chosen.Endpoint]
	if known == nil || now.Before(known.dealt().goneUntil) {
		return nil
	}
	current := claim.Chosen
	set.refresh(known, &current, &claim.Query, now)
	if !claim.Holds(&current) {
		return nil
	}
	dealings := set.deal(known)
	dealings.inFlight++
	if claim.Deferred {
		dealings.deferred++
		claim.Tokens = 0
	}
	dealings.queuedTokens += claim.Tokens
	set.use(known, now)
	return &Attempt{
		set: set, state: known, tokens: claim.Tokens, deferred: claim.Deferred,
		trial: dealings.rest.sent(now), probe: dealings.breaker.Sent(now), begun: now,
	}
}

// Attempt is one attempt in flight on a server.
type Attempt struct {
	set    *Set
	state  *state
	tokens int
	// deferred reports that the attempt yields to others and has not started.
	deferred bool
	// slowStartRound is the slow-start round in which the attempt counts toward the window of the
	// server, or 0. admitted reports that the server has begun to answer it.
	trial    int
	admitted bool
	// probe reports that this attempt probes the server after its breaker opened.
	probe bool
	begun time.Time
}

// ResponseStarted records that the server has processed the prompt and begun to answer.
func (attempt *Attempt) Started(now time.Time) {
	if attempt.state == nil {
		return
	}
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	attempt.unqueue()
	attempt.admit()
	if attempt.probe {
		attempt.probe = false
		attempt.state.breaker.Answered()
	}
	attempt.state.heardAt = now
	attempt.state.answered(attempt.begun)
}

// markAdmitted records, at most once, that the server has accepted the attempt.
func (attempt *Attempt) admit() {
	if attempt.trial > 0 && !attempt.admitted {
		attempt.admitted = true
		attempt.state.rest.admitted(attempt.trial, attempt.state.server.Slots)
	}
}

// ServerRespondedSince reports whether the server has responded to any attempt since a given
// time.
func (attempt *Attempt) HeardSince(since time.Time) bool {
	if attempt.state == nil {
		return false
	}
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	return attempt.state.heardAt.After(since)
}

func (attempt *Attempt) unqueue() {
	attempt.state.queuedTokens -= attempt.tokens
	attempt.tokens = 0
	if attempt.deferred {
		attempt.state.deferred--
		attempt.deferred = false
	}
}

// End records the result of the attempt. Further calls have no effect.
func (attempt *Attempt) End(result exchange.Result, now time.Time) {
	if attempt.state == nil {
		return
	}
	attempt.set.mutex.Lock()
	defer attempt.set.mutex.Unlock()
	attempt.unqueue()
	if result == exchange.ResultServed {
		attempt.admit()
	}
	known := attempt.state
	attempt.state = nil
	known.inFlight--
	if attempt.trial > 0 {
		known.rest.ended(attempt.trial)
	}
	switch result {
	case exchange.ResultServed, exchange.ResultRefused, exchange.ResultFaulty:
		known.answered(attempt.begun)
	}
	known.judge(result, attempt.probe, now)
}

// recordAnswered records that the server answered an attempt sent at sentAt, unless the answer
// came from another incarnation at its address.
func (state *state) answered(sent time.Time) {
	if state.goneUntil.IsZero() && sent.After(state.answeredSent) {
		state.answeredSent = sent
	}
}

// AnsweredSince reports whether the server with the given ServerKey has answered any attempt
// that was sent after a given time, which shows that it had not terminated by then.
func (set *Set) AnsweredSince(server uint64, since time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.byKey[server]
	return known != nil && known.dealt().answeredSent.After(since)
}

func (state *state) judge(result exchange.Result, probe bool, now time.Time) {
	switch result {
	case exchange.ResultServed, exchange.ResultRefused, exchange.ResultFaulty:
		state.heardAt = now
	}
	switch result {
	case exchange.ResultServed:
		state.breaker.Succeeded()
		state.failures.note(0, now)
		state.refusals.note(0, now)
	case exchange.ResultRefused:
		state.abandon(probe)
		state.busyUntil = now.Add(refusalRest)
		if state.rest.left(now) == 0 {
			// Refusals during a backoff do not count: the server gets no requests until its end
			// anyway.
			state.refusals.note(1, now)
		}
	case exchange.ResultUnreached:
		state.unreachedAt = now
		state.fail(unreachedBreaker, probe, now)
	case exchange.ResultFaulty, exchange.ResultBroken, exchange.ResultCutOff, exchange.ResultSilent:
		state.fail(brokenBreaker, probe, now)
	default:
		state.abandon(probe)
	}
}

// recordFailure adds a failure to the failure rate and to the breaker.
func (state *state) fail(config retry.BreakerConfig, probe bool, now time.Time) {
	state.failures.note(1, now)
	if probe {
		state.breaker.Failed(config, now)
		return
	}
	state.breaker.FailedBeside(config, now)
}

// releaseProbe lets another attempt probe the server if this one was the probe.
func (state *state) abandon(probe bool) {
	if probe {
		state.breaker.Abandoned()
	}
}
