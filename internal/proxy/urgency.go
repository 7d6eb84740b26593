package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/routing"
)

const (
	// lowestUrgency is the least urgent rank that servers support; 0 is the most urgent.
	lowestUrgency = 9
	// deferredUrgency is the most urgent rank of deferred requests. Ranks below it are for
	// the priorities of routes and tenants.
	deferredUrgency = 8
)

// deferred reports whether the request already exceeds its target latency or will on the
// chosen server, which is the cheapest. Deferred requests yield to those that can still meet
// the target; otherwise all requests would be late as soon as the servers are overloaded.
func (placer *placer) deferred(request *routing.Request, chosen *routing.Candidate, now time.Time) bool {
	if placer.prompt() == nil {
		return false
	}
	if deferred, decided := placer.deferral(); decided {
		return deferred
	}
	if placer.estimatesCapacity() {
		return placer.missesTarget(request, chosen, now)
	}
	wait := routing.StartDelay(request, chosen)
	expected := now.Sub(placer.admitted.request.Arrived) + time.Duration(wait*float64(time.Second))
	return expected > placer.admitted.route.TargetLatency
}

// missesTarget reports whether the request is late, or is predicted to be on the chosen server. It
// is not predicted to be late while nothing is known of the servers.
func (placer *placer) missesTarget(request *routing.Request, chosen *routing.Candidate, now time.Time) bool {
	if request.TargetSeconds != 0 {
		return !routing.MeetsTarget(request, chosen)
	}
	target := placer.admitted.route.TargetLatency
	return target > 0 && now.Sub(placer.admitted.request.Arrived) > target
}

// urgency returns the urgency of the attempt at its server.
func (placement *placement) urgency() int {
	rank := urgency(placement.placer.admitted)
	if placement.deferred {
		return min(rank+deferredUrgency, lowestUrgency)
	}
	return min(rank, deferredUrgency-1)
}

// urgency returns the priority of a request as an urgency; a tenant's priority overrides its
// route's.
func urgency(admitted *admitted) int {
	priority := admitted.route.Priority
	if admitted.tenant != nil && admitted.tenant.HasPriority {
		priority = admitted.tenant.Priority
	}
	return min(max(priority, 0), lowestUrgency)
}
