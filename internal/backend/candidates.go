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
	// Limit bounds the candidates to the servers whose keys follow HashPoint on the ring of the
	// service; 0 means all servers. All nodes get the same subset for the same HashPoint.
	Near uint64
	Most int
}

// Candidates appends the eligible servers of a service as routing candidates.
func (set *Set) Candidates(candidates []routing.Candidate, query Query, now time.Time) []routing.Candidate {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	around := set.rings[query.Service]
	anyListed := slices.ContainsFunc(around, func(s *state) bool { return s.listed && !s.leaving() })
	most := len(around)
	if query.Most > 0 {
		most = min(most, query.Most)
	}
	candidates = slices.Grow(candidates, most)
	first, found := around.after(query.Near), 0
	for i := 0; i < len(around) && found < most; i++ {
		known := around[(first+i)%len(around)]
		if now.Before(known.dealt().goneUntil) || (!known.listed && (anyListed || known.leaving())) {
			continue
		}
		candidates = append(candidates, routing.Candidate{})
		set.refresh(known, &candidates[len(candidates)-1], &query, now)
		found++
	}
	return candidates
}

// running returns the number of attempts in flight without the deferred ones, which do not delay
// others.
func (d *dealings) running() int { return d.inFlight - d.deferred }

// fillCandidate sets the fields of a candidate that depend on the state of the server, and
// leaves the others unchanged.
func (set *Set) refresh(known *state, c *routing.Candidate, query *Query, now time.Time) {
	server, dealings, others := known.server, known.dealt(), set.othersAt(known, now)
	c.Endpoint, c.Address, c.Zone, c.Pool, c.Epoch = known.name, server.Address, server.Zone, server.Service, server.Instance
	c.Distance = query.Distance(server.Zone)
	c.Version = server.Versions[query.Model]
	c.Loading = set.loads(known, query.Model, now)
	c.Ready = query.Model == "" || (c.Version > 0 && c.Version >= query.MinimumVersion && !c.Loading)
	c.Leaving = known.leaving()
	c.RestLeft = dealings.rest.left(now)
	c.Resting = !dealings.breaker.Allows(now) || others.Suspects >= enoughSuspects
	c.Probing = dealings.breaker.Probing(now)
	c.Busy = now.Before(dealings.busyUntil) || dealings.rest.full(dealings.running()+others.Running, server.Slots)
	c.InFlight = dealings.inFlight
	c.Running = dealings.running() + others.Running
	c.Slots = server.Slots
	c.QueuedTokens = dealings.queuedTokens + others.QueuedTokens
	c.FailureShare = 1 - (1-dealings.failures.at(now))*(1-dealings.refusals.at(now))
}
