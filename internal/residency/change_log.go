package residency

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/juju/errors"
)

// maxLogEntries bounds the log entries kept for other nodes. A node that has missed more
// receives the full state.
const maxLogEntries = 8192

// changeKind is the kind of change that an entry records.
type changeKind byte

const (
	// replaced starts a new list of the holder's pieces.
	replaced changeKind = iota
	// present and absent record one piece.
	present
	absent
	// unknown means that no node knows which pieces the holder has, and unreachable that the
	// holder does not answer.
	unknown
	unreachable
)

// logEntry is one change of the known state of holders. The field peer names the node that
// reported it; it is "" if this node received it from the holder.
type logEntry struct {
	holder string
	kind   changeKind
	key    Key
	peer   string
}

// changeLog holds the latest entries in order. Its epoch is a random number that identifies it.
// Most nodes are never queried for updates, so a log is idle, without entries, until the first
// request, and again after 2*maxLogEntries entries without a request.
type changeLog struct {
	epoch   uint64
	first   int64
	entries []logEntry
	idle    bool
	// lastRequested is the position at the time of the last request.
	lastRequested int64
}

func newChangeLog() changeLog { return changeLog{epoch: rand.Uint64() | 1} }

func (c *changeLog) next() int64 { return c.first + int64(len(c.entries)) }

func (c *changeLog) add(e logEntry) {
	if c.idle {
		return
	}
	if c.next()-c.lastRequested >= 2*maxLogEntries {
		// The last requester has missed too much for a delta.
		*c = changeLog{idle: true}
		return
	}
	if len(c.entries) >= 2*maxLogEntries {
		c.first += maxLogEntries
		c.entries = append([]logEntry(nil), c.entries[maxLogEntries:]...)
	}
	c.entries = append(c.entries, e)
}

// noteRequest records a request, and starts a new log if it was idle.
func (c *changeLog) noteRequest() {
	if c.idle {
		*c = newChangeLog()
	}
	c.lastRequested = c.next()
}

// Place is a position in another node's log: Life is the log's epoch, and Next the number of the
// next entry. The zero value is before any update.
type Place struct {
	Life uint64
	Next int64
}

// deltaUpdate and fullUpdate are the kinds of update: the changes since the requested position,
// or everything that is known.
const (
	deltaUpdate byte = iota
	fullUpdate
)

// section is the part of an update that concerns one holder.
type section struct {
	holder string
	// state is replaced, unknown, unreachable, or present if only single pieces have changed.
	state changeKind
	// cached and evicted are the pieces that the holder has gained and lost; evicted is empty
	// unless the state is present.
	cached  []Key
	evicted []Key
}

// Changes returns the changes since a position, encoded for PeerReceiver.Receive, or nil if
// there are none. With ownOnly it leaves out what this node received from peers.
func (l *Ledger) Changes(since Place, ownOnly bool) []byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.log.noteRequest()
	if since.Life == l.log.epoch && since.Next == l.log.next() {
		return nil
	}
	data := binary.LittleEndian.AppendUint64(nil, l.log.epoch)
	data = binary.AppendUvarint(data, uint64(l.log.next()))
	var sections []section
	if since.Life == l.log.epoch && since.Next >= l.log.first && since.Next < l.log.next() {
		data = append(data, deltaUpdate)
		sections = mergeEntries(l.log.entries[since.Next-l.log.first:])
	} else {
		data = append(data, fullUpdate)
		sections = l.allSections()
	}
	for _, s := range sections {
		if holder := l.holders[s.holder]; !ownOnly || holder == nil || holder.peer == "" {
			data = s.append(data)
		}
	}
	return data
}

// allSections returns everything that is known.
func (l *Ledger) allSections() []section {
	var sections []section
	for name, known := range l.holders {
		switch {
		case known.watched:
			sections = append(sections, section{holder: name, state: replaced, cached: slices.Sorted(maps.Keys(known.cached))})
		case known.down:
			sections = append(sections, section{holder: name, state: unreachable})
		}
	}
	slices.SortFunc(sections, func(a, b section) int { return cmp.Compare(a.holder, b.holder) })
	return sections
}

