package inbound

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/admission"
)

// maxOneByte is the largest unsigned integer that gob encodes as itself. Others follow the negated number of their bytes.
const maxOneByte = 0x7f

// checkLengths checks that no gob value of a message claims to be longer than what is left of the message. A decoder
// allocates them before it has read the values.
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
