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

// holderState is what this node's holder needs next.
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

// recoverClaims brings the holder up to date: from the holders before when the
// roster has changed, and from the other holders after a start.
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

// askHolders asks for the claims of each address, this node's own included.
func (node *Node) askHolders(ctx context.Context, addresses, roster []string) []wire.ClaimsAnswer {
	request := wire.ClaimsRequest{Roster: claim.RosterName(roster)}
	answers := make([]wire.ClaimsAnswer, len(addresses))
	for index, address := range addresses {
		if address == node.settings.PeerAddress {
			answers[index] = node.claims.records(request)
			continue
		}
		// An unanswered call leaves the zero answer: nothing is known of it.
		answers[index], _ = call[wire.ClaimsAnswer](ctx, node, address, request)
	}
	return answers
}

// joinHolders takes over from the holders before, once all but one of them have
// adopted the new roster.
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
	node.log.Info().Int("claims", len(records)).Msg("claims taken over from the holders before")
}

// recoverOnce takes the claims of all other holders, if each is complete.
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

// settleHolders ends a change of the holders once all of them but one have taken
// over. The order issuer does it, since there is one at a time; a second one
// would only lose the comparison.
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
		node.log.Warn().Err(err).Msg("the change of claim holders is not settled yet")
		return
	}
	node.catalog.adopt(settled)
}
