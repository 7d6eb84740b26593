// Package capacity estimates how fast the servers of a service are: the rate at which each
// processes prompts, how long a request occupies a slot, and the base time to the first token.
//
// A node measures all of its attempts, and nodes exchange their estimates of the prefill rate as
// votes. All estimates are medians, so that neither a wrong sample nor a faulty node moves them.
package capacity

import (
	"sync"
	"time"
)

// decodeShare is the fraction of a server's time that the decoding of one running sequence takes
// from the prefill of others.
const decodeShare = 0.004

// Slowdown returns the factor by which running sequences slow down prefill.
func Slowdown(running int) float64 { return 1 + decodeShare*float64(running) }

// Measurement is the time to the first event of one attempt. Server is the backend.ServerKey of
// the incarnation.
type Measurement struct {
	Service string
	Server  uint64
	// Tokens is the number of prompt tokens that the server had to process before the first event:
	// those known to be queued when the attempt was sent, and the attempt's own.
	Tokens int
	// Queued is the part of Tokens that was queued.
	Queued  int
	Elapsed time.Duration
	// Running is the number of sequences known to run on the server.
	Running int
}

// Estimate is what is known of a server.
type Estimate struct {
	// PrefillTokensPerSecond is 0 unless Known is set.
	PrefillTokensPerSecond float64
	// SlotSeconds is the time for which a request occupies a slot, and BaseSeconds the time to the
	// first token that does not depend on the length of the prompt; 0 if they are not known.
	SlotSeconds float64
	BaseSeconds float64
	// Known is set once the prefill rate of the service is known from samples or votes.
	Known bool
}

// maxServices bounds the services for which estimates are kept.
const maxServices = 64

// Estimator holds the estimates of all services. It is safe for concurrent use.
type Estimator struct {
	mutex    sync.Mutex
	services map[string]*service
	// peers holds the votes of other nodes, by server, and reportedAt when they were last set.
	peers      map[uint64]*peerVotes
	reportedAt time.Time
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{services: map[string]*service{}, peers: map[uint64]*peerVotes{}}
}

// Observe learns from one attempt.
func (e *Estimator) Observe(m Measurement, now time.Time) {
	if m.Queued < 0 || m.Tokens < m.Queued || m.Elapsed <= 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.service(m.Service, now).observe(m, now)
}

// ObserveSlot learns for how long a request occupied a slot.
func (e *Estimator) ObserveSlot(service string, server uint64, occupied time.Duration, now time.Time) {
	if occupied <= 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.service(service, now).observeSlot(server, occupied.Seconds(), now)
}

// Vote returns this node's vote on the prefill rate of a server; 0 if it has not measured the
// server.
func (e *Estimator) Vote(server uint64, now time.Time) Votes {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, service := range e.services {
		if s := service.servers[server]; s != nil && s.rates.weight(now) >= minVoteWeight {
			return VoteFor(rateScale.value(s.rates.median(now, 0, 0)))
		}
	}
	return 0
}

// SetPeerVotes adds a report of the votes of all other nodes.
func (e *Estimator) SetPeerVotes(votes func(yield func(server uint64, v Votes) bool), now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	interval := min(now.Sub(e.reportedAt), maxReportInterval)
	e.reportedAt = now
	for server, p := range e.peers {
		if now.Sub(p.reported) > voteTTL {
			delete(e.peers, server)
		}
	}
	for server, v := range votes {
		p := e.peers[server]
		switch {
		case v == 0:
			continue
		case p == nil && len(e.peers) >= maxPeerServers:
			continue
		case p == nil:
			p = &peerVotes{}
			e.peers[server] = p
		}
		p.add(v, interval, now)
	}
}

// Estimate returns what is known of a server of a service.
func (e *Estimator) Estimate(service string, server uint64, now time.Time) Estimate {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := e.service(service, now)
	found := s.use(server, now)
	s.refreshIfDue(e.peers, now)
	return s.estimate(found)
}

// Typical returns what is known of a service: the estimate of a server without samples or votes.
func (e *Estimator) Typical(service string, now time.Time) Estimate {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := e.service(service, now)
	s.refreshIfDue(e.peers, now)
	return s.typical()
}

// service returns the state of a service, and adds it if it is new.
func (e *Estimator) service(name string, now time.Time) *service {
	s := e.services[name]
	if s == nil {
		if len(e.services) >= maxServices {
			e.removeLeastUsed()
		}
		s = &service{servers: map[uint64]*server{}}
		e.services[name] = s
	}
	s.usedAt = now
	return s
}

// removeLeastUsed removes the service that has not been used for the longest time.
func (e *Estimator) removeLeastUsed() {
	oldest := ""
	for name, s := range e.services {
		if oldest == "" || s.usedAt.Before(e.services[oldest].usedAt) {
			oldest = name
		}
	}
	delete(e.services, oldest)
}
