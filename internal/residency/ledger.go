// Package residency tracks which servers and KV cache stores hold cached pieces of prompts. Each
// of these holders is watched by one node, which forwards the changes to the others; in addition
// each node assumes that holders have what it recently sent them. Both are hints: a server that
// lacks a piece computes it.
package residency

import (
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Key identifies a piece of a prompt within its cache scope, model and version. It is short,
// since nodes exchange many of them; a collision costs one wrong hint.
type Key uint32

// NewKey returns the key of the piece with the given id. The salt stands for its cache scope,
// model and version.
func NewKey(salt, id string) Key { return Key(prefix.HashName(salt + id)) }

// Piece is one piece of a prompt, in prompt order.
type Piece struct {
	Key    Key
	Tokens int
}

const (
	// retainedFraction is the fraction of a holder's capacity that may be written before a piece
	// counts as evicted. Holders evict the least recently used pieces first.
	retainedFraction = 0.6
	// maxAssumedAge is how long an unused piece is assumed to be cached.
	maxAssumedAge = time.Minute
	// minAssumedAge is the minimum time for which a piece that this node sent to a watched
	// holder is assumed to be cached. By the end of it the holder has reported the piece, if it
	// has it.
	minAssumedAge = time.Second
	// minSweepSize is the number of pieces of one holder from which old ones are removed.
	minSweepSize = 4096
)

// sendRecord records when a piece was last sent: the holder's count of written tokens at that
// time, the time from which the piece is available, and the time of its last use.
type sendRecord struct {
	written     int64
	availableAt time.Time
	lastUsed    time.Time
}

// holderState is what is known of one incarnation of a holder.
type holderState struct {
	incarnation string
	// watched is set if the holder's own reports are available, in cached.
	watched bool
	cached  map[Key]bool
	// peer is the node that reports on the holder, or "" if this node watches it itself.
	peer string
	// down is set if the holder did not answer the last query.
	down bool
	// written counts the tokens written by this node's requests.
	written  int64
	capacity int64
	sent     map[Key]sendRecord
	sweepAt  int
}

// Ledger is one node's record of cached pieces. It is safe for concurrent use.
type Ledger struct {
	mutex   sync.Mutex
	holders map[string]*holderState
	nodes   int64
	// assumedAge is how long a piece that this node sent to a watched holder is assumed to be
	// cached.
	assumedAge time.Duration
	log        changeLog
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{holders: map[string]*holderState{}, nodes: 1, assumedAge: minAssumedAge, log: changeLog{idle: true}}
}

// Resize sets the number of nodes; each is assumed to write about as much as this one.
func (l *Ledger) Resize(nodes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = int64(max(1, nodes))
}

// SetReportDelay sets the delay with which the reports of holders reach this node.
func (l *Ledger) SetReportDelay(delay time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.assumedAge = max(minAssumedAge, delay)
}

// CachedTokens returns the number of leading tokens of the pieces that the holder has. Pieces
// sent to another incarnation of the holder do not count.
func (l *Ledger) CachedTokens(holder, incarnation string, pieces []Piece, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holders[holder]
	if known == nil || known.down {
		return 0
	}
	tokens := 0
	for _, piece := range pieces {
		reported := known.watched && known.cached[piece.Key]
		if !reported && (known.incarnation != incarnation || !l.assumedPresent(known, piece.Key, now)) {
			break
		}
		tokens += piece.Tokens
	}
	return tokens
}

// assumedPresent reports whether the holder probably has a piece that this node sent to it.
func (l *Ledger) assumedPresent(known *holderState, key Key, now time.Time) bool {
	sendRecord, found := known.sent[key]
	if !found || now.Before(sendRecord.availableAt) {
		return false
	}
	if known.watched {
		return now.Sub(sendRecord.lastUsed) < l.assumedAge
	}
	return !l.assumedEvicted(known, sendRecord, now)
}

// assumedEvicted reports whether a piece has probably been evicted.
func (l *Ledger) assumedEvicted(known *holderState, sendRecord sendRecord, now time.Time) bool {
	if now.Sub(sendRecord.availableAt) > maxAssumedAge {
		return true
	}
	since := (known.written - sendRecord.written) * l.nodes
	return known.capacity > 0 && float64(since) > retainedFraction*float64(known.capacity)
}

// RecordSent records that an incarnation of the holder has the pieces from availableAt on, the
// number of tokens written for them, and the holder's capacity in tokens.
func (l *Ledger) RecordSent(holder, incarnation string, pieces []Piece, written, capacity int, availableAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holderState(holder)
	if known.incarnation != incarnation {
		known.incarnation, known.written, known.sent = incarnation, 0, map[Key]sendRecord{}
	}
	known.written += int64(written)
	known.capacity = int64(capacity)
	for _, piece := range pieces {
		next := sendRecord{written: known.written, availableAt: availableAt, lastUsed: availableAt}
		if before, found := known.sent[piece.Key]; found && before.availableAt.Before(availableAt) && !l.assumedEvicted(known, before, availableAt) {
			next.availableAt = before.availableAt
			if availableAt.Sub(before.availableAt) > maxAssumedAge/2 {
				next.availableAt = availableAt
			}
		}
		known.sent[piece.Key] = next
	}
	l.sweep(known, availableAt)
}

// sweep removes old pieces if there are many.
func (l *Ledger) sweep(known *holderState, now time.Time) {
	if len(known.sent) < known.sweepAt {
		return
	}
	for key, sendRecord := range known.sent {
		if l.assumedEvicted(known, sendRecord, now) {
			delete(known.sent, key)
		}
	}
	known.sweepAt = max(minSweepSize, 2*len(known.sent))
}

func (l *Ledger) holderState(holder string) *holderState {
	known := l.holders[holder]
	if known == nil {
		known = &holderState{sent: map[Key]sendRecord{}, sweepAt: minSweepSize}
		l.holders[holder] = known
	}
	return known
}

// Replace sets the pieces that a holder reports to have. From then on the holder's reports count.
// A piece that this node sends to it is assumed to be cached only for as long as its report may
// take.
func (l *Ledger) Replace(holder string, keys []Key) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.replace(holder, "", keys)
}

