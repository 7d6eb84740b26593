package proxy

import (
	"math"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// Rejection records that a brittle server has rejected a request for want of room.
type Rejection struct {
	Server  string
	Service string
	// Running is the number of requests that were known to run there, and Hold for how long this node
	// sends the server nothing.
	Running int
	Hold    time.Duration
}

// markNoRoom marks the candidates that are brittle and may have no room for the request. It does nothing
// while no server is brittle.
func (placer *placer) markNoRoom(candidates []routing.Candidate, now time.Time) {
	if !placer.proxy.serverRooms.Active() {
		return
	}
	marked, groups := false, placer.serverGroups()
	for i := range candidates {
		c := &candidates[i]
		c.NoRoom = !placer.proxy.serverRooms.Admits(placer.serverUse(c, groups), placer.draw(c), now)
		marked = marked || c.NoRoom
	}
	if marked && !placer.foundNoRoom {
		placer.foundNoRoom = true
		placer.proxy.recorder.NoRoom(placer.admitted.service.Name)
	}
}

// countNoRoom returns the number of candidates that are marked as having no room.
func countNoRoom(candidates []routing.Candidate) int {
	count := 0
	for i := range candidates {
		if candidates[i].NoRoom {
			count++
		}
	}
	return count
}

// serverGroups returns the number of subsets into which the servers of the request's service divide.
func (placer *placer) serverGroups() int {
	if !placer.proxy.serverRooms.Active() {
		return 1
	}
	return placer.proxy.set.ServiceSize(placer.admitted.service.Name) / subsetSize
}

// draw returns the request's random number for a candidate, in [0, 1).
func (placer *placer) draw(c *routing.Candidate) float64 {
	return float64(prefix.Weight(prefix.HashName(placer.admitted.request.ID), c.Endpoint)) / math.MaxUint64
}

// serverUse returns the use of a candidate.
func (placer *placer) serverUse(c *routing.Candidate, groups int) quota.ServerUse {
	return quota.ServerUse{
		Server: backend.ServerKey(c.Endpoint), Service: placer.admitted.service.Name, Groups: groups, Slots: c.Slots,
		Own: c.InFlight, Peers: max(0, c.Running-c.InFlight), RejectedPeers: c.FullNodes,
	}
}

// recordRoom records what the end of the attempt says of the room of a brittle server.
func (placement *placement) recordRoom(result exchange.Result, full bool, now time.Time) {
	proxy := placement.placer.proxy
	if !proxy.serverRooms.Active() {
		return
	}
	use := placement.placer.serverUse(&placement.chosen, 1)
	switch result {
	case exchange.ResultServed, exchange.ResultFaulty:
		proxy.serverRooms.Ended(use, now.Sub(placement.placedAt), false, now)
	case exchange.ResultBroken, exchange.ResultCutOff, exchange.ResultSilent:
		proxy.serverRooms.Ended(use, 0, true, now)
	case exchange.ResultRefused:
		if !full {
			return
		}
		if hold, brittle := proxy.serverRooms.Rejected(use, now); brittle {
			proxy.recorder.RejectedForRoom(Rejection{Server: placement.chosen.Endpoint, Service: use.Service, Running: use.Own + use.Peers, Hold: hold})
		}
	}
}
