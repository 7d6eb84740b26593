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
type recoveryState struct {
	roster          []string
	previousHolders []string
	joined          bool
	recoveryDue     bool
	startedAt       time.Time
}

func (claims *claims) state() recoveryState {
	claims.mutex.Lock()
	defer claims.mutex.Unlock()
	return recoveryState{
		roster:          claims.roster,
		previousHolders: claims.previousHolders,
		joined:          claims.holder.Joined(),
		recoveryDue:     claims.holder.RecoveryDue(boottime.Now()),
		startedAt:       claims.holder.StartedAt(),
	}
}

// recoverClaims periodically brings the claim holder up to date: from the former
// holders after a change of the roster, and from the other holders after a start.
func (node *Node) recoverClaims(ctx context.Context) {
	runPeriodically(ctx, recoveryInterval, func() {
		state := node.claims.state()
		if !state.joined {
			node.takeOverClaims(ctx, state)
			return
		}
		if state.recoveryDue {
			node.recoverFromHolders(ctx, state)
		}
	})
}

// fetchClaims returns the claims of each address, which may include this node.
func (node *Node) fetchClaims(ctx context.Context, addresses, roster []string) []wire.ClaimListResponse {
	request := wire.ClaimListRequest{Roster: claim.RosterID(roster)}
	responses := make([]wire.ClaimListResponse, len(addresses))
	for index, address := range addresses {
		if address == node.settings.PeerAddress {
			responses[index] = node.claims.handleRecords(request)
			continue
		}
		// A failed call leaves the zero response: not adopted, joined or complete.
		responses[index], _ = callPeer[wire.ClaimListResponse](ctx, node, address, request)
	}
	return responses
}

// takeOverClaims takes over the claims of the former holders once all but one of
// them have adopted the new roster.
func (node *Node) takeOverClaims(ctx context.Context, state recoveryState) {
	records := []claim.Record{}
	adopted, complete := 0, 0
	for _, response := range node.fetchClaims(ctx, state.previousHolders, state.roster) {
		if !response.Adopted {
			continue
		}
		adopted++
		if response.KnowsEarlier {
			complete++
		}
		records = append(records, response.Records...)
	}
	if adopted < len(state.previousHolders)-1 {
		return
	}
	node.claims.mutex.Lock()
	defer node.claims.mutex.Unlock()
	if claim.RosterID(node.claims.roster) != claim.RosterID(state.roster) {
		return
	}
	node.claims.holder.Join(boottime.Now(), records, complete >= len(state.previousHolders)-1)
	node.log.Info().Int("claims", len(records)).Msg("claims taken over from the former holders")
}

// recoverFromHolders copies the claims of all other holders if each of them is
// complete.
func (node *Node) recoverFromHolders(ctx context.Context, state recoveryState) {
	others := []string{}
	for _, address := range state.roster {
		if address != node.settings.PeerAddress {
			others = append(others, address)
		}
	}
	records := []claim.Record{}
	for _, response := range node.fetchClaims(ctx, others, state.roster) {
		if !response.Complete {
			return
		}
		records = append(records, response.Records...)
	}
	node.claims.mutex.Lock()
	defer node.claims.mutex.Unlock()
	unchanged := claim.RosterID(node.claims.roster) == claim.RosterID(state.roster)
	if !unchanged || node.claims.holder.StartedAt() != state.startedAt {
		return
	}
	node.claims.holder.Recover(boottime.Now(), records)
	node.log.Info().Int("claims", len(records)).Msg("claims recovered from the other holders")
}

// completeHolderChange ends a change of holders once all new holders but one have
// taken over. It runs on the order issuer, of which there is one at a time; a write
// by a second one fails its comparison.
func (node *Node) completeHolderChange(ctx context.Context) {
	state := node.claims.state()
	version := node.activeConfig.version.Load()
	if len(state.previousHolders) == 0 || len(state.roster) == 0 || version == nil {
		return
	}
	joined := 0
	for _, response := range node.fetchClaims(ctx, state.roster, state.roster) {
		if response.Joined {
			joined++
		}
	}
	if joined < len(state.roster)-1 {
		return
	}
	settled, err := node.activeConfig.store.CompleteHolderChange(ctx, version, uuid.NewString())
	if err != nil {
		node.log.Warn().Err(err).Msg("change of claim holders not completed; retrying")
		return
	}
	node.activeConfig.activate(settled)
}
