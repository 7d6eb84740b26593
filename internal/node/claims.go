package node

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/claim"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/wire"
)

const (
	claimRetryAfter = time.Second
	concludeTimeout = time.Second
)

// claims holds this node's claim holder, which answers rounds of all nodes.
type claims struct {
	mutex  sync.Mutex
	holder *claim.Holder
	config claim.Config
	roster []string
	// previousHolders lists the former holders during a change of holders.
	previous []string
}

func newClaims(now time.Time) *claims {
	config := claim.Config{Window: configuration.DefaultClaimWindow, ClockSkew: configuration.DefaultClockSkew, RoundLimit: claim.DefaultRoundLimit}
	return &claims{holder: claim.NewHolder(config, now), config: config}
}

// configure applies a new snapshot. After a change of the roster, nothing is
// granted until the claims of the former holders have been taken over.
func (claims *claims) configure(declared configuration.Claims, now time.Time) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	config := claim.Config{Window: declared.Window, ClockSkew: declared.ClockSkew, RoundLimit: claim.DefaultRoundLimit}
	if config != claims.config {
		claims.holder.Reconfigure(config)
	}
	first := claims.roster == nil
	changed := claim.RosterName(claims.roster) != claim.RosterName(declared.Holders)
	switch {
	case len(declared.Previous) == 0 && changed && !first:
		// This node has missed the whole change and does not know the claims that the
		// new holders have granted.
		claims.holder.Restart(now)
		claims.holder.Settle(now)
	case len(declared.Previous) == 0:
		claims.holder.Settle(now)
	case first:
		claims.holder.AwaitJoin()
	case changed:
		claims.holder.ChangeRoster()
	}
	claims.config = config
	claims.roster = declared.Holders
	claims.previous = declared.Previous
}

func (claims *claims) current() (claim.Config, []string) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return claims.config, claims.roster
}

// answer returns this node's vote on a claim. A requester with another roster gets
// an abstention, so that two rosters never decide concurrently.
func (claims *claims) answer(request wire.ClaimRequest) wire.ClaimAnswer {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if request.Roster != claim.RosterName(claims.roster) {
		return wire.ClaimAnswer{Answer: claim.Answer{Verdict: claim.Abstained}}
	}
	return wire.ClaimAnswer{Answer: claims.holder.Claim(boottime.Now(), request.Key, request.Owner)}
}

func (claims *claims) conclude(request wire.ConcludeRequest) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	claims.holder.Conclude(boottime.Now(), request.Key, request.Owner, request.Status)
}

func (claims *claims) records(request wire.ClaimsRequest) wire.ClaimsAnswer {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if request.Roster != claim.RosterName(claims.roster) {
		return wire.ClaimsAnswer{}
	}
	now := boottime.Now()
	return wire.ClaimsAnswer{
		Adopted:      true,
		Joined:       claims.holder.Joined(),
		Complete:     claims.holder.Complete(now),
		KnowsEarlier: claims.holder.KnowsEarlier(now),
		Records:      claims.holder.Records(now),
	}
}

func (claims *claims) restart(now time.Time) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	claims.holder.Restart(now)
}

// ClaimHandle is a claim on a key that a request of this node holds. If the outcome
// of the request is known, exactly one of its methods is called.
type Claimed struct {
	node    *Node
	key     claim.Key
	owner   string
	holders []string
}

// Claim claims an idempotency key, so that no other request with the key runs.
func (node *Node) Claim(ctx context.Context, tenant, value string) (*Claimed, error) {
	config, roster := node.claims.current()
	if len(roster) == 0 {
		return nil, failure.New(failure.KindClaimUnavailable, "no claim holders are declared", "declare claims.holders")
	}
	key := claim.Key{Tenant: tenant, Value: value}
	if refusal := claim.Check(config, boottime.Now(), key); refusal != nil {
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
			"check the outcome of the first request; a new request needs a new key").WithOutcome(outcome)
	default:
		claimed.Release()
		return nil, failure.New(failure.KindClaimUnavailable, "too few claim holders answered",
			"send it again with the same key, or under a new one if no earlier send of it may have run").WithRetryAfter(claimRetryAfter)
	}
}

// holderAnswer is an answer and the holder that gave it.
type holderAnswer struct {
	holder string
	answer claim.Answer
	err    error
}

func (node *Node) runRound(ctx context.Context, config claim.Config, roster string, claimed *Claimed) (claim.Decision, claim.Status) {
	round := claim.NewRound(config, boottime.Now(), claimed.holders)
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
			decision = round.Lost(boottime.Now(), received.holder)
		} else {
			decision = round.Receive(boottime.Now(), received.holder, received.answer)
		}
		if decision != claim.Undecided {
			break
		}
	}
	return decision, round.Status()
}

// Complete reports that the request has run.
func (claimed *Claimed) Complete() { claimed.conclude(claim.Completed) }

// Release reports that the request was not sent and will not be sent.
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