// holderChanges is the net change of one holder.
type holderChanges struct {
	holder string
	state  changeKind
	pieces map[Key]bool
}

// section returns the changes as a section with sorted keys.
func (c holderChanges) section() section {
	s := section{holder: c.holder, state: c.state}
	for _, key := range slices.Sorted(maps.Keys(c.pieces)) {
		if c.pieces[key] {
			s.cached = append(s.cached, key)
		} else if c.state == present {
			s.evicted = append(s.evicted, key)
		}
	}
	return s
}

// mergeEntries merges entries into one section per holder.
func mergeEntries(entries []logEntry) []section {
	var merged []holderChanges
	index := map[string]int{}
	for _, e := range entries {
		i, found := index[e.holder]
		if !found {
			i = len(merged)
			index[e.holder] = i
			merged = append(merged, holderChanges{holder: e.holder, state: present, pieces: map[Key]bool{}})
		}
		c := &merged[i]
		switch e.kind {
		case present, absent:
			c.pieces[e.key] = e.kind == present
		default:
			c.state = e.kind
			clear(c.pieces)
		}
	}
	sections := make([]section, len(merged))
	for i := range merged {
		sections[i] = merged[i].section()
	}
	return sections
}

// append appends the encoded section: the holder, its state, and the keys of the cached and of
// the evicted pieces.
func (s section) append(data []byte) []byte {
	data = binary.AppendUvarint(data, uint64(len(s.holder)))
	data = append(data, s.holder...)
	data = append(data, byte(s.state))
	data = appendKeys(data, s.cached)
	return appendKeys(data, s.evicted)
}

func appendKeys(data []byte, keys []Key) []byte {
	data = binary.AppendUvarint(data, uint64(len(keys)))
	for _, key := range keys {
		data = binary.LittleEndian.AppendUint32(data, uint32(key))
	}
	return data
}

var errMalformedUpdate = errors.New("malformed update on cached pieces; all nodes must run the same version")

// keyBytes is the length of an encoded key.
const keyBytes = 4

// decoder decodes updates; failed is set if the data is truncated or invalid.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) next(n uint64) []byte {
	if d.failed || n > uint64(len(d.data)) {
		d.failed = true
		return nil
	}
	bytes := d.data[:n]
	d.data = d.data[n:]
	return bytes
}

func (d *decoder) uvarint() uint64 {
	value, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.failed = true
		return 0
	}
	d.next(uint64(n))
	return value
}

func (d *decoder) keys() []Key {
	count := d.uvarint()
	if count > uint64(len(d.data)) {
		d.failed = true
		return nil
	}
	encoded := d.next(count * keyBytes)
	if len(encoded) == 0 {
		return nil
	}
	keys := make([]Key, 0, len(encoded)/keyBytes)
	for ; len(encoded) >= keyBytes; encoded = encoded[keyBytes:] {
		keys = append(keys, Key(binary.LittleEndian.Uint32(encoded)))
	}
	return keys
}

func (d *decoder) section() section {
	s := section{}
	s.holder = string(d.next(d.uvarint()))
	if state := d.next(1); len(state) == 1 {
		s.state = changeKind(state[0])
	}
	d.failed = d.failed || s.state > unreachable || s.state == absent
	s.cached, s.evicted = d.keys(), d.keys()
	return s
}

// update is a decoded update.
type update struct {
	// place is the position that the update leads to.
	place Place
	// full is set if the sections are everything that is known.
	full     bool
	sections []section
}

// decodeUpdate decodes an update. It returns the complete update or an error.
func decodeUpdate(data []byte) (update, error) {
	d := &decoder{data: data}
	var u update
	if life := d.next(8); len(life) == 8 {
		u.place.Life = binary.LittleEndian.Uint64(life)
	}
	u.place.Next = int64(d.uvarint())
	if content := d.next(1); len(content) == 1 {
		u.full = content[0] == fullUpdate
	}
	for len(d.data) > 0 && !d.failed {
		u.sections = append(u.sections, d.section())
	}
	if d.failed || u.place.Next < 0 {
		return update{}, errMalformedUpdate
	}
	return u, nil
}
