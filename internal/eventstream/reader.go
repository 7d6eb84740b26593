// Package eventstream splits a text/event-stream into its whole events without
// changing a byte of them.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// maximumEvent bounds one event in bytes.
const maximumEvent = 1 << 20

// ErrTooLong says that an event is longer than the reader takes.
var ErrTooLong = errors.New("an event of the stream is too long")

// Event is one whole event.
type Event struct {
	// Raw is the event as it came, with the blank line that ends it. It is valid
	// until the next call.
	Raw []byte
	// ID is the event's number; HasID says that there was one.
	ID    int64
	HasID bool
}

// Reader reads events.
type Reader struct {
	source *bufio.Reader
	raw    []byte
}

// NewReader returns a reader with a buffer of the given size in bytes.
func NewReader(source io.Reader, buffer int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, buffer)}
}

// Next returns the next whole event. io.EOF means that the stream ended between
// two events; io.ErrUnexpectedEOF, that it ended within one.
func (reader *Reader) Next() (Event, error) {
	reader.raw = reader.raw[:0]
	event := Event{}
	for {
		start := len(reader.raw)
		if err := reader.line(); err != nil {
			if errors.Is(err, io.EOF) && len(reader.raw) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(reader.raw[start:], "\r\n")
		if len(line) == 0 {
			event.Raw = reader.raw
			return event, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			event.ID, event.HasID = number, err == nil
		}
	}
}

// line appends one line, with its end, to the event.
func (reader *Reader) line() error {
	for {
		part, err := reader.source.ReadSlice('\n')
		reader.raw = append(reader.raw, part...)
		switch {
		case len(reader.raw) > maximumEvent:
			return ErrTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return err
		}
	}
}
