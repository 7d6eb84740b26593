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
	probing  bool
}

// Allows reports whether an attempt may go out. After the rest exactly one
// attempt probes the endpoint; Sent must be called when it goes out.
func (breaker *Breaker) Allows(now time.Time) bool {
	if breaker.until.IsZero() {
		return true
	}
	return !now.Before(breaker.until) && !breaker.probing
}

// Sent notes that an attempt went out, and reports whether it probes the endpoint.
func (breaker *Breaker) Sent(now time.Time) (probe bool) {
	probe = !breaker.until.IsZero() && breaker.Allows(now)
	breaker.probing = breaker.probing || probe
	return probe
}

// Abandoned says that the probe ended without a word on the endpoint, so that
// the next attempt may probe it.
func (breaker *Breaker) Abandoned() {
	breaker.probing = false
}

// Succeeded closes the breaker.
func (breaker *Breaker) Succeeded() {
	*breaker = Breaker{}
}

// Failed counts a failure and opens the breaker when there were too many.
func (breaker *Breaker) Failed(config BreakerConfig, now time.Time) {
	breaker.failures++
	if breaker.failures < config.Failures {
		return
	}
	breaker.probing = false
	breaker.rest = min(max(config.Rest, 2*breaker.rest), config.MaximumRest)
	breaker.until = now.Add(breaker.rest)
}
