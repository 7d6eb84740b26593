// Package telemetry records what a proxy decides, in structured log lines and
// metrics. It never blocks a request: lines that cannot be written in time are
// dropped and counted.
package telemetry

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written.
	queuedLines = 1024
	// flushInterval is how long lines are batched, since each write costs a system call.
	flushInterval = 50 * time.Millisecond
	flushBytes    = 32 << 10
)

// Writer buffers lines for a slow writer and never blocks on it.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to target.
func NewWriter(target io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, queuedLines)}
	go writer.drain(target)
	return writer
}

// Write queues one line, or drops it if the queue is full.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- bytes.Clone(line):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (writer *Writer) Dropped() int64 { return writer.dropped.Load() }

func (writer *Writer) drain(target io.Writer) {
	buffer := bytes.Buffer{}
	for line := range writer.lines {
		buffer.Write(line)
		time.Sleep(flushInterval)
		writer.gather(&buffer)
		_, _ = target.Write(buffer.Bytes())
		buffer.Reset()
	}
}

// appendQueued appends the lines that are already queued, up to flushBytes.
func (writer *Writer) gather(buffer *bytes.Buffer) {
	for buffer.Len() < flushBytes {
		select {
		case line := <-writer.lines:
			buffer.Write(line)
		default:
			return
		}
	}
}
