package backend

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// Claim is what an attempt brings to a server, and what its choice relied on.
type Claim struct {
	// Query is the one by which the server became a candidate, and Chosen the candidate as the
	// choice saw it.
	Query  Query
	Chosen routing.Candidate
	// Tokens are the prompt tokens that the server has to read.
	Tokens int
	// Deferred says that the attempt lets all others go first: until it has started it is no
	// work that they would wait for.
	Deferred bool
	// Holds reports whether the choice stands for the server as it is now. It is called under
	// the set's lock and must not call the set.
	Holds func(current *routing.Candidate) bool
}

// Begin counts an attempt in flight if its choice still stands. The check and the count are one
// critical section: of many that chose a server at the same moment, each sees those before it.
// The attempt is nil if the choice does not stand.
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

// Attempt is one attempt in flight.
type Attempt struct {
	set    *Set
	state  *state
	tokens int
	// deferred says that it has not started and that others go first.
	deferred bool
	// trial is the round in which it tries the server after a rest, or 0, and admitted says
	// that the server has begun to answer it.
	trial    int
	admitted bool
	// probe says that it is the one that probes the server after its breaker opened.
	probe bool
	begun time.Time
}

// Started says that the server has read the prompt.
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

// admit notes once that the server works on the attempt.
func (attempt *Attempt) admit() {
	if attempt.trial > 0 && !attempt.admitted {
		attempt.admitted = true
		attempt.state.rest.admitted(attempt.trial, attempt.state.server.Slots)
	}
}

// HeardSince reports whether the server has answered anything since a time.
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

// End says how the attempt ended.
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

// answered notes that the server answered what was sent at a time, unless another
// incarnation did so in its place.
func (state *state) answered(sent time.Time) {
	if state.goneUntil.IsZero() && sent.After(state.answeredSent) {
		state.answeredSent = sent
	}
}

// AnsweredSince reports whether a server, named by its ServerKey, has answered anything that
// was sent after a time: it had not ended then.
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
			// A server that says when to come back is not asked in the meantime anyway.
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

// fail counts a failure.
func (state *state) fail(config retry.BreakerConfig, probe bool, now time.Time) {
	state.failures.note(1, now)
	if probe {
		state.breaker.Failed(config, now)
		return
	}
	state.breaker.FailedBeside(config, now)
}

// abandon lets another attempt probe the server if this one was the probe.
func (state *state) abandon(probe bool) {
	if probe {
		state.breaker.Abandoned()
	}
}
