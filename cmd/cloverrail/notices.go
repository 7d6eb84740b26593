package main

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/platform"
)

// handleNotice applies the server state reported in the headers of a response.
func (process *process) handleNotice(received platform.ReceivedNotice) {
	now := boottime.Now()
	if received.Notice.HasRateLimit || received.Notice.Authoritative && process.serverLimits.Active() {
		process.handleRateLimit(received, now)
	}
	if received.Notice.HasTolerance {
		process.handleTolerance(received, now)
	}
	if !received.Notice.HasSignals() && received.ParseError == nil {
		return
	}
	changed := process.serverSet.Notice(received.Instance, received.Notice, now)
	process.recorder.NoticeReceived(received.Instance, received.Notice, changed, received.ParseError)
}

// handleRateLimit applies the rate limit that a server advertises in a response, or its absence.
func (process *process) handleRateLimit(received platform.ReceivedNotice, now time.Time) {
	server, found := process.serverSet.Find(received.Instance)
	switch {
	case !found:
	case received.Notice.HasRateLimit:
		if process.serverLimits.ObserveLimit(server.Key, received.Notice.RateLimit, now) {
			process.recorder.RateLimitAdvertised(server.Name, received.Notice.RateLimit)
		}
	case process.serverLimits.ObserveNoLimit(server.Key, received.SentAt, now):
		process.recorder.RateLimitLifted(server.Name)
	}
}

// handleTolerance applies the number of rejections that a brittle server survives. All servers of its
// service count as brittle.
func (process *process) handleTolerance(received platform.ReceivedNotice, now time.Time) {
	server, found := process.serverSet.Find(received.Instance)
	if found && process.serverRooms.ObserveTolerance(server.Service, received.Notice.Tolerance, now) {
		process.recorder.ServiceBrittle(server.Service, server.Name, received.Notice.Tolerance)
	}
}

// recordPeerLimits records the rate limits of servers that other nodes report.
func (process *process) recordPeerLimits(changes []quota.LimitChange) {
	for _, change := range changes {
		if server, found := process.serverSet.FindByKey(change.Matches); found {
			process.recorder.PeerRateLimit(server.Name, change)
		}
	}
}

// chargeOwnCall counts one of this node's own calls against the rate limit of the server at an
// address.
func (process *process) chargeOwnCall(call, address string) {
	process.recorder.OwnCall(call)
	if !process.serverLimits.Active() {
		return
	}
	if server, found := process.serverSet.FindByAddress(address); found {
		process.serverLimits.Charge(server.Key, server.Service, boottime.Now())
	}
}

// minCallInterval returns the minimum time between two of the fleet's own calls to the server at
// an address.
func (process *process) minCallInterval(address string) time.Duration {
	if !process.serverLimits.Active() {
		return 0
	}
	server, found := process.serverSet.FindByAddress(address)
	if !found {
		return 0
	}
	return process.serverLimits.MinInterval(server.Key, boottime.Now())
}
