package quota

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/appointment"
)

const (
	// promisePropagation is the time after which peers know of a promise: reports of up to 400 ms
	// over two hops.
	promisePropagation = 800 * time.Millisecond
	// promisedFraction is the fraction of the rate left by more urgent ranks that is promised to
	// refused callers. The rest serves new callers, which are not late yet.
	promisedFraction = 0.25
	// remainingFraction is the fraction of the remaining time that a caller waits at most.
	remainingFraction = 1.0 / 3
	// promiseLife is the typical time from a promise to its return.
	promiseLife = 2 * time.Second
	// refusedTTL is how long a refused caller is remembered, and maxRefused bounds how many are.
	refusedTTL = 5 * time.Second
	maxRefused = 4096
)

// refusedCallers remembers callers that this node refused, so that each counts once in the demand.
type refusedCallers struct {
	until map[uint64]time.Time
	// lastAt is when a caller was last refused.
	lastAt time.Time
}

func (r *refusedCallers) add(caller uint64, now time.Time) {
	r.lastAt = now
	if r.until == nil || len(r.until) >= maxRefused {
		// Callers that return after this count twice, which bounds the memory.
		r.until = map[uint64]time.Time{}
	}
	r.until[caller] = now.Add(refusedTTL)
}

func (r *refusedCallers) contains(caller uint64, now time.Time) bool {
	until, found := r.until[caller]
	return found && now.Before(until)
}

// recent reports whether a refused caller may return now.
func (r *refusedCallers) recent(now time.Time) bool { return now.Sub(r.lastAt) < refusedTTL }

// appointment returns the time until a refused request will be admitted, up to maxRetryAfter, and
// whether its caller can follow it. The queue of promises of this node is served at its share of what more urgent ranks
// leave, so that nodes need not agree on each promise.
func (l *Limiter) appointment(b *tenantBucket, subject uint64, request Request, v visibility, now time.Time) (time.Duration, bool) {
	before, same := b.ranks.split(request.Rank, b.peers.Requested, now)
	left := promisedFraction * (b.limit.PerSecond*v.fraction() - before)
	if left <= 0 || same <= 0 {
		return maxRetryAfter, false
	}
	own := left * min(1, b.ranks.requested[request.Rank].estimate(now)/same)
	if own <= 0 {
		return maxRetryAfter, false
	}
	seconds := max(l.book.OwnOutstanding(subject, now)/own, l.book.Outstanding(subject, now)/left) + l.draw()*request.Cost/own
	wait := max(l.book.Propagation(), cappedSeconds(seconds))
	return min(wait, maxRetryAfter), request.canFollow(wait)
}

// canFollow reports whether a caller can wait for a time and still be answered.
func (r Request) canFollow(wait time.Duration) bool {
	return wait <= time.Duration(remainingFraction*float64(r.Remaining)) && r.Remaining-wait >= r.AnswerTime
}

// promiseRows returns the rows on this node's appointments.
func (l *Limiter) promiseRows(now time.Time) []Usage {
	var rows []Usage
	for _, row := range l.book.Rows(now) {
		rows = append(rows, Usage{Key: rowKey(row.Subject, tenantPromisedRow), Requested: row.Promised, Admitted: row.Redeemed})
		if row.Due > 0 {
			rows = append(rows, Usage{Key: rowKey(row.Subject, tenantDueRow), Requested: row.Due})
		}
	}
	return rows
}

// promisesOf returns what peers' rows say about appointments.
func promisesOf(rows []Usage) []appointment.Row {
	bySubject := map[uint64]appointment.Row{}
	for _, row := range rows {
		subject := rowSubject(row.Key)
		known := bySubject[subject]
		known.Subject = subject
		switch rowKind(row.Key) & kindMask {
		case tenantPromisedRow:
			known.Promised, known.Redeemed = row.Requested, row.Admitted
		case tenantDueRow:
			known.Due = row.Requested
		default:
			continue
		}
		if !validRow(row) {
			continue
		}
		bySubject[subject] = known
	}
	promises := make([]appointment.Row, 0, len(bySubject))
	for _, row := range bySubject {
		promises = append(promises, row)
	}
	return promises
}

// Appointments returns the numbers of appointments given, kept and missed since the start.
func (l *Limiter) Appointments() appointment.Counts { return l.book.Counts() }
