package overload

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/quota"
)

const (
	// nearTTL is how long after a request that found its service near its capacity the service is
	// reported to other nodes.
	nearTTL = 2 * time.Second
	// maxReportedServices bounds the services of a report: 88 rows at most, of the 192 of a report.
	maxReportedServices = 8
	// idleExpiry is how long an unused controller is kept.
	idleExpiry = time.Minute
	// defaultNodes is the assumed size of the fleet until it is known.
	defaultNodes = 1000
)

// Services holds the controllers of a node's services. It is safe for concurrent use.
type Services struct {
	promises Promises

	mutex       sync.Mutex
	controllers map[uint64]*Controller
	names       map[uint64]string
	nodes       int
	sweptAt     time.Time
	malformed   int
}

// NewServices returns an instance without controllers.
func NewServices(promises Promises) *Services {
	return &Services{promises: promises, controllers: map[uint64]*Controller{}, names: map[uint64]string{}, nodes: defaultNodes}
}

// Controller returns the controller of a service.
func (s *Services) Controller(service string, now time.Time) *Controller {
	subject := quota.ServiceSubject(service)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.controllers[subject]
	if c == nil {
		c = NewController(subject, s.promises, s.nodes)
		c.usedAt = now
		s.controllers[subject], s.names[subject] = c, service
	}
	return c
}

// Resize sets the number of nodes in the fleet.
func (s *Services) Resize(nodes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodes = max(1, nodes)
	for _, c := range s.controllers {
		c.resize(s.nodes)
	}
}

// Report returns this node's rows on the services that were lately near their capacity.
func (s *Services) Report(now time.Time) []quota.Usage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.evictIdle(now)
	var near []*Controller
	for _, subject := range slices.Sorted(maps.Keys(s.controllers)) {
		if c := s.controllers[subject]; c.near(now) {
			near = append(near, c)
		}
	}
	if len(near) > maxReportedServices {
		slices.SortStableFunc(near, func(a, b *Controller) int { return -cmp.Compare(a.ownTokens(now), b.ownTokens(now)) })
		near = near[:maxReportedServices]
	}
	var rows []quota.Usage
	for _, c := range near {
		rows = c.appendRows(rows, now)
	}
	return rows
}

// SetPeerRows replaces the rows reported by all other nodes. Rows of other kinds are ignored, and
// malformed ones are dropped and counted.
func (s *Services) SetPeerRows(rows []quota.Usage, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	requested := map[uint64][RankCount]float64{}
	promised := map[uint64]quota.ServiceRow{}
	for _, u := range rows {
		row, ok := quota.ParseServiceRow(u)
		switch {
		case !ok || s.controllers[row.Subject] == nil:
		case !row.Valid():
			s.malformed++
		case row.Promised:
			promised[row.Subject] = row
		default:
			ranks := requested[row.Subject]
			ranks[row.Rank] = row.Requested
			requested[row.Subject] = ranks
		}
	}
	for subject, c := range s.controllers {
		c.setPeers(requested[subject], now)
		s.promises.SetPeers(subject, promised[subject].Requested, promised[subject].Admitted, now)
	}
}

// States returns the state of each service by name.
func (s *Services) States(now time.Time) map[string]State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	states := map[string]State{}
	for subject, c := range s.controllers {
		states[s.names[subject]] = c.currentState(now)
	}
	return states
}

// Invalid returns how many requests had values out of range, and how many rows were malformed.
func (s *Services) Invalid() (requests, rows int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.controllers {
		c.mutex.Lock()
		requests += c.invalid
		c.mutex.Unlock()
	}
	return requests, s.malformed
}

// evictIdle removes controllers that have not been used for idleExpiry.
func (s *Services) evictIdle(now time.Time) {
	if now.Sub(s.sweptAt) < idleExpiry {
		return
	}
	s.sweptAt = now
	for subject, c := range s.controllers {
		if c.idleSince(now) > idleExpiry {
			delete(s.controllers, subject)
			delete(s.names, subject)
		}
	}
}
