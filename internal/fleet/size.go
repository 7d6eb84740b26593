package fleet

import (
	"sync"
	"time"
)

// sizeHold is how long a node still counts after its registration has disappeared. A node that lives registers again
// in that time: a lease that ended in an outage is noticed at the next renewal, which may wait for the end of the
// outage.
const sizeHold = registrationTTL/renewalsPerTTL + 4*time.Second

// SharedSize is the number of nodes by which the bounds of the whole fleet are divided. It rises at once with the
// number of registrations and falls only after sizeHold, because nodes whose registrations have lapsed go on
// spending their shares. It is safe for concurrent use.
type SharedSize struct {
	mutex sync.Mutex
	// observed holds the sizes that may still be the largest one of the last sizeHold: each is smaller than the
	// one before it.
	observed []observedSize
}

// observedSize is a number of registered nodes and when it was last true.
type observedSize struct {
	nodes int
	until time.Time
}

// Observe records the number of registered nodes at a time, and returns the shared size.
func (s *SharedSize) Observe(nodes int, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if last := len(s.observed) - 1; last >= 0 {
		s.observed[last].until = now
	}
	for len(s.observed) > 0 && s.observed[len(s.observed)-1].nodes <= nodes {
		s.observed = s.observed[:len(s.observed)-1]
	}
	s.observed = append(s.observed, observedSize{nodes, now})
	return s.current(now)
}

// Nodes returns the shared size at a time, or 0 if no number of nodes was observed.
func (s *SharedSize) Nodes(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.observed) == 0 {
		return 0
	}
	// The latest number is true until another one is observed.
	s.observed[len(s.observed)-1].until = now
	return s.current(now)
}

func (s *SharedSize) current(now time.Time) int {
	for len(s.observed) > 1 && now.Sub(s.observed[0].until) >= sizeHold {
		s.observed = s.observed[1:]
	}
	return s.observed[0].nodes
}
