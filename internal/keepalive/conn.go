package keepalive

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/outbound"
)

// errNotReusable reports that a connection takes no further request, or not this one: the server may be closing it, it has
// carried the request before, or something has come that answers no request.
var errNotReusable = errors.New("connection cannot be reused for the request")

// conn is a connection to a server that tracks how long it has been idle. If it is closed while the
// server may work on a request, it lingers: the server reads the end of the connection, and the other
// direction stays open until the server has closed it, which shows that it has ended the request.
type conn struct {
	net.Conn
	connectedAt time.Time
	// serverClosed is called if the server closes the connection while it is idle.
	serverClosed func(rested time.Duration)
	lingerers    *lingerers
	resets       outbound.Resets
	// idHeader is the header of requests' IDs; "" if they have none.
	idHeader string
	// onSurplus, if set, is called for each response that answers no request which waits for one.
	onSurplus func(kind Surplus)

	// readMutex is held during reads.
	readMutex sync.Mutex
	// rest holds what has been read from the socket and not passed on yet, and restErr is the error that follows it.
	rest    *bufio.Reader
	restErr error

	mutex sync.Mutex
	// readable is broadcast when reading or closing is set.
	readable *sync.Cond
	// reading says that a read waits for the socket: all that has been read before was used.
	reading bool
	// uses counts the requests that used the connection.
	uses int
	// idleSince is zero while a request is in flight.
	idleSince time.Time
	expiry    *time.Timer
	expired   bool
	// refused says that the current request must not be written.
	refused bool
	// written says that bytes of the current request may have been sent.
	written bool
	// ended says that the server has closed the connection in an orderly way, and reset that it has reset it.
	ended, reset bool
	// failed says that a read has failed.
	failed bool
	// closing says that Close was called.
	closing bool
	// completion is that of the current request; nil if there is none.
	completion *completion
	// carried is the requests that have used the connection, and carriedHead says that one had the method HEAD.
	carried     carried
	carriedHead bool
	awaited     awaited
	// spoilt says that something has come that answers no request.
	spoilt bool
}

// newConn returns a connection to a server.
func newConn(plain net.Conn) *conn {
	c := &conn{Conn: plain, connectedAt: boottime.Now()}
	c.readable = sync.NewCond(&c.mutex)
	return c
}

// completion is the end of one request at the server.
type completion struct {
	done chan struct{}
	// result is set before done is closed.
	result outbound.CompletionResult
}

func (c *completion) complete(result outbound.CompletionResult) {
	c.result = result
	close(c.done)
}

// acquire takes the connection for a request. Its writes fail if refused is set or if the
// connection was idle for longer than the limit. It returns the number of the use.
func (c *conn) acquire(id string, limit time.Duration, refused bool) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.uses++
	c.written = false
	c.awaited = awaited{id: id, head: true}
	// A connection is reused only once its previous request is complete.
	c.complete(outbound.CompletionEnded)
	c.completion = &completion{done: make(chan struct{})}
	c.refused = refused || c.spoilt || c.expired || !c.idleSince.IsZero() && boottime.Since(c.idleSince) > limit
	c.idleSince = time.Time{}
	if c.expiry != nil {
		c.expiry.Stop()
	}
	return c.uses
}

// carry reports whether the connection has carried a request before, and whether it may carry it now. A response that arrives
// late would look like the one to a repeated request, whose ID it bears.
func (c *conn) carry(id, method string) (repeats, carries bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.carried.contains(id) {
		return true, false
	}
	c.carriedHead = c.carriedHead || method == http.MethodHead
	return false, c.carried.add(id)
}

// awaitReader waits until all that has been read from the connection was used, or until it is closed. What net/http holds of a
// response too many would count as the response to the next request.
func (c *conn) awaitReader() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !c.reading && !c.closing {
		c.readable.Wait()
	}
}

// currentCompletion returns the completion of the current request.
func (c *conn) currentCompletion() *completion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.completion
}

// release marks the connection as idle after a use, and closes it if it stays idle for the given
// time. It does nothing if the next use has already begun.
func (c *conn) release(use int, timeout time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if use != c.uses {
		return
	}
	c.idleSince = boottime.Now()
	c.complete(outbound.CompletionEnded)
	c.expiry = time.AfterFunc(timeout, func() { c.expire(use) })
}

// complete ends the current request, if there is one. The caller holds the mutex.
func (c *conn) complete(result outbound.CompletionResult) {
	if c.completion != nil {
		c.completion.complete(result)
		c.completion = nil
	}
}

func (c *conn) expire(use int) {
	c.mutex.Lock()
	due := use == c.uses && !c.idleSince.IsZero()
	c.expired = c.expired || due
	c.mutex.Unlock()
	if due {
		c.Conn.Close()
	}
}

// unsent reports whether no byte of the current request was sent.
func (c *conn) unsent() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.written
}

// Write writes to the connection, unless the current request was refused.
func (c *conn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	if c.refused {
		c.mutex.Unlock()
		return 0, errNotReusable
	}
	// Even a failed write may have sent some bytes.
	c.written = true
	c.mutex.Unlock()
	return c.resets.Write(c.Conn, data)
}

// Read reads from the connection, without responses that answer no request which waits for one.
func (c *conn) Read(data []byte) (int, error) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	if n, err := c.readRest(data); n > 0 || err != nil {
		return n, err
	}
	if !c.beginRead() {
		return 0, net.ErrClosed
	}
	defer c.endRead()
	n, err := c.readSocket(data)
	if n == 0 {
		return 0, err
	}
	return c.examine(data, n, err)
}

// beginRead records that a read waits for the socket. It returns false if the connection is being closed.
func (c *conn) beginRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = !c.closing
	c.readable.Broadcast()
	return c.reading
}

func (c *conn) endRead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = false
}

// readSocket reads from the socket, and records how the connection has ended.
func (c *conn) readSocket(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	err = c.resets.ReadError(c.Conn, err)
	if err != nil {
		c.mutex.Lock()
		c.failed = true
		c.ended = c.ended || errors.Is(err, io.EOF)
		c.reset = c.reset || errors.Is(err, syscall.ECONNRESET)
		c.mutex.Unlock()
	}
	return n, err
}

// Close closes the connection, and calls serverClosed if the server closed it while idle. One that broke
// says nothing of how long the server keeps idle connections. If the server may work on a request, the
// connection lingers.
func (c *conn) Close() error {
	c.mutex.Lock()
	if c.closing {
		c.mutex.Unlock()
		return nil
	}
	c.closing = true
	c.readable.Broadcast()
	// Without an error, net/http stops reading from an idle connection only if it holds bytes that it has not been asked for.
	unasked := !c.idleSince.IsZero() && !c.reading && !c.failed && !c.expired && !c.spoilt
	since, expired := c.idleSince, c.expired || !c.ended
	c.idleSince = time.Time{}
	if c.expiry != nil {
		c.expiry.Stop()
	}
	half, canLinger := c.Conn.(halfCloser)
	closed := c.ended || c.reset || !c.written
	lingers := canLinger && c.completion != nil && !closed && c.lingerers.add()
	switch {
	case lingers:
	case closed:
		c.complete(outbound.CompletionEnded)
	default:
		c.complete(outbound.CompletionUnknown)
	}
	c.mutex.Unlock()
	if unasked {
		c.reportSurplus(SurplusUnasked)
	}
	if lingers {
		go c.linger(half)
		return nil
	}
	if !since.IsZero() && !expired {
		c.serverClosed(boottime.Since(since))
	}
	return c.Conn.Close()
}
