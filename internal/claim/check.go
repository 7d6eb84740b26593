package claim

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/failure"
)

// CheckAge rejects a time-ordered key that holders cannot decide on: one from the
// future, which shows that a clock is wrong, or one older than the claim window.
func CheckAge(config Config, now time.Time, key Key) *failure.Failure {
	created, timeOrdered := key.CreatedAt()
	if !timeOrdered {
		return nil
	}
	if created.After(now.Add(config.ClockSkew)) {
		return failure.New(failure.KindInvalidRequest, "the idempotency key was created "+created.Sub(now).String()+" in the future",
			"correct the caller's clock, or declare a larger claims.clockSkew")
	}
	if now.Sub(created) > config.Window-config.ClockSkew {
		return failure.New(failure.KindDuplicate, "the idempotency key is older than the claim window; an earlier request with it may have run",
			"check the outcome of the first request; create a new key only if it did not run").WithOutcome(failure.Unknown)
	}
	return nil
}
