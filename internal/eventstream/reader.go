// Package eventstream splits a text/event-stream into events and preserves their
// bytes exactly.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/bufferpool"
)

// MaxEventBytes bounds the size of one event.
const MaxEventBytes = bufferpool.MaxBytes

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
	// HasData reports whether the event has a data field. Without one, it is a comment or sets fields of the stream.
	HasData bool
}

// Reader reads events from a stream.
type Reader struct {
	// Reserve, if set, is called with the number of bytes of the buffer for an event before it is made, and with 0 when
	// a large one is not needed any more. Next returns its error.
	Reserve func(bytes int) error

	source *bufio.Reader
	raw    []byte
}

// keptBytes is the size up to which the buffer of an event is kept for the next one.
const keptBytes = 16 << 10

// NewReader returns a reader with a buffer of the given size in bytes.
func NewReader(source io.Reader, buffer int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, buffer)}
}

// Next returns the next complete event. The error is io.EOF if the stream ended
// between two events, and io.ErrUnexpectedEOF if it ended within one.
func (reader *Reader) Next() (Event, error) {
	if err := reader.reuse(); err != nil {
		return Event{}, err
	}
	event := Event{}
	for {
		start := len(reader.raw)
		if err := reader.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(reader.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			// The caller does not get what was read.
			reader.drop()
			return Event{}, err
		}
		line := bytes.TrimRight(reader.raw[start:], "\r\n")
		if len(line) == 0 {
			event.Raw = reader.raw
			return event, nil
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case string(name) == "id" && found:
			number, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			event.ID, event.HasID = number, err == nil
		case string(name) == "data":
			event.HasData = true
		}
	}
}

// reuse empties the buffer, or drops it if it is large.
func (reader *Reader) reuse() error {
	if cap(reader.raw) <= keptBytes {
		reader.raw = reader.raw[:0]
		return nil
	}
	reader.drop()
	return reader.reserve(0)
}

// drop gives the buffer up.
func (reader *Reader) drop() {
	bufferpool.Put(reader.raw)
	reader.raw = nil
}

func (reader *Reader) reserve(bytes int) error {
	if reader.Reserve == nil {
		return nil
	}
	return reader.Reserve(bytes)
}

// append adds bytes to the event.
func (reader *Reader) append(part []byte) error {
	size := len(reader.raw) + len(part)
	if size > MaxEventBytes {
		return ErrEventTooLong
	}
	if size > cap(reader.raw) && size > keptBytes {
		if err := reader.reserve(bufferpool.Size(size)); err != nil {
			return err
		}
		grown := append(bufferpool.Get(size), reader.raw...)
		reader.drop()
		reader.raw = grown
	}
	reader.raw = append(reader.raw, part...)
	return nil
}

// readLine appends one line, including its terminator, to the raw event.
func (reader *Reader) readLine() error {
	for {
		part, err := reader.source.ReadSlice('\n')
		if tooLarge := reader.append(part); tooLarge != nil {
			return tooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return err
		}
	}
}
