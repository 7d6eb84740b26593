package node

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/claim"
	"github.com/cloverrail/cloverrail/internal/wire"
)

const recoveryInterval = 500 * time.Millisecond

// recoveryState is a snapshot of what the recovery of this node's claim holder
// depends on.
type holderState struct {
	roster     []string
	previous   []string
	joined     bool
	due        bool
	generation time.Time
}

func (claims *claims) state() holderState {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return holderState{
		roster:     claims.roster,
		previous:   claims.previous,
		joined:     claims.holder.Joined(),
		due:        claims.holder.RecoveryDue(boottime.Now()),
		generation: claims.holder.Started(),
	}
}

// recoverClaims periodically brings the claim holder up to date: from the former
// holders after a change of the roster, and from the other holders after a start.
func (node *Node) recoverClaims(ctx context.Context) {
	every(ctx, recoveryInterval, func() {
		state := node.claims.state()
		if !state.joined {
			node.joinHolders(ctx, state)
			return
		}
		if state.due {
			node.recoverOnce(ctx, state)
		}
	})
}

// fetchClaims returns the claims of each address, which may include this node.
func (node *Node) askHolders(ctx context.Context, addresses, roster []string) []wire.ClaimsAnswer {
	request := wire.ClaimsRequest{Roster: claim.RosterName(roster)}
	answers := make([]wire.ClaimsAnswer, len(addresses))
	for index, address := range addresses {
		if address == node.settings.PeerAddress {
			answers[index] = node.claims.records(request)
			continue
		}
		// A failed call leaves the zero answer, which counts as unknown.
		answers[index], _ = call[wire.ClaimsAnswer](ctx, node, address, request)
	}
	return answers
}

// takeOverClaims takes over the claims of the former holders once all but one of
// them have adopted the new roster.
func (node *Node) joinHolders(ctx context.Context, state holderState) {
	records := []claim.Record{}
	adopted, knowing := 0, 0
	for _, answer := range node.askHolders(ctx, state.previous, state.roster) {
		if !answer.Adopted {
			continue
		}
		adopted++
		if answer.KnowsEarlier {
			knowing++
		}
		records = append(records, answer.Records...)
	}
	if adopted < len(state.previous)-1 {
		return
	}
	node.claims.mutex.Lock()
	defer node.claims.mutex.Unlock()
	if claim.RosterName(node.claims.roster) != claim.RosterName(state.roster) {
		return
	}
	node.claims.holder.Join(boottime.Now(), records, knowing >= len(state.previous)-1)
	node.log.Info().Int("claims", len(records)).Msg("claims taken over from the former holders")
}

// recoverFromHolders copies the claims of all other holders if each of them is
// complete.
func (node *Node) recoverOnce(ctx context.Context, state holderState) {
	others := []string{}
	for _, address := range state.roster {
		if address != node.settings.PeerAddress {
			others = append(others, address)
		}
	}
	records := []claim.Record{}
	for _, answer := range node.askHolders(ctx, others, state.roster) {
		if !answer.Complete {
			return
		}
		records = append(records, answer.Records...)
	}
	node.claims.mutex.Lock()
	defer node.claims.mutex.Unlock()
	unchanged := claim.RosterName(node.claims.roster) == claim.RosterName(state.roster)
	if !unchanged || node.claims.holder.Started() != state.generation {
		return
	}
	node.claims.holder.Recover(boottime.Now(), records)
	node.log.Info().Int("claims", len(records)).Msg("claims recovered from the other holders")
}

// completeHolderChange ends a change of holders once all new holders but one have
// taken over. It runs on the order issuer, of which there is one at a time; a write
// by a second one fails its comparison.
func (node *Node) settleHolders(ctx context.Context) {
	state := node.claims.state()
	version := node.catalog.version.Load()
	if len(state.previous) == 0 || len(state.roster) == 0 || version == nil {
		return
	}
	joined := 0
	for _, answer := range node.askHolders(ctx, state.roster, state.roster) {
		if answer.Joined {
			joined++
		}
	}
	if joined < len(state.roster)-1 {
		return
	}
	settled, err := node.catalog.store.SettleHolders(ctx, version, uuid.NewString())
	if err != nil {
		node.log.Warn().Err(err).Msg("change of claim holders not completed; retrying")
		return
	}
	node.catalog.adopt(settled)
}
