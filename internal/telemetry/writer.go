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
	maxQueuedLines = 1024
	// flushInterval is how long lines are batched, since each write costs a system call.
	flushInterval = 50 * time.Millisecond
	flushBytes    = 32 << 10
)

// Writer buffers lines for a slow writer and never blocks on it.
type Writer struct {
	lines chan []byte
	// flushes holds requests to write all queued lines at once. Each channel is closed when that is done.
	flushes chan chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to target.
func NewWriter(target io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, maxQueuedLines), flushes: make(chan chan struct{})}
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

// Flush writes all queued lines. It waits no longer than the timeout.
func (writer *Writer) Flush(timeout time.Duration) {
	expired := time.After(timeout)
	flushed := make(chan struct{})
	select {
	case writer.flushes <- flushed:
	case <-expired:
		return
	}
	select {
	case <-flushed:
	case <-expired:
	}
}

func (writer *Writer) drain(target io.Writer) {
	buffer := bytes.Buffer{}
	for {
		flushed := writer.awaitBatch(&buffer)
		for again := true; again; again = flushed != nil && len(writer.lines) > 0 {
			writer.appendQueued(&buffer)
			_, _ = target.Write(buffer.Bytes())
			buffer.Reset()
		}
		if flushed != nil {
			close(flushed)
		}
	}
}

// awaitBatch appends the next line to the buffer, and returns after flushInterval or when a flush is requested, which it
// returns.
func (writer *Writer) awaitBatch(buffer *bytes.Buffer) (flushed chan struct{}) {
	select {
	case line := <-writer.lines:
		buffer.Write(line)
	case flushed = <-writer.flushes:
		return flushed
	}
	select {
	case flushed = <-writer.flushes:
	case <-time.After(flushInterval):
	}
	return flushed
}

// appendQueued appends the lines that are already queued, up to flushBytes.
func (writer *Writer) appendQueued(buffer *bytes.Buffer) {
	for buffer.Len() < flushBytes {
		select {
		case line := <-writer.lines:
			buffer.Write(line)
		default:
			return
		}
	}
}
