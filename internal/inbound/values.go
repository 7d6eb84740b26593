package inbound

import (
	"bufio"
	"encoding/binary"
	"encoding/gob"
	"io"
	"reflect"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/admission"
)

// maxOneByte is the largest unsigned integer that gob encodes as itself. Others follow the negated number of their bytes.
const maxOneByte = 0x7f

// check checks that a message is a sequence of gob values, none of which claims to be longer or to have more elements than the
// message has bytes for.
func (l Limits) check(message *admission.Blocks) error {
	if err := checkLengths(message); err != nil {
		return err
	}
	if l.Check != nil {
		return l.Check(message.Reader(), message.Size())
	}
	return checkValues(bufio.NewReader(message.Reader()))
}

// checkValues passes over the values of a message.
func checkValues(reader *bufio.Reader) error {
	decoder := gob.NewDecoder(reader)
	for {
		if _, err := reader.Peek(1); err == io.EOF {
			return nil
		}
		// Elements that are not decoded into anything are passed over one by one, and not allocated.
		if err := decoder.DecodeValue(reflect.Value{}); err != nil {
			return errors.Annotate(err, "cannot decode a value")
		}
	}
}

// checkLengths checks the lengths of the values: a decoder allocates them before it has read the values.
func checkLengths(message *admission.Blocks) error {
	left := message.Size()
	reader := bufio.NewReader(message.Reader())
	for left > 0 {
		length, width, err := readLength(reader)
		if err != nil {
			return err
		}
		if left -= width; length > uint64(left) {
			return errors.Errorf("a value has %d bytes, and %d are left", length, left)
		}
		if _, err := io.CopyN(io.Discard, reader, int64(length)); err != nil {
			return errors.Trace(err)
		}
		left -= int64(length)
	}
	return nil
}

// readLength reads the length of a value, and returns how many bytes encode it.
func readLength(reader io.Reader) (length uint64, width int64, err error) {
	var encoded [8]byte
	if _, err := io.ReadFull(reader, encoded[:1]); err != nil {
		return 0, 0, errors.Trace(err)
	}
	if encoded[0] <= maxOneByte {
		return uint64(encoded[0]), 1, nil
	}
	count := -int(int8(encoded[0]))
	if count > len(encoded) {
		return 0, 0, errors.Errorf("a length has %d bytes, at most %d are allowed", count, len(encoded))
	}
	encoded[0] = 0
	if _, err := io.ReadFull(reader, encoded[len(encoded)-count:]); err != nil {
		return 0, 0, errors.Trace(err)
	}
	return binary.BigEndian.Uint64(encoded[:]), int64(1 + count), nil
}
