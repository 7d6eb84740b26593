package node

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/claim"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/wire"
)

const (
	recoveryInterval = 500 * time.Millisecond
	claimRetryAfter  = time.Second
	concludeTimeout  = time.Second
)

// claims drives this node's holder, and rounds on behalf of its callers.
type claims struct {
	mutex  sync.Mutex
	holder *claim.Holder
	config claim.Config
	roster []string
}

func newClaims(now time.Time) *claims {
	config := claim.Config{Window: configuration.DefaultClaimWindow, ClockSkew: configuration.DefaultClockSkew, RoundLimit: claim.DefaultRoundLimit}
	return &claims{holder: claim.NewHolder(config, now), config: config}
}

// configure follows a new snapshot. A changed roster or window makes this node
// abstain as if it had just started: it may have become the holder of keys that
// others granted.
func (claims *claims) configure(declared configuration.Claims, now time.Time) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	config := claim.Config{Window: declared.Window, ClockSkew: declared.ClockSkew, RoundLimit: claim.DefaultRoundLimit}
	changed := claims.roster != nil && claim.RosterName(claims.roster) != claim.RosterName(declared.Holders)
	if claims.roster == nil || config != claims.config {
		claims.holder.Reconfigure(config)
	}
	claims.config = config
	claims.roster = declared.Holders
	if changed {
		claims.holder.Restart(now)
	}
}

func (claims *claims) current() (claim.Config, []string) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return claims.config, claims.roster
}

// answer is this node's word as a holder. An asker with another roster gets an
// abstention, so that two rosters never decide side by side.
func (claims *claims) answer(request wire.ClaimRequest) wire.ClaimAnswer {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if request.Roster != claim.RosterName(claims.roster) {
		return wire.ClaimAnswer{Answer: claim.Answer{Verdict: claim.Abstained}}
	}
	return wire.ClaimAnswer{Answer: claims.holder.Claim(time.Now(), request.Key, request.Owner)}
}

func (claims *claims) conclude(request wire.ConcludeRequest) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	claims.holder.Conclude(time.Now(), request.Key, request.Owner, request.Status)
}

func (claims *claims) records(request wire.ClaimsRequest) wire.ClaimsAnswer {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	now := time.Now()
	if request.Roster != claim.RosterName(claims.roster) {
		return wire.ClaimsAnswer{}
	}
	return wire.ClaimsAnswer{Complete: claims.holder.Complete(now), Records: claims.holder.Records(now)}
}

func (claims *claims) restart(now time.Time) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	claims.holder.Restart(now)
}

// recoverClaims brings the holder up to date from the other holders.
func (node *Node) recoverClaims(ctx context.Context) {
	every(ctx, recoveryInterval, func() {
		node.claims.mutex.Lock()
		due := node.claims.holder.RecoveryDue(time.Now())
		generation := node.claims.holder.Started()
		node.claims.mutex.Unlock()
		if due {
			node.recoverOnce(ctx, generation)
		}
	})
}

func (node *Node) recoverOnce(ctx context.Context, generation time.Time) {
	_, roster := node.claims.current()
	records := []claim.Record{}
	for _, address := range roster {
		if address == node.settings.PeerAddress {
			continue
		}
		answer, err := call[wire.ClaimsAnswer](ctx, node, address, wire.ClaimsRequest{Roster: claim.RosterName(roster)})
		if err != nil || !answer.Complete {
			return
		}
		records = append(records, answer.Records...)
	}
	node.claims.mutex.Lock()
	defer node.claims.mutex.Unlock()
	if node.claims.holder.Started() != generation {
		return
	}
	node.claims.holder.Recover(time.Now(), records)
	node.log.Info().Int("claims", len(records)).Msg("claims recovered from the other holders")
}

// Claimed is a key that this node's caller owns. Exactly one of its methods is
// called once the request is over.
type Claimed struct {
	node    *Node
	key     claim.Key
	owner   string
	holders []string
}

// Claim makes sure that no other request with the key runs.
func (node *Node) Claim(ctx context.Context, tenant, value string) (*Claimed, error) {
	config, roster := node.claims.current()
	if len(roster) == 0 {
		return nil, failure.New(failure.KindClaimUnavailable, "no claim holders are declared", "declare claims.holders")
	}
	key := claim.Key{Tenant: tenant, Value: value}
	if refusal := claim.Check(config, time.Now(), key); refusal != nil {
		return nil, refusal
	}
	claimed := &Claimed{node: node, key: key, owner: uuid.NewString(), holders: claim.HoldersOf(key, roster)}
	decision, status := node.runRound(ctx, config, claim.RosterName(roster), claimed)
	node.metrics.ClaimRounds.WithLabelValues(decision.String()).Inc()
	switch decision {
	case claim.Won:
		return claimed, nil
	case claim.Duplicate:
		claimed.Release()
		outcome := failure.Unknown
		if status == claim.Completed {
			outcome = failure.Ran
		}
		return nil, failure.New(failure.KindDuplicate, "a request with this idempotency key was accepted before",
			"look at the outcome of the first send; a new request needs a new key").WithOutcome(outcome)
	default:
		claimed.Release()
		return nil, failure.New(failure.KindClaimUnavailable, "too few claim holders answered",
			"send the same request again with the same key").WithRetryAfter(claimRetryAfter)
	}
}

// holderAnswer pairs an answer with who gave it.
type holderAnswer struct {
	holder string
	answer claim.Answer
	err    error
}

func (node *Node) runRound(ctx context.Context, config claim.Config, roster string, claimed *Claimed) (claim.Decision, claim.Status) {
	round := claim.NewRound(config, time.Now(), claimed.holders)
	ctx, cancel := context.WithTimeout(ctx, config.RoundLimit)
	defer cancel()
	answers := make(chan holderAnswer, len(claimed.holders))
	request := wire.ClaimRequest{Roster: roster, Key: claimed.key, Owner: claimed.owner}
	for _, holder := range claimed.holders {
		go func() {
			if holder == node.settings.PeerAddress {
				answers <- holderAnswer{holder: holder, answer: node.claims.answer(request).Answer}
				return
			}
			answer, err := call[wire.ClaimAnswer](ctx, node, holder, request)
			answers <- holderAnswer{holder: holder, answer: answer.Answer, err: err}
		}()
	}
	decision := claim.Undecided
	for range claimed.holders {
		received := <-answers
		if received.err != nil {
			decision = round.Lost(time.Now(), received.holder)
		} else {
			decision = round.Receive(time.Now(), received.holder, received.answer)
		}
		if decision != claim.Undecided {
			break
		}
	}
	return decision, round.Status()
}

// Complete says that the request ran.
func (claimed *Claimed) Complete() { claimed.conclude(claim.Completed) }

// Release says that the request was not sent and never will be.
func (claimed *Claimed) Release() { claimed.conclude(claim.Released) }

func (claimed *Claimed) conclude(status claim.Status) {
	request := wire.ConcludeRequest{Key: claimed.key, Owner: claimed.owner, Status: status}
	for _, holder := range claimed.holders {
		if holder == claimed.node.settings.PeerAddress {
			claimed.node.claims.conclude(request)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), concludeTimeout)
			defer cancel()
			_, _ = call[wire.ConcludeAnswer](ctx, claimed.node, holder, request)
		}()
	}
}
