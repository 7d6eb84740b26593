package clientconn

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/admission"
)

const (
	// headMargin is what a head may exceed its bound by until it is rejected unread: the bound holds for names and values.
	headMargin = 4 << 10
	// rejectTimeout bounds the time in which a client can read the rejection of a head, and maxRejectedBytes what it may send
	// meanwhile: a connection that is closed with bytes unread is reset, which can overtake the response.
	rejectTimeout    = 500 * time.Millisecond
	maxRejectedBytes = 1 << 20
)

// HeadLimits bounds the heads of requests, which http.Server reads whole before it calls a handler.
type HeadLimits struct {
	// MaxBytes returns the bound of one head in bytes.
	MaxBytes func() int
	// Memory bounds what the heads of all connections hold; nil means no bound.
	Memory *admission.MemoryBudget
	// OnRejected, if set, is called for each connection that is closed for its head.
	OnRejected func(rejection HeadRejection)
}

// HeadRejection is why the head of a request was rejected before it was read whole. The request has not run.
type HeadRejection struct {
	// Bytes is what has been read of the head, and MaxBytes the bound of one head.
	Bytes    int
	MaxBytes int
	// Memory is set if all heads together hold too much; otherwise, the head exceeds its bound.
	Memory *admission.MemoryRefusal
}

// status returns the status of the response.
func (r *HeadRejection) status() int {
	if r.Memory != nil {
		return http.StatusServiceUnavailable
	}
	return http.StatusRequestHeaderFieldsTooLarge
}

// errHeadRejected is the error of the read that exceeds a bound. http.Server writes no response after a network error.
var errHeadRejected = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head of the request exceeds a bound")}

// head is what has been read of the head of the current request.
type head struct {
	mutex sync.Mutex
	hold  admission.HeadHold
	bytes int
	// lineLength is the length of the last line so far. begun is set once a line is not empty, and whole once an empty one has
	// followed.
	lineLength   int
	begun, whole bool
	closed       bool
}

// read records a part of the head, and returns how many bytes and lines of it are the head's.
func (h *head) read(data []byte) (count, lines int) {
	for !h.whole && len(data) > 0 {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		count += len(line)
		h.lineLength += len(bytes.TrimSuffix(line, []byte("\r")))
		h.begun = h.begun || h.lineLength > 0
		if ended {
			count, lines = count+1, lines+1
			h.whole = h.begun && h.lineLength == 0
			h.lineLength = 0
		}
		data = rest
	}
	h.bytes += count
	return count, lines
}

// release returns what the head holds, and begins the next one unless the connection is closed.
func (h *head) release(closed bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.hold.Release()
	h.bytes, h.lineLength, h.begun, h.whole = 0, 0, false, false
	h.closed = h.closed || closed
}

// readHead records what has been read of a head, and returns why it is rejected, or nil.
func (c *Conn) readHead(data []byte) *HeadRejection {
	if c.limits == nil {
		return nil
	}
	c.head.mutex.Lock()
	defer c.head.mutex.Unlock()
	if c.head.closed {
		return nil
	}
	count, lines := c.head.read(data)
	rejection := &HeadRejection{Bytes: c.head.bytes, MaxBytes: c.limits.MaxBytes()}
	if c.head.bytes > rejection.MaxBytes+headMargin {
		return rejection
	}
	if rejection.Memory = c.head.hold.Add(count, lines); rejection.Memory != nil {
		return rejection
	}
	return nil
}

// rejectHead writes a response, lets the client read it, and returns the error of the read.
func (c *Conn) rejectHead(rejection *HeadRejection) error {
	if c.limits.OnRejected != nil {
		c.limits.OnRejected(*rejection)
	}
	retryAfter := ""
	if rejection.Memory != nil {
		retryAfter = "Retry-After: " + strconv.FormatFloat(rejection.Memory.RetryAfter.Seconds(), 'f', -1, 64) + "\r\n"
	}
	endsAt := time.Now().Add(rejectTimeout)
	_ = c.Conn.SetDeadline(endsAt)
	status := rejection.status()
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), retryAfter)
	if c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxRejectedBytes)
	}
	return errHeadRejected
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.head.release(true)
	return c.Conn.Close()
}
