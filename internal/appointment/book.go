// Package appointment records scheduled retries: the times that refusals promised to callers
// through Retry-After, and the returns that redeemed them. It uses no clock and no network.
package appointment

import (
	"sync"
	"time"
)

const (
	// expiry is the time after which a promise that was due expires.
	expiry = time.Second
	// earlyTolerance is how much before its time a return is still one.
	earlyTolerance = 50 * time.Millisecond
	// maxPromises bounds the promises of this node and maxSubjects the subjects with any state.
	maxPromises = 4096
	maxSubjects = 1024
	// sweepInterval is the least time between two searches for expired entries of a subject.
	sweepInterval = 100 * time.Millisecond
	// peersExpiry is how long the report of peers counts unless it is replaced.
	peersExpiry = time.Second
)

// Row is what one or more nodes know of a subject's appointments, in the subject's unit.
type Row struct {
	Subject uint64
	// Promised is the amount promised and not expired, and Redeemed what has been redeemed of it at
	// other nodes than those that promised it.
	Promised float64
	Redeemed float64
	// Due is the part of Promised that is due by the time at which other nodes learn of it.
	Due float64
}

// Book holds the appointments that this node gave and redeemed, and those that peers report. It is
// safe for concurrent use.
type Book struct {
	propagation time.Duration

	mutex    sync.Mutex
	subjects map[uint64]*subject
	promises int
	counts   Counts
	// peersAt is when peers last reported.
	peersAt time.Time
}

// Counts are totals since the start of the node.
type Counts struct {
	Given, Kept, Missed int
}

// subject is the state of a tenant or service.
type subject struct {
	promises map[uint64]promise
	// redeemed holds the returns that other nodes refused; each counts until expiry has passed.
	redeemed []redemption
	peers    Row
	// promised and returned are the sums of promises and redeemed.
	promised float64
	returned float64
	// sweptAt is when expired entries were last removed.
	sweptAt time.Time
}

type promise struct {
	amount float64
	due    time.Time
}

type redemption struct {
	amount float64
	at     time.Time
}

// New returns an empty book. The argument propagation is the time after which peers know of a
// promise.
func New(propagation time.Duration) *Book {
	return &Book{propagation: propagation, subjects: map[uint64]*subject{}}
}

// Propagation returns the time after which peers know of a promise.
func (b *Book) Propagation() time.Duration { return b.propagation }

// Promise records that a caller was told to return at a time, with a request of an amount. It
// reports whether there was room for the record; otherwise the return will not be recognised.
func (b *Book) Promise(subject, caller uint64, amount float64, due, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.promises >= maxPromises {
		b.expireAll(now)
	}
	s := b.subject(subject)
	if s == nil || b.promises >= maxPromises {
		return false
	}
	if earlier, found := s.promises[caller]; found {
		s.promised -= earlier.amount
		b.promises--
	}
	s.promises[caller] = promise{amount: amount, due: due}
	s.promised += amount
	b.promises++
	b.counts.Given++
	return true
}

// Redeem reports whether a request is a scheduled retry, and consumes the promise. A caller that
// this node refused is recognised exactly, but not before its time. A caller that another node
// refused is recognised only by having less time than usual (shortened), and as long as peers have
// promised more that is due than has been redeemed.
func (b *Book) Redeem(subject, caller uint64, amount float64, shortened bool, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.subjects[subject]
	if s == nil {
		return false
	}
	b.expire(s, now)
	if own, found := s.promises[caller]; found {
		if now.Before(own.due.Add(-earlyTolerance)) || now.After(own.due.Add(expiry)) || amount > own.amount {
			return false
		}
		b.remove(s, caller, own)
		b.counts.Kept++
		return true
	}
	if !shortened || s.returned+s.peers.Redeemed+amount > s.peers.Due {
		return false
	}
	s.redeemed = append(s.redeemed, redemption{amount: amount, at: now})
	s.returned += amount
	b.counts.Kept++
	return true
}

// Promised reports whether this node has promised a caller a time that has not expired.
func (b *Book) Promised(subject, caller uint64, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.subjects[subject]
	if s == nil {
		return false
	}
	own, found := s.promises[caller]
	return found && !now.After(own.due.Add(expiry))
}

// Outstanding returns the amount that the fleet has promised and not redeemed.
func (b *Book) Outstanding(subject uint64, now time.Time) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.subjects[subject]
	if s == nil {
		return 0
	}
	b.expire(s, now)
	return max(0, s.promised+s.peers.Promised-s.returned-s.peers.Redeemed)
}

// OwnOutstanding returns the amount that this node has promised and that has not been redeemed here.
func (b *Book) OwnOutstanding(subject uint64, now time.Time) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s := b.subjects[subject]
	if s == nil {
		return 0
	}
	b.expire(s, now)
	return s.promised
}

// Counts returns the numbers of appointments given, kept and missed since the start.
func (b *Book) Counts() Counts {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.counts
}

// Rows returns what this node reports to its peers.
func (b *Book) Rows(now time.Time) []Row {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expireAll(now)
	var rows []Row
	for key, s := range b.subjects {
		row := Row{Subject: key, Promised: s.promised, Redeemed: s.returned}
		for _, p := range s.promises {
			if !p.due.After(now.Add(b.propagation)) {
				row.Due += p.amount
			}
		}
		if row.Promised > 0 || row.Redeemed > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// SetPeerRows replaces what all other nodes report.
func (b *Book) SetPeerRows(rows []Row, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expireAll(now)
	for _, s := range b.subjects {
		s.peers = Row{}
	}
	b.peersAt = now
	for _, row := range rows {
		if s := b.subject(row.Subject); s != nil {
			s.peers = row
		}
	}
}

// subject returns the state of a subject, or nil if there is no room for it.
func (b *Book) subject(key uint64) *subject {
	s := b.subjects[key]
	if s == nil && len(b.subjects) < maxSubjects {
		s = &subject{promises: map[uint64]promise{}}
		b.subjects[key] = s
	}
	return s
}

// expireAll removes what has expired, and subjects without state.
func (b *Book) expireAll(now time.Time) {
	for key, s := range b.subjects {
		b.expire(s, now)
		if len(s.promises) == 0 && len(s.redeemed) == 0 && s.peers == (Row{}) {
			delete(b.subjects, key)
		}
	}
}

func (b *Book) expire(s *subject, now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	if now.Sub(b.peersAt) > peersExpiry {
		s.peers = Row{}
	}
	for caller, p := range s.promises {
		if now.After(p.due.Add(expiry)) {
			b.remove(s, caller, p)
			b.counts.Missed++
		}
	}
	first := 0
	for first < len(s.redeemed) && now.Sub(s.redeemed[first].at) > expiry {
		s.returned -= s.redeemed[first].amount
		first++
	}
	if s.redeemed = s.redeemed[first:]; len(s.redeemed) == 0 {
		s.redeemed, s.returned = nil, 0
	}
}

func (b *Book) remove(s *subject, caller uint64, p promise) {
	delete(s.promises, caller)
	s.promised = max(0, s.promised-p.amount)
	b.promises--
}
