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
	Weights map[string]catalog.Namings
	// FinishWithin is the time after a release in which all servers should have loaded it.
	Within time.Duration
	// OrderWithin is the time after a release by which every server must have received its
	// order: from then on no request may start on the old weights.
	Latest time.Duration
	// DisruptedAt is the time of the last failure to read the shared store. No server could be
	// updated until then, so earlier time does not count.
	Disturbed time.Time
	// PropagationDelay is how long before its order a server is broadcast as loading, so that
	// nodes that learn of it late do not send it requests that it would reject.
	Notice time.Duration
	// Uses holds the requests in flight at each instance. Those with the fewest go first, since
	// a load begins when these have ended.
	Uses map[string]backend.Use
	// Resting holds the servers that have asked this node to back off, with the end of the
	// backoff.
	Resting map[string]time.Time
	// MinInterval returns the minimum time between two calls to a server, as set by its rate
	// limit.
	Pace func(server backend.Server) time.Duration
}

// maxCallInterval bounds the time between two calls to a server that loads weights: it gets no
// requests until it is known to have them.
const longestPace = 2 * time.Second

// minInterval returns the minimum time between two calls to a server that are usually made at
// the given interval.
func (targets Targets) pace(server backend.Server, usual time.Duration) time.Duration {
	if targets.Pace == nil {
		return usual
	}
	return max(usual, min(longestPace, targets.Pace(server)))
}

// inBackoff reports whether a server that has asked this node to back off is left alone for now.
// At the deadline for its order the new weights take precedence over the backoff.
func (targets Targets) rests(server backend.Server, latest, now time.Time) bool {
	return now.Before(targets.Resting[server.Incarnation()]) && now.Before(latest)
}

// staleServer is a server that lacks the newest version of a model, with deadlines counted from
// the release of the first version that it lacks.
type lack struct {
	server   backend.Server
	model    string
	version  int64
	deadline time.Time
	// orderBy is the deadline for sending the order.
	latest time.Time
}

// staleness returns the most urgent update that the server needs, if any.
func (targets Targets) of(server backend.Server, now time.Time) (lack, bool) {
	most, found := lack{}, false
	for model, version := range server.Versions {
		namings := targets.Weights[model]
		first, lacks := namings.After(version)
		if !lacks {
			continue
		}
		since := first.Since(targets.Disturbed)
		if since.IsZero() {
			since = now
		}
		one := lack{
			server:   server,
			model:    model,
			version:  namings.Newest(),
			deadline: since.Add(targets.Within),
			latest:   since.Add(targets.Latest),
		}
		earlier := one.deadline.Before(most.deadline) || (one.deadline.Equal(most.deadline) && model < most.model)
		if !found || earlier {
			most, found = one, true
		}
	}
	return most, found
}

// sortByUrgency sorts by deadline. Among equal deadlines it alternates between zones, and within
// each zone starts with the servers with the least work.
func sortByUrgency(behind []lack, uses map[string]backend.Use) {
	sort.Slice(behind, func(i, j int) bool {
		first, second := behind[i].server.Incarnation(), behind[j].server.Incarnation()
		if uses[first] != uses[second] {
			return uses[first].Less(uses[second])
		}
		return first < second
	})
	place := map[string]int{}
	rank := map[string]int{}
	for _, one := range behind {
		rank[one.server.Incarnation()] = place[one.server.Zone]
		place[one.server.Zone]++
	}
	sort.SliceStable(behind, func(i, j int) bool {
		first, second := behind[i], behind[j]
		if !first.deadline.Equal(second.deadline) {
			return first.deadline.Before(second.deadline)
		}
		if rank[first.server.Incarnation()] != rank[second.server.Incarnation()] {
			return rank[first.server.Incarnation()] < rank[second.server.Incarnation()]
		}
		return first.server.Zone < second.server.Zone
	})
}