func (l *Ledger) replace(holder, peer string, keys []Key) {
	known := l.holderState(holder)
	known.watched, known.down, known.peer = true, false, peer
	known.cached = make(map[Key]bool, len(keys))
	l.log.add(logEntry{holder: holder, kind: replaced, peer: peer})
	for _, key := range keys {
		known.cached[key] = true
		l.log.add(logEntry{holder: holder, kind: present, key: key, peer: peer})
	}
}

// Change is one change of the pieces that a watched holder has.
type Change struct {
	Key     Key
	Present bool
}

// Apply applies changes reported by the holder.
func (l *Ledger) Apply(holder string, changes []Change) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holderState(holder)
	if !known.watched || known.peer != "" {
		return
	}
	for _, change := range changes {
		if change.Present {
			l.markPresent(holder, known, change.Key)
		} else {
			l.markAbsent(holder, known, change.Key)
		}
	}
}

// applyFromPeer applies changes reported by a peer.
func (l *Ledger) apply(holder string, known *holderState, cached, evicted []Key) {
	for _, key := range cached {
		l.markPresent(holder, known, key)
	}
	for _, key := range evicted {
		l.markAbsent(holder, known, key)
	}
}

// markPresent records that a holder has a piece.
func (l *Ledger) markPresent(holder string, known *holderState, key Key) {
	known.cached[key] = true
	l.log.add(logEntry{holder: holder, kind: present, key: key, peer: known.peer})
}

// markAbsent records that a holder no longer has a piece.
func (l *Ledger) markAbsent(holder string, known *holderState, key Key) {
	delete(known.cached, key)
	l.log.add(logEntry{holder: holder, kind: absent, key: key, peer: known.peer})
}

// Drop records that this node can no longer watch the holder, and whether the holder is down.
// Reports of a peer on it are kept.
func (l *Ledger) Drop(holder string, down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.holders[holder]; known == nil || known.peer == "" {
		l.drop(holder, "", down)
	}
}

func (l *Ledger) drop(holder, peer string, down bool) {
	l.holders[holder] = &holderState{down: down, peer: peer, sent: map[Key]sendRecord{}, sweepAt: minSweepSize}
	kind := unknown
	if down {
		kind = unreachable
	}
	l.log.add(logEntry{holder: holder, kind: kind, peer: peer})
}

// Down reports whether the holder did not answer the last query.
func (l *Ledger) Down(holder string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holders[holder]
	return known != nil && known.down
}
