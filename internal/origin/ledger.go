// Package origin tracks which software version of which service began each stream. What two versions
// write does not fit together, so that a stream may be continued only by servers of the version that
// began it, also at another node after the first one has failed.
//
// A node records the origin of each stream that it begins. While a service has several versions it
// sends the record to a few other nodes, its holders, before it passes on the stream's first event. A
// node at which a caller resumes a stream asks the holders.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"time"
)

// Key identifies a stream: a prefix of a SHA-256 hash, since a tenant must not be able to construct the
// key of another tenant's stream.
type Key uint64

// NewKey returns the key of a stream from its tenant, "" for public routes, and the ID of the try by
// which the caller got the first event.
func NewKey(tenant, requestID string) Key {
	hash := sha256.New()
	// The length prefix separates the parts: "a" and "bc" must differ from "ab" and "c".
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(tenant))))
	_, _ = io.WriteString(hash, tenant)
	_, _ = io.WriteString(hash, requestID)
	return Key(binary.LittleEndian.Uint64(hash.Sum(nil)))
}

// String returns the key in hexadecimal, as in logs.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// Origin is what began a stream. The zero value is an origin that cannot be determined.
type Origin struct {
	Service string
	// Software is the software version of the server that wrote the first event.
	Software string
}

// Known reports whether the stream can be continued.
func (o Origin) Known() bool { return o.Software != "" }

const (
	// retention is how long a record is kept at least, and twice that at most.
	retention = 2 * time.Minute
	// maxRecords bounds the records of one generation. When it is reached, the older generation is
	// dropped early.
	maxRecords = 1 << 15
)

// Ledger holds the origins of streams. It is safe for concurrent use.
type Ledger struct {
	mutex sync.Mutex
	// current and former are two generations of records: the former ones are dropped together.
	current, former map[Key]record
	rotatedAt       time.Time
	// origins holds one copy of each origin, which the records share.
	origins map[Origin]*Origin
}

// record is the origin of one stream. Own reports that this node began it, and sent that it has been
// sent to its holders.
type record struct {
	origin *Origin
	own    bool
	sent   bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{current: map[Key]record{}, origins: map[Origin]*Origin{}}
}

// Begin records a stream that this node has begun. Sent reports that the caller sends the record to the
// holders.
func (l *Ledger) Begin(key Key, o Origin, sent bool, now time.Time) {
	l.put(key, o, record{own: true, sent: sent}, now)
}

// Learn records a stream of which another node has reported the origin.
func (l *Ledger) Learn(key Key, o Origin, now time.Time) { l.put(key, o, record{}, now) }

// LearnArchived records streams that were read from the archive. Records that this node has already keep what is
// known of their holders.
func (l *Ledger) LearnArchived(streams map[Key]Origin, now time.Time) {
	for key, o := range streams {
		if known, found := l.Lookup(key, now); !found || known != o {
			l.Learn(key, o, now)
		}
	}
}

func (l *Ledger) put(key Key, o Origin, r record, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rotate(now)
	if known, found := l.get(key); found && *known.origin != o {
		// Two tries of the caller had the same ID.
		o = Origin{}
	}
	r.origin = l.shared(o)
	l.current[key] = r
}

// shared returns the shared copy of an origin.
func (l *Ledger) shared(o Origin) *Origin {
	if l.origins[o] == nil {
		l.origins[o] = &o
	}
	return l.origins[o]
}

// rotate begins a new generation if the current one is complete, and drops the former one.
func (l *Ledger) rotate(now time.Time) {
	switch age := now.Sub(l.rotatedAt); {
	case age >= 2*retention:
		l.former, l.rotatedAt = nil, now
	case age >= retention:
		l.former, l.rotatedAt = l.current, l.rotatedAt.Add(retention)
	case len(l.current) >= maxRecords:
		l.former, l.rotatedAt = l.current, now
	default:
		return
	}
	l.current, l.origins = map[Key]record{}, map[Origin]*Origin{}
	for _, r := range l.former {
		l.origins[*r.origin] = r.origin
	}
}

func (l *Ledger) get(key Key) (record, bool) {
	if r, found := l.current[key]; found {
		return r, true
	}
	r, found := l.former[key]
	return r, found
}

// Lookup returns the origin of a stream, if this node has a record of it.
func (l *Ledger) Lookup(key Key, now time.Time) (Origin, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rotate(now)
	r, found := l.get(key)
	if !found {
		return Origin{}, false
	}
	return *r.origin, true
}

// TakeUnsent returns up to limit streams that this node has begun at servers of the given services and
// that have not been sent to their holders, and marks them as sent.
func (l *Ledger) TakeUnsent(services map[string]bool, limit int, now time.Time) map[Origin][]Key {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rotate(now)
	unsent, taken := map[Origin][]Key{}, 0
	for _, generation := range []map[Key]record{l.current, l.former} {
		for key, r := range generation {
			if taken == limit {
				return unsent
			}
			if !r.own || r.sent || !services[r.origin.Service] {
				continue
			}
			r.sent = true
			generation[key] = r
			unsent[*r.origin] = append(unsent[*r.origin], key)
			taken++
		}
	}
	return unsent
}

// Held returns up to limit streams of which the record was sent to other nodes, or came from them: they
// began while their services had several software versions.
func (l *Ledger) Held(limit int, now time.Time) map[Origin][]Key {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rotate(now)
	held, count := map[Origin][]Key{}, 0
	for _, generation := range []map[Key]record{l.current, l.former} {
		for key, r := range generation {
			if count == limit {
				return held
			}
			if !r.own || r.sent {
				held[*r.origin] = append(held[*r.origin], key)
				count++
			}
		}
	}
	return held
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.current) + len(l.former)
}
