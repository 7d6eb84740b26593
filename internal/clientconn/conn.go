// Package clientconn observes the connections of clients: how long they wait for their clients, how a client's side has
// ended, and whether a client that sends nothing more still waits for its response.
package clientconn

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// minReadRate is the rate, in bytes per second, below which a client may not take a large response: the node holds it in
// memory meanwhile.
const minReadRate = 32 << 10

// finalWriteTimeout is how long a write that has stalled is tried again before it fails.
const finalWriteTimeout = 250 * time.Millisecond

// End is how a client's side of a connection has ended. The values are labels of metrics.
type End string

const (
	// EndNone means that it has not ended, as far as is known.
	EndNone End = "none"
	// EndOfData means that the client sends nothing more: it has closed the connection, or its direction of it.
	EndOfData End = "end_of_data"
	// EndReset means that the connection was reset.
	EndReset End = "reset"
	// EndUnwritable means that nothing more can be written to the client.
	EndUnwritable End = "unwritable"
)

// Listener accepts connections as Conns.
type Listener struct {
	net.Listener
	// StallTimeout is how long a client may take nothing of what is written to it; 0 means no bound.
	StallTimeout time.Duration
	// Timeouts returns the timeouts in force; nil means that there are none.
	Timeouts func() Timeouts
	// OnTimeout, if set, is called for each connection that is closed because its client took too long.
	OnTimeout func(waiting Waiting)
	// Heads bounds the heads of requests; nil means that the bound of the http.Server holds.
	Heads *HeadLimits
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: accepted, stallTimeout: l.StallTimeout, timeouts: l.Timeouts, onTimeout: l.OnTimeout, limits: l.Heads}
	if l.Heads != nil {
		c.head.hold = l.Heads.Memory.HoldHead()
	}
	if c.timeouts == nil {
		c.timeouts = func() Timeouts { return Timeouts{} }
	}
	if c.onTimeout == nil {
		c.onTimeout = func(Waiting) {}
	}
	return c, nil
}

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	stallTimeout time.Duration
	timeouts     func() Timeouts
	onTimeout    func(waiting Waiting)
	end          atomic.Value
	// endedAt is when the end of the client's data was read, in nanoseconds since the Unix epoch; 0 if it was not.
	endedAt atomic.Int64
	wait    wait
	// limits bounds heads; nil means that nothing does.
	limits *HeadLimits
	head   head
}

// End returns how the client's side of the connection has ended.
func (c *Conn) End() End {
	end, ended := c.end.Load().(End)
	if !ended {
		return EndNone
	}
	return end
}

// dataEnded reports whether the client's data has ended, even if its end has not been read yet.
func (c *Conn) dataEnded() bool {
	if end := c.End(); end != EndNone {
		return end == EndOfData
	}
	ended := false
	c.control(func(descriptor int) {
		n, _, err := unix.Recvfrom(descriptor, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = err == nil && n == 0
	})
	return ended
}

// CloseWrite closes this side's direction of the connection. http.Server calls it before it closes a connection whose
// request it has not read whole: a reset could overtake the response.
func (c *Conn) CloseWrite() error {
	closer, closes := c.Conn.(interface{ CloseWrite() error })
	if !closes {
		return errors.NotSupportedf("closing one direction of %T", c.Conn)
	}
	return closer.CloseWrite()
}

// setResetOnClose sets whether the connection ends with a reset, also if the process ends.
func (c *Conn) setResetOnClose(resets bool) {
	linger := unix.Linger{}
	if resets {
		linger.Onoff = 1
	}
	c.control(func(descriptor int) { _ = unix.SetsockoptLinger(descriptor, unix.SOL_SOCKET, unix.SO_LINGER, &linger) })
}

// unread returns the number of bytes that have arrived and were not read yet, as far as the kernel tells.
func (c *Conn) unread() int {
	unread := 0
	c.control(func(descriptor int) {
		if n, err := unix.IoctlGetInt(descriptor, unix.TIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// control calls f with the connection's descriptor, if it has one.
func (c *Conn) control(f func(descriptor int)) {
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(descriptor uintptr) { f(int(descriptor)) })
	}
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for isTimeout(err) && c.extendWait() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 && c.recordRead(n) {
		if refusal := c.readHead(p[:n]); refusal != nil {
			return 0, c.rejectHead(refusal)
		}
	}
	switch {
	case err == nil, isTimeout(err), errors.Is(err, net.ErrClosed):
	case errors.Is(err, io.EOF):
		c.endedAt.CompareAndSwap(0, time.Now().UnixNano())
		c.end.CompareAndSwap(nil, EndOfData)
	default:
		c.end.Store(EndReset)
	}
	return n, err
}

// Write writes to the connection. If stalls are bounded, it fails once the client has taken nothing for that time, or
// takes it too slowly.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.writeInTime(p)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.end.Store(EndUnwritable)
	}
	return n, err
}

func (c *Conn) writeInTime(p []byte) (int, error) {
	if c.stallTimeout == 0 {
		return c.Conn.Write(p)
	}
	written := 0
	latest := time.Now().Add(c.stallTimeout + time.Duration(len(p))*time.Second/minReadRate)
	timeout := c.stallTimeout
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		switch {
		case !isTimeout(err):
			return written, err
		case n > 0 && time.Now().Before(latest):
			timeout = c.stallTimeout
		case timeout == finalWriteTimeout:
			return written, err
		default:
			// This process may have been paused, and not the client.
			timeout = finalWriteTimeout
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

type connKey struct{}

// WithConn returns a context that holds a connection. It is meant for http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// fromContext returns the connection that a context holds, or nil.
func fromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}
