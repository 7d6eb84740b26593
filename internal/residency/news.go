package residency

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/juju/errors"
)

// mostNews bounds the entries that are kept for other nodes. Who has missed more
// hears everything anew.
const mostNews = 8192

// kind is what an entry tells of a holder.
type kind byte

const (
	// replaced says that what the holder has is told anew.
	replaced kind = iota
	// present and absent tell of one part.
	present
	absent
	// lost says that nobody can tell what the holder has; isDown, that it does not
	// answer.
	lost
	isDown
)

// entry is one change of what is known of holders. The teller is the node that told
// of it, or "" if this node heard it from the holder.
type entry struct {
	holder string
	kind   kind
	key    Key
	teller string
}

// news is the last entries in order. Its life is a number that no other has. Most nodes
// are asked by nobody: theirs rest, and keep nothing, until they are.
type news struct {
	life    uint64
	first   int64
	entries []entry
	resting bool
	// asked is the place at which they were asked for last.
	asked int64
}

func newNews() news { return news{life: rand.Uint64() | 1} }

func (n *news) next() int64 { return n.first + int64(len(n.entries)) }

func (n *news) add(e entry) {
	if n.resting {
		return
	}
	if n.next()-n.asked >= 2*mostNews {
		// Whoever asked last has missed too much to be told of changes alone.
		*n = news{resting: true}
		return
	}
	if len(n.entries) >= 2*mostNews {
		n.first += mostNews
		n.entries = append([]entry(nil), n.entries[mostNews:]...)
	}
	n.entries = append(n.entries, e)
}

// ask notes that somebody asks, and begins anew if the news were resting.
func (n *news) ask() {
	if n.resting {
		*n = newNews()
	}
	n.asked = n.next()
}

// Place is up to where one node has heard another's news. The zero value has heard
// nothing.
type Place struct {
	Life uint64
	Next int64
}

// changesOnly and all say what an answer holds: what has changed since the place
// that was asked for, or all that is known.
const (
	changesOnly byte = iota
	all
)

// section is the news of one holder.
type section struct {
	holder string
	// state is replaced, lost, isDown, or present if only parts have changed.
	state kind
	// has and lacks are the parts that have come and gone; lacks is empty unless the state
	// is present.
	has   []Key
	lacks []Key
}

// News returns what has changed since a place, encoded for Hearer.Take, and nil if
// nothing has. Direct leaves out what this node heard from others.
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

// sinceStart returns all that is known.
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

// changed is what entries told of one holder.
type changed struct {
	holder string
	state  kind
	parts  map[Key]bool
}

// section returns it with the parts in order.
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

// collect merges entries to one section a holder.
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

// append encodes a section: the holder, its state, and the keys of the parts that it
// has and of those that it has not.
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

var errNews = errors.New("the news of cached parts cannot be read; run the same version on all nodes")

// keyBytes is the length of an encoded key.
const keyBytes = 4

// decoder reads encoded news; failed says that they are cut short or wrong.
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

// answer is decoded news.
type answer struct {
	// place is up to where they reach.
	place Place
	// whole says that the sections are all that is known.
	whole    bool
	sections []section
}

// decode reads encoded news whole, or not at all.
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
