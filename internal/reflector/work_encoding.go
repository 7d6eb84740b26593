package reflector

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/capacity"
)

// work is the part of backend.Work that all builds read. Gob sends the names of types and fields
// with each message, so that the other values are encoded apart, in details.
type work struct {
	Server                          uint64
	Running, QueuedTokens, Suspects int
}

// works is the work on several servers. Gob sends the name of a slice type with each message, and
// that of an unnamed one is longer.
type works []work

// The flags of an entry of the details say which values follow: the age of the last answer in
// milliseconds, the resident tokens and the number of nodes refused for lack of capacity as
// variable-length integers, and the shared prefixes and the votes as lanes; see appendLanes.
const (
	hasAnswerAge byte = 1 << iota
	hasResidentTokens
	hasFull
	hasSharedPrefixes
	hasVotes
)

// maxDetail bounds the integers in details, so that sums over a fleet do not overflow.
const maxDetail = math.MaxInt32

// packWork returns the wire form of the work on several servers.
func packWork(all []backend.Work) (packed works, details []byte) {
	last := 0
	for _, w := range all {
		packed = append(packed, work{Server: w.Server, Running: w.Running, QueuedTokens: w.QueuedTokens, Suspects: w.Suspects})
		flags := len(details)
		details = appendDetails(details, w)
		if details[flags] != 0 {
			last = len(details)
		}
	}
	// Trailing entries without values are left out.
	return packed, details[:last]
}

func appendDetails(details []byte, w backend.Work) []byte {
	at := len(details)
	details = append(details, 0)
	number := func(flag byte, value int64) {
		if value > 0 {
			details[at] |= flag
			details = binary.AppendUvarint(details, uint64(min(value, maxDetail)))
		}
	}
	lanes := func(flag byte, value uint64) {
		if value != 0 {
			details[at] |= flag
			details = appendLanes(details, value)
		}
	}
	// An age under a millisecond must not become 0, which means that there is none.
	number(hasAnswerAge, int64((w.AnswerAge+time.Millisecond-1)/time.Millisecond))
	number(hasResidentTokens, int64(w.ResidentTokens))
	number(hasFull, int64(w.Full))
	lanes(hasSharedPrefixes, uint64(w.SharedPrefixes))
	lanes(hasVotes, uint64(w.Prefill))
	return details
}

// unpackWork returns the work of the wire form. Messages of builds without details have none. Details
// that this build cannot read are ignored from the first such entry on, since the work itself is
// valid.
func unpackWork(packed works, details []byte) []backend.Work {
	if len(packed) == 0 {
		return nil
	}
	all := make([]backend.Work, len(packed))
	reader := detailsReader{rest: details}
	for i, w := range packed {
		basic := backend.Work{Server: w.Server, Running: w.Running, QueuedTokens: w.QueuedTokens, Suspects: w.Suspects}
		all[i] = basic
		if len(reader.rest) > 0 && !reader.read(&all[i]) {
			all[i], reader.rest = basic, nil
		}
	}
	return all
}

// detailsReader reads the entries of details one after the other.
type detailsReader struct {
	rest      []byte
	malformed bool
}

// read reads the next entry, and reports whether it is well-formed.
func (r *detailsReader) read(w *backend.Work) bool {
	flags := r.rest[0]
	r.rest = r.rest[1:]
	if flags&hasAnswerAge != 0 {
		w.AnswerAge = time.Duration(r.number()) * time.Millisecond
	}
	if flags&hasResidentTokens != 0 {
		w.ResidentTokens = r.number()
	}
	if flags&hasFull != 0 {
		w.Full = r.number()
	}
	if flags&hasSharedPrefixes != 0 {
		w.SharedPrefixes = backend.PrefixSet(r.lanes())
	}
	if flags&hasVotes != 0 {
		w.Prefill = capacity.Votes(r.lanes())
	}
	return !r.malformed && flags < hasVotes<<1
}

func (r *detailsReader) number() int {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 || value > maxDetail {
		r.malformed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return int(value)
}

// allLanes marks lanes that are encoded as one number. Few lanes, which are usual, are encoded as
// their number and one byte each: the position of the lane and its value, of 4 bits each.
const (
	allLanes  = 0xff
	laneCount = 16
	laneBits  = 4
	laneMask  = 1<<laneBits - 1
	// lanesBytes is the size of all lanes as one number, and so the most that are encoded one by one.
	lanesBytes = 8
)

func appendLanes(details []byte, value uint64) []byte {
	var few [laneCount]byte
	n := 0
	for lane := range laneCount {
		if v := value >> (lane * laneBits) & laneMask; v != 0 {
			few[n] = byte(lane<<laneBits) | byte(v)
			n++
		}
	}
	if n >= lanesBytes {
		return binary.LittleEndian.AppendUint64(append(details, allLanes), value)
	}
	return append(append(details, byte(n)), few[:n]...)
}

func (r *detailsReader) lanes() uint64 {
	if len(r.rest) == 0 {
		r.malformed = true
		return 0
	}
	n := int(r.rest[0])
	r.rest = r.rest[1:]
	if n == allLanes && len(r.rest) >= lanesBytes {
		value := binary.LittleEndian.Uint64(r.rest)
		r.rest = r.rest[lanesBytes:]
		return value
	}
	if n >= lanesBytes || n > len(r.rest) {
		r.malformed, r.rest = true, nil
		return 0
	}
	value := uint64(0)
	for _, lane := range r.rest[:n] {
		value |= uint64(lane&laneMask) << (lane >> laneBits * laneBits)
	}
	r.rest = r.rest[n:]
	return value
}
