package retry

import "time"

// BreakerConfig sets when a breaker opens and for how long.
type BreakerConfig struct {
	// Failures in a row open the breaker.
	Failures int
	// Rest is the first opening's length; it doubles up to MaximumRest.
	Rest        time.Duration
	MaximumRest time.Duration
}

// DefaultBreaker rests an endpoint after three failures in a row.
var DefaultBreaker = BreakerConfig{Failures: 3, Rest: 500 * time.Millisecond, MaximumRest: 15 * time.Second}

// Breaker rests one endpoint. The zero value is closed. It is not safe for
// concurrent use.
type Breaker struct {
	failures int
	rest     time.Duration
	until    time.Time
	// probedAt is when the probe went out that has not ended; zero if there is none.
	probedAt time.Time
}

// Allows reports whether an attempt may go out. After the rest exactly one
// attempt probes the endpoint; Sent must be called when it goes out.
func (breaker *Breaker) Allows(now time.Time) bool {
	return !now.Before(breaker.until) && !breaker.Probing(now)
}

// Probing reports whether an attempt probes the endpoint. One that lasts longer than the rest
// does not keep the next one from it.
func (breaker *Breaker) Probing(now time.Time) bool {
	return !breaker.probedAt.IsZero() && now.Sub(breaker.probedAt) < breaker.rest
}

// Sent notes that an attempt went out, and reports whether it probes the endpoint: it does if
// the breaker is open, also before the end of the rest.
func (breaker *Breaker) Sent(now time.Time) (probe bool) {
	if breaker.until.IsZero() || breaker.Probing(now) {
		return false
	}
	breaker.probedAt = now
	return true
}

// Abandoned says that the probe ended without a word on the endpoint, so that
// the next attempt may probe it.
func (breaker *Breaker) Abandoned() { breaker.probedAt = time.Time{} }

// Answered says that the endpoint has begun to answer the probe. The breaker closes, but opens
// again at the next failure.
func (breaker *Breaker) Answered() { breaker.until, breaker.probedAt = time.Time{}, time.Time{} }

// Succeeded closes the breaker.
func (breaker *Breaker) Succeeded() {
	*breaker = Breaker{}
}

// Failed counts a failure and opens the breaker when there were too many.
func (breaker *Breaker) Failed(config BreakerConfig, now time.Time) {
	breaker.Abandoned()
	breaker.FailedBeside(config, now)
}

// FailedBeside counts a failure of an attempt that is not the probe, which goes on.
func (breaker *Breaker) FailedBeside(config BreakerConfig, now time.Time) {
	breaker.failures++
	if breaker.failures < config.Failures {
		return
	}
	breaker.rest = min(max(config.Rest, 2*breaker.rest), config.MaximumRest)
	breaker.until = now.Add(breaker.rest)
}
