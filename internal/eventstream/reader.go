// Package eventstream splits a text/event-stream into events and preserves their
// bytes exactly.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// ErrEventTooLong is returned for an event that exceeds the size limit.
var ErrEventTooLong = errors.New("event of the stream exceeds 1 MiB")

// Event is one complete event.
type Event struct {
	// Raw holds the bytes of the event as received, including the terminating
	// blank line. It is valid until the next call of Next.
	Raw []byte
	// ID is the numeric event ID; HasID reports whether the event had one.
	ID    int64
	HasID bool
}

// Reader reads events from a stream.
type Reader struct {
	source *bufio.Reader
	raw    []byte
}

// NewReader returns a reader with a buffer of the given size in bytes.
func NewReader(source io.Reader, buffer int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, buffer)}
}

// Next returns the next complete event. The error is io.EOF if the stream ended
// between two events, and io.ErrUnexpectedEOF if it ended within one.
func (reader *Reader) Next() (Event, error) {
	reader.raw = reader.raw[:0]
	event := Event{}
	for {
		start := len(reader.raw)
		if err := reader.readLine(); err != nil {
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

// readLine appends one line, including its terminator, to the raw event.
func (reader *Reader) readLine() error {
	for {
		part, err := reader.source.ReadSlice('\n')
		reader.raw = append(reader.raw, part...)
		switch {
		case len(reader.raw) > maxEventBytes:
			return ErrEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return err
		}
	}
}
