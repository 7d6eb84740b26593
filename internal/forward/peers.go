package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/routing"
)

const (
	// attemptCost is the estimated delay in seconds that each attempt in flight at a node adds to the
	// next one. With the distance cost it makes a zone's load spread to other zones as it grows.
	attemptCost = 0.01
	// unreachedTTL is how long a node is not asked again for a server that it did not reach.
	unreachedTTL = 2 * time.Second
	// maxUnreached bounds the remembered pairs of node and server. When it is reached, all are
	// forgotten.
	maxUnreached = 4096
	// maxCandidates bounds the nodes that one attempt chooses from. They are drawn at random, so that
	// the load of many nodes that are partitioned spreads over all others.
	maxCandidates = 16
	// peerRetention is how long an unused node is remembered.
	peerRetention = time.Minute
)

// peerBreaker opens on the first failure, since other nodes are usually available.
var peerBreaker = retry.BreakerConfig{Failures: 1, OpenDuration: time.Second, MaxOpenDuration: 4 * time.Second}

// Peers chooses the nodes through which attempts are sent. It is safe for concurrent use.
type Peers struct {
	nodes    func() []fleet.Node
	distance func(from, to string) int
	zone     string

	mutex     sync.Mutex
	states    map[string]*peerState
	unreached map[peerServer]time.Time
}

// peerServer is a pair of a node's address and a server's name.
type peerServer struct{ peer, server string }

// peerState is what this node has observed of another one.
type peerState struct {
	inFlight int
	breaker  retry.Breaker
	usedAt   time.Time
}

// NewPeers returns the chooser of a node in a zone. The function nodes returns the other nodes, and
// distance the distance between two zones as in routing.Candidate.
func NewPeers(zone string, nodes func() []fleet.Node, distance func(from, to string) int) *Peers {
	return &Peers{zone: zone, nodes: nodes, distance: distance, states: map[string]*peerState{}, unreached: map[peerServer]time.Time{}}
}

// use is an attempt in flight at a node.
type use struct {
	peers  *Peers
	node   fleet.Node
	server string
	probe  bool
	once   sync.Once
}

// choose begins an attempt on a server in a zone at the best node that is not excluded. It returns
// nil if no node is available.
func (p *Peers) choose(server, zone string, excluded []string, now time.Time) *use {
	nodes := sample(p.nodes(), maxCandidates)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expire(now)
	candidates := make([]routing.Candidate, 0, len(nodes))
	for _, n := range nodes {
		c := routing.Candidate{
			Endpoint: n.Name, Address: n.Address, Zone: n.Zone, Ready: true, Affinity: rand.Uint64(),
			Distance: p.distance(p.zone, n.Zone) + p.distance(n.Zone, zone),
			Down:     now.Before(p.unreached[peerServer{n.Address, server}]),
		}
		if state := p.states[n.Address]; state != nil {
			c.Running, c.BreakerOpen = state.inFlight, !state.breaker.Allows(now)
		}
		candidates = append(candidates, c)
	}
	routing.Exclude(candidates, excluded)
	scheduler := routing.NewScheduler(routing.ConcurrencyScorer{}, routing.DistanceScorer{})
	decision := scheduler.Schedule(&routing.Request{ConcurrencyCost: attemptCost}, candidates)
	if decision.Index < 0 {
		return nil
	}
	chosen := candidates[decision.Index]
	state := p.states[chosen.Address]
	if state == nil {
		state = &peerState{}
		p.states[chosen.Address] = state
	}
	state.inFlight++
	state.usedAt = now
	return &use{
		peers: p, node: fleet.Node{Name: chosen.Endpoint, Address: chosen.Address, Zone: chosen.Zone}, server: server,
		probe: state.breaker.Sent(now),
	}
}

// sample returns all nodes, or limit of them at random if there are more.
func sample(nodes []fleet.Node, limit int) []fleet.Node {
	if len(nodes) <= limit {
		return nodes
	}
	nodes = slices.Clone(nodes)
	for i := range limit {
		j := i + rand.IntN(len(nodes)-i)
		nodes[i], nodes[j] = nodes[j], nodes[i]
	}
	return nodes[:limit]
}

// expire forgets nodes that have not been used for some time.
func (p *Peers) expire(now time.Time) {
	for address, state := range p.states {
		if state.inFlight == 0 && now.Sub(state.usedAt) > peerRetention {
			delete(p.states, address)
		}
	}
	if len(p.unreached) >= maxUnreached {
		clear(p.unreached)
	}
}

// change applies f to the state of the node while the attempt is in flight.
func (u *use) change(f func(state *peerState)) {
	u.peers.mutex.Lock()
	defer u.peers.mutex.Unlock()
	if state := u.peers.states[u.node.Address]; state != nil {
		f(state)
	}
}

// answered records that the node has passed on a response.
func (u *use) answered() { u.change(func(s *peerState) { s.breaker.Succeeded() }) }

// failed records that the node does not forward attempts for now.
func (u *use) failed(now time.Time) {
	u.change(func(s *peerState) {
		if u.probe {
			s.breaker.Failed(peerBreaker, now)
			return
		}
		s.breaker.FailedOutsideProbe(peerBreaker, now)
	})
}

// unreached records that the node does not reach the server.
func (u *use) unreached(now time.Time) {
	u.change(func(s *peerState) {
		s.breaker.Succeeded()
		u.peers.unreached[peerServer{u.node.Address, u.server}] = now.Add(unreachedTTL)
	})
}

// end ends the attempt. Further calls have no effect.
func (u *use) end() {
	u.once.Do(func() {
		u.change(func(s *peerState) {
			s.inFlight--
			if u.probe {
				s.breaker.ProbeAbandoned()
			}
		})
	})
}

// available reports whether any node may be asked to forward an attempt now.
func (p *Peers) available(now time.Time) bool {
	nodes := p.nodes()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, n := range nodes {
		if state := p.states[n.Address]; state == nil || state.breaker.Allows(now) {
			return true
		}
	}
	return false
}
