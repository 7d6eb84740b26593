package claim

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/failure"
)

// Check refuses keys whose minting time shows that holders cannot know about
// them: from the future, so that a clock is wrong, or older than the window.
func Check(config Config, now time.Time, key Key) *failure.Failure {
	minted, ordered := key.MintedAt()
	if !ordered {
		return nil
	}
	if minted.After(now.Add(config.ClockSkew)) {
		return failure.New(failure.KindInvalidRequest, "the idempotency key was minted in the future",
			"set the caller's clock, or declare a larger claims.clockSkew")
	}
	if now.Sub(minted) > config.Window-config.ClockSkew {
		return failure.New(failure.KindDuplicate, "the idempotency key is older than the claim window; an earlier send of it may have run",
			"look at the outcome of the first send; mint a new key only if it did not run").WithOutcome(failure.Unknown)
	}
	return nil
}
