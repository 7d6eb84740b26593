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
	previousHolders []string
}

func newClaims(now time.Time) *claims {
	config := claim.Config{Window: configuration.DefaultClaimWindow, ClockSkew: configuration.DefaultClockSkew, RoundTimeout: claim.DefaultRoundTimeout}
	return &claims{holder: claim.NewHolder(config, now), config: config}
}

// configure applies a new snapshot. After a change of the roster, nothing is
// granted until the claims of the former holders have been taken over.
func (claims *claims) configure(declaration configuration.Claims, now time.Time) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	config := claim.Config{Window: declaration.Window, ClockSkew: declaration.ClockSkew, RoundTimeout: claim.DefaultRoundTimeout}
	if config != claims.config {
		claims.holder.SetConfig(config)
	}
	first := claims.roster == nil
	changed := claim.RosterID(claims.roster) != claim.RosterID(declaration.Holders)
	switch {
	case len(declaration.Previous) == 0 && changed && !first:
		// This node has missed the whole change and does not know the claims that the
		// new holders have granted.
		claims.holder.Reset(now)
		claims.holder.CompleteRosterChange(now)
	case len(declaration.Previous) == 0:
		claims.holder.CompleteRosterChange(now)
	case first:
		claims.holder.AwaitJoin()
	case changed:
		claims.holder.ChangeRoster()
	}
	claims.config = config
	claims.roster = declaration.Holders
	claims.previousHolders = declaration.Previous
}

func (claims *claims) currentConfig() (claim.Config, []string) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return claims.config, claims.roster
}

// answer returns this holder's response to a claim request. A requester with another
// roster gets an abstention, so that two rosters never decide concurrently.
func (claims *claims) answer(request wire.ClaimRequest) wire.ClaimResponse {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if request.Roster != claim.RosterID(claims.roster) {
		return wire.ClaimResponse{Answer: claim.Response{Verdict: claim.Abstained}}
	}
	return wire.ClaimResponse{Answer: claims.holder.Claim(boottime.Now(), request.Key, request.Owner)}
}

func (claims *claims) conclude(request wire.ConcludeRequest) {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	claims.holder.Conclude(boottime.Now(), request.Key, request.Owner, request.Status)
}

func (claims *claims) handleRecords(request wire.ClaimListRequest) wire.ClaimListResponse {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	if request.Roster != claim.RosterID(claims.roster) {
		return wire.ClaimListResponse{}
	}
	now := boottime.Now()
	return wire.ClaimListResponse{
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
	claims.holder.Reset(now)
}

// ClaimHandle is a claim on a key that a request of this node holds. If the outcome
// of the request is known, exactly one of its methods is called.
type ClaimHandle struct {
	node    *Node
	key     claim.Key
	owner   string
	holders []string
}

// Claim claims an idempotency key, so that no other request with the key runs.
func (node *Node) Claim(ctx context.Context, tenant, value string) (*ClaimHandle, error) {
	config, roster := node.claims.currentConfig()
	if len(roster) == 0 {
		return nil, failure.New(failure.KindClaimUnavailable, "no claim holders are declared", "declare claims.holders")
	}
	key := claim.Key{Tenant: tenant, Value: value}
	if refusal := claim.CheckAge(config, boottime.Now(), key); refusal != nil {
		return nil, refusal
	}
	handle := &ClaimHandle{node: node, key: key, owner: uuid.NewString(), holders: claim.HoldersOf(key, roster)}
	decision, status := node.runRound(ctx, config, claim.RosterID(roster), handle)
	node.metrics.ClaimRounds.WithLabelValues(decision.String()).Inc()
	switch decision {
	case claim.Won:
		return handle, nil
	case claim.Duplicate:
		handle.Release()
		outcome := failure.Unknown
		if status == claim.Completed {
			outcome = failure.Ran
		}
		return nil, failure.New(failure.KindDuplicate, "a request with this idempotency key was accepted before",
			"check the outcome of the first request; a new request needs a new key").WithOutcome(outcome)
	default:
		handle.Release()
		return nil, failure.New(failure.KindClaimUnavailable, "too few claim holders answered",
			"send it again with the same key, or under a new one if no earlier send of it may have run").WithRetryAfter(claimRetryAfter)
	}
}

// holderAnswer is an answer and the holder that gave it.
type holderAnswer struct {
	holder string
	answer claim.Response
	err    error
}

func (node *Node) runRound(ctx context.Context, config claim.Config, roster string, handle *ClaimHandle) (claim.Decision, claim.Status) {
	round := claim.NewRound(config, boottime.Now(), handle.holders)
	ctx, cancel := context.WithTimeout(ctx, config.RoundTimeout)
	defer cancel()
	answers := make(chan holderAnswer, len(handle.holders))
	request := wire.ClaimRequest{Roster: roster, Key: handle.key, Owner: handle.owner}
	for _, holder := range handle.holders {
		go func() {
			if holder == node.settings.PeerAddress {
				answers <- holderAnswer{holder: holder, answer: node.claims.answer(request).Answer}
				return
			}
			answer, err := callPeer[wire.ClaimResponse](ctx, node, holder, request)
			answers <- holderAnswer{holder: holder, answer: answer.Answer, err: err}
		}()
	}
	decision := claim.Undecided
	for range handle.holders {
		received := <-answers
		if received.err != nil {
			decision = round.NoResponse(boottime.Now(), received.holder)
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
func (handle *ClaimHandle) Complete() { handle.conclude(claim.Completed) }

// Release reports that the request was not sent and will not be sent.
func (handle *ClaimHandle) Release() { handle.conclude(claim.Released) }

func (handle *ClaimHandle) conclude(status claim.Status) {
	request := wire.ConcludeRequest{Key: handle.key, Owner: handle.owner, Status: status}
	for _, holder := range handle.holders {
		if holder == handle.node.settings.PeerAddress {
			handle.node.claims.conclude(request)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), concludeTimeout)
			defer cancel()
			_, _ = callPeer[wire.ConcludeResponse](ctx, handle.node, holder, request)
		}()
	}
}
