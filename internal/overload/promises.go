package overload

import (
	"sync"
	"time"
)

// Promises records the returns that were promised to refused callers, fleet-wide. The amounts are
// prompt tokens; a subject is a service.
type Promises interface {
	// Promise records a promised return.
	Promise(subject, caller uint64, amount float64, due, now time.Time)
	// Redeem reports whether a request is a promised return, and consumes the promise.
	Redeem(subject, caller uint64, amount float64, shortened bool, now time.Time) bool
	// Outstanding returns the amount that all nodes have promised and not redeemed.
	Outstanding(subject uint64, now time.Time) float64
	// Totals returns the amount that this node has promised and that has not expired, and the
	// part of it that has been redeemed.
	Totals(subject uint64, now time.Time) (promised, redeemed float64)
	// SetPeers records the totals of all other nodes.
	SetPeers(subject uint64, promised, redeemed float64, now time.Time)
}

const (
	// promiseGrace is the time after its due time for which a promise holds, and earlyReturn how
	// long before it the caller may return: clocks and connections differ by some milliseconds.
	promiseGrace = time.Second
	earlyReturn  = 50 * time.Millisecond
	// maxPromises bounds the promises that a node keeps. At the longest Retry-After of a few
	// seconds it is reached at more than a thousand refusals per second.
	maxPromises = 8192
)

// promiseKey identifies a promise.
type promiseKey struct{ subject, caller uint64 }

type promise struct {
	amount   float64
	due      time.Time
	redeemed bool
}

// totals are amounts of one subject.
type totals struct {
	promised, redeemed float64
	at                 time.Time
}

// LocalPromises keeps the promises of one node, and recognizes only the callers that this node
// refused. It is safe for concurrent use.
type LocalPromises struct {
	mutex    sync.Mutex
	promises map[promiseKey]promise
	// expiring lists the promises by the time at which they expire, in steps of expiryStep;
	// expired numbers the last step that was removed.
	expiring map[int64][]promiseKey
	expired  int64
	own      map[uint64]totals
	peers    map[uint64]totals
}

// NewLocalPromises returns an instance without promises.
func NewLocalPromises() *LocalPromises {
	return &LocalPromises{promises: map[promiseKey]promise{}, expiring: map[int64][]promiseKey{}, own: map[uint64]totals{}, peers: map[uint64]totals{}}
}

// Promise implements Promises. Beyond maxPromises, new promises are not recorded, so that the
// return is treated as a new request.
func (l *LocalPromises) Promise(subject, caller uint64, amount float64, due, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	key := promiseKey{subject, caller}
	if previous, found := l.promises[key]; found {
		l.remove(key, previous)
	}
	if len(l.promises) >= maxPromises {
		return
	}
	l.promises[key] = promise{amount: amount, due: due}
	step := expiryOf(due)
	l.expiring[step] = append(l.expiring[step], key)
	sum := l.own[subject]
	sum.promised += amount
	l.own[subject] = sum
}

// Redeem implements Promises.
func (l *LocalPromises) Redeem(subject, caller uint64, _ float64, _ bool, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := promiseKey{subject, caller}
	p, found := l.promises[key]
	if !found || p.redeemed || now.Before(p.due.Add(-earlyReturn)) || now.After(p.due.Add(promiseGrace)) {
		return false
	}
	p.redeemed = true
	l.promises[key] = p
	sum := l.own[subject]
	sum.redeemed += p.amount
	l.own[subject] = sum
	return true
}

// Outstanding implements Promises.
func (l *LocalPromises) Outstanding(subject uint64, now time.Time) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	own, peers := l.own[subject], l.peers[subject]
	outstanding := max(0, own.promised-own.redeemed)
	if now.Sub(peers.at) <= peerTTL {
		outstanding += max(0, peers.promised-peers.redeemed)
	}
	return outstanding
}

// Totals implements Promises.
func (l *LocalPromises) Totals(subject uint64, now time.Time) (promised, redeemed float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	return l.own[subject].promised, l.own[subject].redeemed
}

// SetPeers implements Promises.
func (l *LocalPromises) SetPeers(subject uint64, promised, redeemed float64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if promised == 0 && redeemed == 0 {
		delete(l.peers, subject)
		return
	}
	l.peers[subject] = totals{promised: promised, redeemed: redeemed, at: now}
}

// expiryStep is the precision with which promises expire.
const expiryStep = 50 * time.Millisecond

// expiryOf returns the step at whose end a promise that is due at a time can no longer be redeemed.
func expiryOf(due time.Time) int64 { return due.Add(promiseGrace).UnixNano() / int64(expiryStep) }

// expire removes the promises that can no longer be redeemed. Each promise is visited once.
func (l *LocalPromises) expire(now time.Time) {
	last := now.UnixNano()/int64(expiryStep) - 1
	if last <= l.expired {
		return
	}
	if last-l.expired > int64(len(l.expiring)) {
		for step := range l.expiring {
			if step <= last {
				l.expireStep(step)
			}
		}
	} else {
		for step := l.expired + 1; step <= last; step++ {
			l.expireStep(step)
		}
	}
	l.expired = last
}

func (l *LocalPromises) expireStep(step int64) {
	for _, key := range l.expiring[step] {
		if p, found := l.promises[key]; found && expiryOf(p.due) == step {
			l.remove(key, p)
		}
	}
	delete(l.expiring, step)
}

func (l *LocalPromises) remove(key promiseKey, p promise) {
	delete(l.promises, key)
	sum := l.own[key.subject]
	sum.promised -= p.amount
	if p.redeemed {
		sum.redeemed -= p.amount
	}
	if sum.promised <= 0 {
		delete(l.own, key.subject)
		return
	}
	l.own[key.subject] = sum
}
