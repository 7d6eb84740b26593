package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

const (
	// passLease is how long a claim of a pass excludes other nodes. It exceeds the time to a first token and
	// maxPassHold.
	passLease = 6 * time.Second
	// maxPassHold bounds the time for which a pass is held after a crash.
	maxPassHold = 3 * PropagationTime
	// passMargin is left before the end of the lease, for the calls that a node is behind others.
	passMargin = 500 * time.Millisecond
	// storelessDelay is how long claims must have failed until a node takes a pass without the store. Nodes that are cut off
	// from it for a moment, one after the other, would send one request each.
	storelessDelay = PropagationTime
	// unusedPassTime is how long a node keeps a pass that no request takes: the one that it was claimed for may be gone.
	unusedPassTime = 500 * time.Millisecond
	// minClaimInterval is the minimum time between two claims of a pass by one node, and claimIntervalPerNode what each
	// node of the fleet adds to it, so that all of them together call the store no more than 40 times a second.
	minClaimInterval     = 150 * time.Millisecond
	claimIntervalPerNode = 25 * time.Millisecond
	// passValue is the value of the key of a claimed pass.
	passValue = "pass"
)

// PassStore is the subset of the shared store that Probation uses.
type PassStore interface {
	Grant(ctx context.Context, life time.Duration) (coordination.Lease, error)
	Create(ctx context.Context, key string, value []byte, lease int64) (at coordination.Position, created bool, err error)
	Revoke(ctx context.Context, lease int64) error
}

// Probation limits the requests with a part on probation to one of the whole fleet at a time, by claims in the shared
// store. If a node cannot ask it for storelessDelay, it is one of that node.
type Probation struct {
	Store PassStore
	// Prefix is the key prefix; the fingerprint follows.
	Prefix string
	// Now returns the current time.
	Now func() time.Time
	// Nodes returns the number of nodes of the fleet.
	Nodes func() int
	// Claimed, if set, is called with the result of each claim. It must not block.
	Claimed func(part Fingerprint, claimed bool, err error)

	mutex sync.Mutex
	parts map[Fingerprint]*passState
}

// passState is what a node knows of the pass for one part.
type passState struct {
	// claiming is set during a call, and nextClaim is when the next one may begin.
	claiming  bool
	nextClaim time.Time
	// lease is the lease of the node's claims, until leaseUntil; 0 if the store could not be asked.
	lease      int64
	leaseUntil time.Time
	// claimed is set while the node has the pass, and holder is the request that uses it.
	claimed bool
	holder  *Pass
	// failingSince is when the first of the latest claims failed; zero if the last one did not.
	failingSince time.Time
	// used counts the passes that were taken.
	used int
}

// Pass is the permission to send a request with a part on probation.
type Pass struct {
	probation *Probation
	part      Fingerprint
}

// Part returns the part of the pass; 0 for nil.
func (p *Pass) Part() Fingerprint {
	if p == nil {
		return 0
	}
	return p.part
}

// Available reports whether Take may return a pass for a part, or claim one.
func (p *Probation) Available(part Fingerprint) bool {
	now := p.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.state(part)
	if s.hasClaim(now) {
		return s.holder == nil
	}
	return !s.claiming && !now.Before(s.nextClaim)
}

// hasClaim reports whether the node has the pass.
func (s *passState) hasClaim(now time.Time) bool { return s.claimed && now.Before(s.leaseUntil) }

// Take returns the pass for a part, or nil if another request has it or the store has not answered yet. It does not
// block.
func (p *Probation) Take(part Fingerprint) *Pass {
	now := p.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.state(part)
	switch {
	case s.hasClaim(now):
		if s.holder != nil {
			return nil
		}
		s.holder = &Pass{probation: p, part: part}
		s.used++
		return s.holder
	case s.claiming || now.Before(s.nextClaim):
		return nil
	}
	s.claimed, s.holder, s.claiming = false, nil, true
	s.nextClaim = now.Add(p.claimInterval())
	lease, leaseUntil := s.lease, s.leaseUntil
	if !now.Before(leaseUntil) {
		lease = 0
	}
	go p.claim(part, lease, leaseUntil)
	return nil
}

// state returns the state of a part. The caller must hold the mutex.
func (p *Probation) state(part Fingerprint) *passState {
	if s := p.parts[part]; s != nil {
		return s
	}
	if p.parts == nil || len(p.parts) >= maxClaims {
		p.parts = map[Fingerprint]*passState{}
	}
	// Nodes learn of crashes at the same time, and must not claim together.
	spread := p.claimInterval() - minClaimInterval
	s := &passState{nextClaim: p.Now().Add(time.Duration(rand.Float64() * float64(spread)))}
	p.parts[part] = s
	return s
}

// claimInterval returns the minimum time between two claims of a pass by this node.
func (p *Probation) claimInterval() time.Duration {
	return max(minClaimInterval, time.Duration(p.Nodes())*claimIntervalPerNode)
}

// claim claims the pass for a part, with a lease that the node has or a new one if that is 0.
func (p *Probation) claim(part Fingerprint, lease int64, leaseUntil time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), maxClaimWait)
	defer cancel()
	startedAt := p.Now()
	var err error
	if lease == 0 {
		var granted coordination.Lease
		granted, err = p.Store.Grant(ctx, passLease)
		lease, leaseUntil = granted.ID, startedAt.Add(passLease-passMargin)
	}
	created := false
	if err == nil {
		_, created, err = p.Store.Create(ctx, p.Prefix+part.String(), []byte(passValue), lease)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	s := p.state(part)
	switch {
	case err == nil:
		s.failingSince = time.Time{}
	case s.failingSince.IsZero():
		s.failingSince = startedAt
		fallthrough
	default:
		lease, leaseUntil, created = 0, p.Now().Add(passLease), p.Now().Sub(s.failingSince) >= storelessDelay
	}
	if p.Claimed != nil {
		p.Claimed(part, created, err)
	}
	s.claiming, s.claimed, s.lease, s.leaseUntil = false, created, lease, leaseUntil
	if created {
		used := s.used
		time.AfterFunc(unusedPassTime, func() { p.releaseUnused(part, used) })
	}
}

// releaseUnused returns a pass that no request has taken since so many were.
func (p *Probation) releaseUnused(part Fingerprint, used int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if s := p.state(part); s.claimed && s.holder == nil && s.used == used {
		p.release(s)
	}
}

// CrashHold returns how long a pass is held after a crash under its request, if so many with the part have crashed servers on
// probation before: until all nodes count the crash, and longer each time that this has not decided.
func CrashHold(trials int) time.Duration {
	return min(time.Duration(1+trials)*PropagationTime, maxPassHold)
}

// Return returns the pass, so that another request may take it. Only the first call counts.
func (p *Pass) Return() { p.ReturnAfter(0) }

// ReturnAfter returns the pass after a delay. Only the first call counts.
func (p *Pass) ReturnAfter(delay time.Duration) {
	if p == nil {
		return
	}
	if delay > 0 {
		time.AfterFunc(delay, p.Return)
		return
	}
	p.probation.mutex.Lock()
	defer p.probation.mutex.Unlock()
	if s := p.probation.state(p.part); s.holder == p {
		p.probation.release(s)
	}
}

// release ends the node's claim. The caller must hold the mutex.
func (p *Probation) release(s *passState) {
	lease := s.lease
	s.claimed, s.holder, s.lease, s.leaseUntil = false, nil, 0, time.Time{}
	if lease == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		// A lease that is not revoked ends by itself.
		_ = p.Store.Revoke(ctx, lease)
	}()
}
