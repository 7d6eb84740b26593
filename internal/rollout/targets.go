package rollout

import (
	"sort"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
)

// Targets is the goal of the rollout.
type Targets struct {
	// Weights holds the released versions of each model.
	Weights map[string]catalog.Releases
	// FinishWithin is the time after a release in which all servers should have loaded it.
	FinishWithin time.Duration
	// OrderWithin is the time after a release by which every server must have received its
	// order: from then on no request may start on the old weights.
	OrderWithin time.Duration
	// DisruptedAt is when the shared store was last disrupted. No server could be updated until
	// then, so the time before it does not count towards the deadlines.
	DisruptedAt time.Time
	// PropagationDelay is how long before its order a server is broadcast as loading, so that
	// nodes that learn of it late do not send it requests that it would reject.
	PropagationDelay time.Duration
	// Uses holds the requests in flight at each incarnation, as far as known. Those with the fewest go
	// first, and an order waits until no prompts are queued, since a server refuses the requests
	// that wait when it begins to load.
	Uses map[string]backend.Use
	// ServersInBackoff holds the servers that have asked this node to back off, with the end of
	// the backoff.
	ServersInBackoff map[string]time.Time
	// MinInterval returns the minimum time between two calls to a server, as set by its rate
	// limit.
	MinInterval func(server backend.Server) time.Duration
}

// maxCallInterval bounds the time between two calls to a server that loads weights: it gets no
// requests until it is known to have them.
const maxCallInterval = 2 * time.Second

// minInterval returns the minimum time between two calls to a server that are usually made at
// the given interval.
func (targets Targets) minInterval(server backend.Server, usual time.Duration) time.Duration {
	if targets.MinInterval == nil {
		return usual
	}
	return max(usual, min(maxCallInterval, targets.MinInterval(server)))
}

// inBackoff reports whether a server that has asked this node to back off is left alone for now.
// At the deadline for its order the new weights take precedence over the backoff.
func (targets Targets) inBackoff(server backend.Server, orderBy, now time.Time) bool {
	return now.Before(targets.ServersInBackoff[server.Incarnation()]) && now.Before(orderBy)
}

// staleServer is a server that lacks the newest version of a model, with deadlines counted from
// the release of the first version that it lacks.
type staleServer struct {
	server   backend.Server
	model    string
	version  int64
	deadline time.Time
	// orderBy is the deadline for sending the order.
	orderBy time.Time
}

// staleness returns the most urgent update that the server needs, if any.
func (targets Targets) staleness(server backend.Server, now time.Time) (staleServer, bool) {
	mostUrgent, found := staleServer{}, false
	for model, version := range server.Versions {
		releases := targets.Weights[model]
		first, outdated := releases.After(version)
		if !outdated {
			continue
		}
		since := first.EffectiveAt(targets.DisruptedAt)
		if since.IsZero() {
			since = now
		}
		candidate := staleServer{
			server:   server,
			model:    model,
			version:  releases.Newest(),
			deadline: since.Add(targets.FinishWithin),
			orderBy:  since.Add(targets.OrderWithin),
		}
		earlier := candidate.deadline.Before(mostUrgent.deadline) || (candidate.deadline.Equal(mostUrgent.deadline) && model < mostUrgent.model)
		if !found || earlier {
			mostUrgent, found = candidate, true
		}
	}
	return mostUrgent, found
}

// sortByUrgency sorts by deadline. Among equal deadlines it alternates between zones, and within
// each zone starts with the servers with the least work.
func sortByUrgency(stale []staleServer, uses map[string]backend.Use) {
	sort.Slice(stale, func(i, j int) bool {
		first, second := stale[i].server.Incarnation(), stale[j].server.Incarnation()
		if uses[first] != uses[second] {
			return uses[first].Less(uses[second])
		}
		return first < second
	})
	countInZone := map[string]int{}
	rank := map[string]int{}
	for _, candidate := range stale {
		rank[candidate.server.Incarnation()] = countInZone[candidate.server.Zone]
		countInZone[candidate.server.Zone]++
	}
	sort.SliceStable(stale, func(i, j int) bool {
		first, second := stale[i], stale[j]
		if !first.deadline.Equal(second.deadline) {
			return first.deadline.Before(second.deadline)
		}
		if rank[first.server.Incarnation()] != rank[second.server.Incarnation()] {
			return rank[first.server.Incarnation()] < rank[second.server.Incarnation()]
		}
		return first.server.Zone < second.server.Zone
	})
}
