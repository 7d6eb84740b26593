package coordination

import (
	"cmp"
	"strconv"
)

// Era is an era of the shared store. Its zero value is an era that is not known, which differs from the
// known era 0 and is before it.
type Era struct {
	number int64
	known  bool
}

// EraOf returns the known era with a number.
func EraOf(number int64) Era { return Era{number: number, known: true} }

// Number returns the number of the era, and whether the era is known. The number is 0 if it is not.
func (e Era) Number() (number int64, known bool) { return e.number, e.known }

// IsKnown reports whether the era is known.
func (e Era) IsKnown() bool { return e.known }

// Compare orders eras as the store reached them.
func (e Era) Compare(other Era) int {
	return cmp.Or(cmp.Compare(e.order(), other.order()), cmp.Compare(e.number, other.number))
}

func (e Era) order() int {
	if e.known {
		return 1
	}
	return 0
}

// Before reports whether the era is before another one.
func (e Era) Before(other Era) bool { return e.Compare(other) < 0 }

// String returns the number, or "unknown".
func (e Era) String() string {
	if !e.known {
		return "unknown"
	}
	return strconv.FormatInt(e.number, 10)
}

// MarshalJSON returns the number, or null if the era is not known.
func (e Era) MarshalJSON() ([]byte, error) {
	if !e.known {
		return []byte("null"), nil
	}
	return strconv.AppendInt(nil, e.number, 10), nil
}

// Wire returns the two fields by which messages between nodes carry an era. Gob leaves out a number that
// is 0, and builds without the field zero do not send more than the number.
func (e Era) Wire() (number int64, zero bool) { return e.number, e.known && e.number == 0 }

// EraFromWire returns the era that the fields of a message carry.
func EraFromWire(number int64, zero bool) Era { return Era{number: number, known: zero || number != 0} }

// WirePosition is the gob encoding of a Position.
type WirePosition struct {
	Era      int64
	Revision int64
	ZeroEra  bool
}

// Wire returns the encoding of the position.
func (p Position) Wire() WirePosition {
	number, zero := p.Era.Wire()
	return WirePosition{Era: number, Revision: p.Revision, ZeroEra: zero}
}

// Position returns the decoded position.
func (w WirePosition) Position() Position {
	return Position{Era: EraFromWire(w.Era, w.ZeroEra), Revision: w.Revision}
}

// WireEntry is the gob encoding of an Entry.
type WireEntry struct {
	Key      string
	Value    []byte
	Revision int64
	Era      int64
	ZeroEra  bool
}

// WireEntries returns the encoding of entries; nil for nil.
func WireEntries(entries []Entry) []WireEntry {
	if entries == nil {
		return nil
	}
	wired := make([]WireEntry, len(entries))
	for i, entry := range entries {
		number, zero := entry.Era.Wire()
		wired[i] = WireEntry{Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Era: number, ZeroEra: zero}
	}
	return wired
}

// EntriesFromWire returns the decoded entries; nil for nil.
func EntriesFromWire(wired []WireEntry) []Entry {
	if wired == nil {
		return nil
	}
	entries := make([]Entry, len(wired))
	for i, w := range wired {
		entries[i] = Entry{Key: w.Key, Value: w.Value, Revision: w.Revision, Era: EraFromWire(w.Era, w.ZeroEra)}
	}
	return entries
}
