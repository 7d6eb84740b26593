package backend

import (
	"slices"
	"time"

	"github.com/cloverrail/cloverrail/internal/routing"
)

// Distance returns the distance of a zone from this node; 0 is the same zone.
type Distance func(zone string) int

// Query selects the servers that are eligible for a request.
type Query struct {
	Service string
	// Model is empty for services without models. MinimumVersion is the oldest model version that
	// may serve the request.
	Model          string
	MinimumVersion int64
	Distance       Distance
	// Software, if set, is the only software version that may serve the request.
	Software string
	// BeginsStream excludes servers whose software version is not recorded, or has changed as it seems.
	BeginsStream bool
	// Limit bounds the candidates to the servers whose keys follow HashPoint on the ring of the
	// service; 0 means all servers. All nodes get the same subset for the same HashPoint.
	HashPoint uint64
	Limit     int
	// Shared holds the parts of the prompt that other requests share, in prompt order, if the memory
	// of the servers matters.
	Shared []Prefix
}

// Candidates appends the servers of a service as routing candidates. It omits servers that are
// known to be replaced, and unlisted ones unless no listed server is left and a disruption of the store may
// have removed them from the list.
func (set *Set) Candidates(candidates []routing.Candidate, query Query, now time.Time) []routing.Candidate {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	members := set.rings[query.Service]
	anyListed := slices.ContainsFunc(members, func(s *entry) bool { return s.listed && !s.isDraining() })
	limit := len(members)
	if query.Limit > 0 {
		limit = min(limit, query.Limit)
	}
	candidates = slices.Grow(candidates, limit)
	first, found := members.search(query.HashPoint), 0
	for i := 0; i < len(members) && found < limit; i++ {
		e := members[(first+i)%len(members)]
		if query.Software != "" && e.server.Software != query.Software {
			continue
		}
		if query.BeginsStream && (!set.software.mayBegin(query.Service, e.server.Software) || now.Before(e.local().otherProcessUntil)) {
			continue
		}
		if now.Before(e.local().replacedUntil) || !e.listed && (anyListed || !set.mayServeUnlisted(e, now)) {
			continue
		}
		candidates = append(candidates, routing.Candidate{})
		set.fillCandidate(e, &candidates[len(candidates)-1], &query, now)
		found++
	}
	return candidates
}

// running returns the number of attempts in flight, without the deferred ones that have not
// started, since these do not delay others.
func (local *localState) running() int { return local.inFlight - local.deferred }

// fillCandidate sets the fields of a candidate that depend on the state of the server, and
// leaves the others unchanged.
func (set *Set) fillCandidate(e *entry, c *routing.Candidate, query *Query, now time.Time) {
	server, local, peers := e.server, e.local(), set.peerWorkAt(e, now)
	c.Endpoint, c.Address, c.Zone, c.Pool, c.Epoch = e.name, server.Address, server.Zone, server.Service, server.Instance
	c.Software = server.Software
	c.Distance = query.Distance(server.Zone)
	c.Version = server.Versions[query.Model]
	c.Loading = set.isLoading(e, query.Model, now)
	c.Ready = query.Model == "" || (c.Version > 0 && c.Version >= query.MinimumVersion && !c.Loading)
	c.Leaving = e.isDraining()
	c.BackoffLeft = local.backoff.remaining(now)
	c.Detour = set.needsDetour(e)
	c.DownFor = set.unreachableFor(local, now)
	c.Down = c.DownFor > 0
	c.BreakerOpen = !local.breaker.Allows(now) || peers.Suspects >= suspectQuorum
	c.Probing = local.breaker.Probing(now)
	c.Busy = now.Before(local.refusedUntil) || local.backoff.windowFull(local.running()+peers.Running, server.Slots)
	c.InFlight = local.inFlight
	c.Running = local.running() + peers.Running
	c.Slots = server.Slots
	c.QueuedTokens = local.queuedTokens + peers.QueuedTokens
	set.fillOccupancy(e, c, query, peers, now)
	c.FailureRate = 1 - (1-local.failures.estimate(now))*(1-local.refusals.estimate(now))
}
