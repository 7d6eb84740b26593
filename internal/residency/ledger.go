// Package residency tracks which servers and stores hold cached pieces of prompts. Each of these
// holders is watched by one node, which forwards the changes to the others; in addition each
// node assumes that holders have what it recently sent them. Both are hints: a server that lacks
// a piece computes it.
package residency

import (
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Key identifies a piece of a prompt within its cache scope, model and version. It is short,
// since nodes exchange many of them; a collision costs one wrong hint.
type Key uint32

// NewKey returns the key of the piece with the given id and salt.
func NewKey(salt, id string) Key { return Key(prefix.KeyOf(salt + id)) }

// Piece is one piece of a prompt, in prompt order.
type Piece struct {
	Key    Key
	Tokens int
}

const (
	// retainedFraction is the fraction of a holder's capacity that may be written before a piece
	// counts as evicted. Holders evict the least recently used pieces first.
	sureShare = 0.6
	// maxAssumedAge is how long an unused piece is assumed to be cached.
	longestLife = time.Minute
	// minAssumedAge is the minimum time for which a piece that this node sent to a watched
	// holder is assumed to be cached: by then the holder has reported it, if it has it.
	untoldLife = time.Second
	// minSweepSize is the number of pieces of one holder above which old ones are removed.
	sweepAbove = 4096
)

// sendRecord records when a piece was last sent: the holder's count of written tokens, the time
// from which the piece is available, and the time of its last use.
type mark struct {
	written int64
	from    time.Time
	used    time.Time
}

// holderState is what is known of one incarnation of a holder.
type holding struct {
	incarnation string
	// watched is set if the holder's own reports are available, in cached.
	followed bool
	has      map[Key]bool
	// peer is the node that reports on the holder, or "" if this node watches it itself.
	teller string
	// down is set if the holder did not answer the last query.
	down bool
	// written counts the tokens written by this node's requests.
	written  int64
	capacity int64
	sent     map[Key]mark
	sweepAt  int
}

// Ledger is one node's record of cached pieces. It is safe for concurrent use.
type Ledger struct {
	mutex    sync.Mutex
	holdings map[string]*holding
	nodes    int64
	// assumedAge is how long a piece that this node sent to a watched holder is assumed to be
	// cached.
	untold time.Duration
	news   news
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{holdings: map[string]*holding{}, nodes: 1, untold: untoldLife, news: news{resting: true}}
}

// Resize sets the number of nodes; each is assumed to write about as much as this one.
func (l *Ledger) Resize(nodes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = int64(max(1, nodes))
}

// SetReportDelay sets the delay with which the reports of holders reach this node.
func (l *Ledger) Lags(by time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.untold = max(untoldLife, by)
}

// CachedTokens returns the number of leading tokens of the pieces that the holder has. Pieces
// sent to another incarnation of the holder do not count.
func (l *Ledger) Held(holder, incarnation string, pieces []Piece, now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holdings[holder]
	if known == nil || known.down {
		return 0
	}
	tokens := 0
	for _, piece := range pieces {
		told := known.followed && known.has[piece.Key]
		if !told && (known.incarnation != incarnation || !l.probablyHas(known, piece.Key, now)) {
			break
		}
		tokens += piece.Tokens
	}
	return tokens
}

// assumedPresent reports whether the holder probably has a piece that this node sent to it.
func (l *Ledger) probablyHas(known *holding, key Key, now time.Time) bool {
	mark, found := known.sent[key]
	if !found || now.Before(mark.from) {
		return false
	}
	if known.followed {
		return now.Sub(mark.used) < l.untold
	}
	return !l.gone(known, mark, now)
}

// assumedEvicted reports whether a piece has probably been evicted.
func (l *Ledger) gone(known *holding, mark mark, now time.Time) bool {
	if now.Sub(mark.from) > longestLife {
		return true
	}
	since := (known.written - mark.written) * l.nodes
	return known.capacity > 0 && float64(since) > sureShare*float64(known.capacity)
}

// RecordSent records that an incarnation of the holder has the pieces from availableAt on, the
// number of tokens written for them, and the holder's capacity in tokens.
func (l *Ledger) Note(holder, incarnation string, pieces []Piece, written, capacity int, from time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holding(holder)
	if known.incarnation != incarnation {
		known.incarnation, known.written, known.sent = incarnation, 0, map[Key]mark{}
	}
	known.written += int64(written)
	known.capacity = int64(capacity)
	for _, piece := range pieces {
		next := mark{written: known.written, from: from, used: from}
		if before, found := known.sent[piece.Key]; found && before.from.Before(from) && !l.gone(known, before, from) {
			next.from = before.from
			if from.Sub(before.from) > longestLife/2 {
				next.from = from
			}
		}
		known.sent[piece.Key] = next
	}
	l.sweep(known, from)
}

// sweep removes old pieces if there are many.
func (l *Ledger) sweep(known *holding, now time.Time) {
	if len(known.sent) < known.sweepAt {
		return
	}
	for key, mark := range known.sent {
		if l.gone(known, mark, now) {
			delete(known.sent, key)
		}
	}
	known.sweepAt = max(sweepAbove, 2*len(known.sent))
}

func (l *Ledger) holding(holder string) *holding {
	known := l.holdings[holder]
	if known == nil {
		known = &holding{sent: map[Key]mark{}, sweepAt: sweepAbove}
		l.holdings[holder] = known
	}
	return known
}

// Replace sets the pieces that a holder reports to have. From then on its reports count, and a
// piece that this node sends to it is assumed to be cached only until the holder must have
// reported it.
func (l *Ledger) Replace(holder string, keys []Key) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.replace(holder, "", keys)
}

