// Package residency remembers where cached parts of prompts lie: by the word of the
// holders themselves, of which each is asked by one node that tells the others, and
// by what this node itself sent. Both are hints: a server that lacks a part reads it.
package residency

import (
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Key names one part of a prompt together with all that keeps it apart: wall,
// model and version. It is short, since nodes tell each other of many; two parts
// with the same key cost one wrong hint.
type Key uint32

// NewKey names the part with an id that is kept under a salt.
func NewKey(salt, id string) Key { return Key(prefix.KeyOf(salt + id)) }

// Piece is one part in the order of its prompt.
type Piece struct {
	Key    Key
	Tokens int
}

const (
	// sureShare is the share of a holder's memory that may be written anew before a
	// part counts as given up. Parts unused longest give way first.
	sureShare = 0.6
	// longestLife is how long a part is remembered without being used.
	longestLife = time.Minute
	// untoldLife is the least time for which what this node sent to a followed holder
	// counts: by then the holder's own word of it has come, if it has the part.
	untoldLife = time.Second
	// sweepAbove is the number of parts of one holder above which old ones are
	// looked for and forgotten.
	sweepAbove = 4096
)

// mark is when a part was sent last: the holder's count of written tokens, the time
// from which it is there, and that of its last use.
type mark struct {
	written int64
	from    time.Time
	used    time.Time
}

// holding is what is known of one incarnation of a holder.
type holding struct {
	incarnation string
	// followed says that the holder's own word counts, in has.
	followed bool
	has      map[Key]bool
	// teller is the node that tells of the holder, or "" if this node asks itself.
	teller string
	// down says that the holder did not answer when it was asked last.
	down bool
	// written counts the tokens that this node's requests brought.
	written  int64
	capacity int64
	sent     map[Key]mark
	sweepAt  int
}

// Ledger is what one node remembers. It is safe for concurrent use.
type Ledger struct {
	mutex    sync.Mutex
	holdings map[string]*holding
	nodes    int64
	// untold is for how long what this node sent to a followed holder counts.
	untold time.Duration
	news   news
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{holdings: map[string]*holding{}, nodes: 1, untold: untoldLife, news: news{resting: true}}
}

// Resize follows the number of nodes: others write about as much as this one.
func (l *Ledger) Resize(nodes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = int64(max(1, nodes))
}

// Lags takes how late the word of a holder reaches this node.
func (l *Ledger) Lags(by time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.untold = max(untoldLife, by)
}

// Held returns how many leading tokens of the pieces the holder has. What was sent
// to another incarnation of it does not count.
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

// probablyHas reports whether the holder probably has a part that this node sent there.
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

// gone reports whether a part has probably given way.
func (l *Ledger) gone(known *holding, mark mark, now time.Time) bool {
	if now.Sub(mark.from) > longestLife {
		return true
	}
	since := (known.written - mark.written) * l.nodes
	return known.capacity > 0 && float64(since) > sureShare*float64(known.capacity)
}

// Note says that an incarnation of the holder has the pieces from a time on, that
// their use brought it written tokens, and how many tokens it has room for.
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

// sweep forgets old parts when there are many.
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

// Replace takes the holder's own list of what it has. From then on the holder's
// word counts, and what this node sends there only until that has come.
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

// Change is one change of what a followed holder has.
type Change struct {
	Key     Key
	Present bool
}

// Apply takes changes that the holder told of.
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

// apply takes changes that another node told of.
func (l *Ledger) apply(holder string, known *holding, has, lacks []Key) {
	for _, key := range has {
		l.arrive(holder, known, key)
	}
	for _, key := range lacks {
		l.leave(holder, known, key)
	}
}

// arrive notes that a holder has a part.
func (l *Ledger) arrive(holder string, known *holding, key Key) {
	known.has[key] = true
	l.news.add(entry{holder: holder, kind: present, key: key, teller: known.teller})
}

// leave notes that a holder has a part no longer.
func (l *Ledger) leave(holder string, known *holding, key Key) {
	delete(known.has, key)
	l.news.add(entry{holder: holder, kind: absent, key: key, teller: known.teller})
}

// Lose says that this node cannot follow the holder any more, and whether that is
// down. What another node tells of it stays.
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

// Down reports whether the holder did not answer when it was asked last.
func (l *Ledger) Down(holder string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.holdings[holder]
	return known != nil && known.down
}
