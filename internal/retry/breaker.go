package retry

import "time"

// BreakerConfig configures a Breaker.
type BreakerConfig struct {
	// Failures is the number of consecutive failures that open the breaker.
	Failures int
	// OpenDuration is how long the breaker stays open at first. It doubles with each further
	// failure, up to MaxOpenDuration.
	Rest        time.Duration
	MaximumRest time.Duration
}

// DefaultBreaker opens after three consecutive failures.
var DefaultBreaker = BreakerConfig{Failures: 3, Rest: 500 * time.Millisecond, MaximumRest: 15 * time.Second}

// Breaker is a circuit breaker for one endpoint. The zero value is closed. It is not safe for
// concurrent use.
type Breaker struct {
	failures int
	rest     time.Duration
	until    time.Time
	// probeSentAt is when the probe in flight was sent; zero if there is none.
	probedAt time.Time
}

// Allows reports whether an attempt may be sent. Once the open duration has passed, exactly one
// attempt may probe the endpoint; Sent must be called when it is sent.
func (breaker *Breaker) Allows(now time.Time) bool {
	return !now.Before(breaker.until) && !breaker.Probing(now)
}

// Probing reports whether a probe is in flight. A probe that takes longer than the open duration
// does not block the next one.
func (breaker *Breaker) Probing(now time.Time) bool {
	return !breaker.probedAt.IsZero() && now.Sub(breaker.probedAt) < breaker.rest
}

// Sent records that an attempt was sent, and reports whether it is the probe. An attempt on an
// open breaker is the probe even if the open duration has not passed.
func (breaker *Breaker) Sent(now time.Time) (probe bool) {
	if breaker.until.IsZero() || breaker.Probing(now) {
		return false
	}
	breaker.probedAt = now
	return true
}

// ProbeAbandoned records that the probe ended without a conclusive result, so that the next
// attempt may probe the endpoint.
func (breaker *Breaker) Abandoned() { breaker.probedAt = time.Time{} }

// ProbeAnswered records that the endpoint has begun to answer the probe. The breaker closes, but
// the next failure opens it again.
func (breaker *Breaker) Answered() { breaker.until, breaker.probedAt = time.Time{}, time.Time{} }

// Succeeded closes the breaker and resets its failure count.
func (breaker *Breaker) Succeeded() {
	*breaker = Breaker{}
}

// Failed records a failure of the probe, or of an attempt on a closed breaker, and opens the
// breaker once there are too many consecutive failures.
func (breaker *Breaker) Failed(config BreakerConfig, now time.Time) {
	breaker.Abandoned()
	breaker.FailedBeside(config, now)
}

// FailedOutsideProbe records a failure of an attempt that is not the probe. A probe in flight
// continues.
func (breaker *Breaker) FailedBeside(config BreakerConfig, now time.Time) {
	breaker.failures++
	if breaker.failures < config.Failures {
		return
	}
	breaker.rest = min(max(config.Rest, 2*breaker.rest), config.MaximumRest)
	breaker.until = now.Add(breaker.rest)
}