func (l *Ledger) replace(holder, teller string, keys []Key) {
	known := l.holding(holder)
	known.followed, known.down, known.teller = true, false, teller
	known.has = make(map[Key]bool, len(keys))
	l.news.add(entry{holder: holder, kind: replaced, teller: teller})
	for _, key := range keys {
		known.has[key] = true
		l.news.add(entry{holder: holder, kind: present, key: key, teller: teller})
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
	known := l.holding(holder)
	if !known.followed || known.teller != "" {
		return
	}
	for _, change := range changes {
		if change.Present {
			l.arrive(holder, known, change.Key)
		} else {
			l.leave(holder, known, change.Key)
		}
	}
}

// apply applies changes reported by a peer.
func (l *Ledger) apply(holder string, known *holding, has, lacks []Key) {
	for _, key := range has {
		l.arrive(holder, known, key)
	}
	for _, key := range lacks {
		l.leave(holder, known, key)
	}
}

// markPresent records that a holder has a piece.
func (l *Ledger) arrive(holder string, known *holding, key Key) {
	known.has[key] = true
	l.news.add(entry{holder: holder, kind: present, key: key, teller: known.teller})
}

// markAbsent records that a holder no longer has a piece.
func (l *Ledger) leave(holder string, known *holding, key Key) {
	delete(known.has, key)
	l.news.add(entry{holder: holder, kind: absent, key: key, teller: known.teller})
}

// Drop records that this node can no longer watch the holder, and whether the holder is down.
// Reports of a peer on it are kept.
func (l *Ledger) Lose(holder string, down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.holdings[holder]; known == nil || known.teller == "" {
		l.lose(holder, "", down)
	}
}

func (l *Ledger) lose(holder, teller string, down bool) {
	l.holdings[holder] = &holding{down: down, teller: teller, sent: map[Key]mark{}, sweepAt: sweepAbove}
	kind := lost
	if down {
		kind = isDown
	}
	l.news.add(entry{holder: holder, kind: kind, teller: teller})
}

// Down reports whether the holder did not answer the last query.
func (l *Ledger) Down(holder string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holdings[holder]
	return known != nil && known.down
}
