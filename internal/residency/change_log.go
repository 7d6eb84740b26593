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
const mostNews = 8192

// changeKind is the kind of change that an entry records.
type kind byte

const (
	// replaced starts a new list of the holder's pieces.
	replaced kind = iota
	// present and absent record one piece.
	present
	absent
	// unknown means that no node knows which pieces the holder has, and unreachable that the
	// holder does not answer.
	lost
	isDown
)

// logEntry is one change of the known state of holders. The field peer names the node that
// reported it; it is "" if this node received it from the holder.
type entry struct {
	holder string
	kind   kind
	key    Key
	teller string
}

// changeLog holds the latest entries in order. Its epoch is a random number that identifies it.
// Most nodes are never queried for updates: their log stays idle, without entries, until the
// first request.
type news struct {
	life    uint64
	first   int64
	entries []entry
	resting bool
	// lastRequested is the position at the time of the last request.
	asked int64
}

func newNews() news { return news{life: rand.Uint64() | 1} }

func (n *news) next() int64 { return n.first + int64(len(n.entries)) }

func (n *news) add(e entry) {
	if n.resting {
		return
	}
	if n.next()-n.asked >= 2*mostNews {
		// The last requester has missed too much for a delta.
		*n = news{resting: true}
		return
	}
	if len(n.entries) >= 2*mostNews {
		n.first += mostNews
		n.entries = append([]entry(nil), n.entries[mostNews:]...)
	}
	n.entries = append(n.entries, e)
}

// noteRequest records a request, and starts a new log if it was idle.
func (n *news) ask() {
	if n.resting {
		*n = newNews()
	}
	n.asked = n.next()
}

// Place is a position in another node's log. The zero value is before any update.
type Place struct {
	Life uint64
	Next int64
}

// deltaUpdate and fullUpdate are the kinds of update: the changes since the requested position,
// or everything that is known.
const (
	changesOnly byte = iota
	all
)

// section is the part of an update that concerns one holder.
type section struct {
	holder string
	// state is replaced, unknown, unreachable, or present if only single pieces have changed.
	state kind
	// cached and evicted are the pieces that the holder has gained and lost; evicted is empty
	// unless the state is present.
	has   []Key
	lacks []Key
}

// Changes returns the changes since a position, encoded for PeerReceiver.Receive, or nil if
// there are none. With ownOnly it leaves out what this node received from peers.
func (l *Ledger) News(since Place, direct bool) []byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.news.ask()
	if since.Life == l.news.life && since.Next == l.news.next() {
		return nil
	}
	data := binary.LittleEndian.AppendUint64(nil, l.news.life)
	data = binary.AppendUvarint(data, uint64(l.news.next()))
	var sections []section
	if since.Life == l.news.life && since.Next >= l.news.first && since.Next < l.news.next() {
		data = append(data, changesOnly)
		sections = collect(l.news.entries[since.Next-l.news.first:])
	} else {
		data = append(data, all)
		sections = l.sinceStart()
	}
	for _, s := range sections {
		if holder := l.holdings[s.holder]; !direct || holder == nil || holder.teller == "" {
			data = s.append(data)
		}
	}
	return data
}

// allSections returns everything that is known.
func (l *Ledger) sinceStart() []section {
	var sections []section
	for name, known := range l.holdings {
		switch {
		case known.followed:
			sections = append(sections, section{holder: name, state: replaced, has: slices.Sorted(maps.Keys(known.has))})
		case known.down:
			sections = append(sections, section{holder: name, state: isDown})
		}
	}
	slices.SortFunc(sections, func(a, b section) int { return cmp.Compare(a.holder, b.holder) })
	return sections
}

// holderChanges is the net change of one holder.
type changed struct {
	holder string
	state  kind
	parts  map[Key]bool
}

// section returns the changes as a section with sorted keys.
func (c changed) section() section {
	s := section{holder: c.holder, state: c.state}
	for _, key := range slices.Sorted(maps.Keys(c.parts)) {
		if c.parts[key] {
			s.has = append(s.has, key)
		} else if c.state == present {
			s.lacks = append(s.lacks, key)
		}
	}
	return s
}

// mergeEntries merges entries into one section per holder.
func collect(entries []entry) []section {
	var all []changed
	place := map[string]int{}
	for _, e := range entries {
		i, found := place[e.holder]
		if !found {
			i = len(all)
			place[e.holder] = i
			all = append(all, changed{holder: e.holder, state: present, parts: map[Key]bool{}})
		}
		c := &all[i]
		switch e.kind {
		case present, absent:
			c.parts[e.key] = e.kind == present
		default:
			c.state = e.kind
			clear(c.parts)
		}
	}
	sections := make([]section, len(all))
	for i := range all {
		sections[i] = all[i].section()
	}
	return sections
}

// append appends the encoded section: the holder, its state, and the keys of the cached and of
// the evicted pieces.
func (s section) append(data []byte) []byte {
	data = binary.AppendUvarint(data, uint64(len(s.holder)))
	data = append(data, s.holder...)
	data = append(data, byte(s.state))
	data = appendKeys(data, s.has)
	return appendKeys(data, s.lacks)
}

func appendKeys(data []byte, keys []Key) []byte {
	data = binary.AppendUvarint(data, uint64(len(keys)))
	for _, key := range keys {
		data = binary.LittleEndian.AppendUint32(data, uint32(key))
	}
	return data
}

var errNews = errors.New("malformed update on cached pieces; all nodes must run the same version")

// keyBytes is the length of an encoded key.
const keyBytes = 4

// decoder decodes updates; failed is set if the data is truncated or invalid.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) take(n uint64) []byte {
	if d.failed || n > uint64(len(d.data)) {
		d.failed = true
		return nil
	}
	taken := d.data[:n]
	d.data = d.data[n:]
	return taken
}

func (d *decoder) number() uint64 {
	value, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.failed = true
		return 0
	}
	d.take(uint64(n))
	return value
}

func (d *decoder) keys() []Key {
	count := d.number()
	if count > uint64(len(d.data)) {
		d.failed = true
		return nil
	}
	encoded := d.take(count * keyBytes)
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
	s.holder = string(d.take(d.number()))
	if state := d.take(1); len(state) == 1 {
		s.state = kind(state[0])
	}
	d.failed = d.failed || s.state > isDown || s.state == absent
	s.has, s.lacks = d.keys(), d.keys()
	return s
}

// update is a decoded update.
type answer struct {
	// place is the position that the update leads to.
	place Place
	// full is set if the sections are everything that is known.
	whole    bool
	sections []section
}

// decodeUpdate decodes an update. It returns the complete update or an error.
func decode(data []byte) (answer, error) {
	d := &decoder{data: data}
	var a answer
	if life := d.take(8); len(life) == 8 {
		a.place.Life = binary.LittleEndian.Uint64(life)
	}
	a.place.Next = int64(d.number())
	if content := d.take(1); len(content) == 1 {
		a.whole = content[0] == all
	}
	for len(d.data) > 0 && !d.failed {
		a.sections = append(a.sections, d.section())
	}
	if d.failed || a.place.Next < 0 {
		return answer{}, errNews
	}
	return a, nil
}
