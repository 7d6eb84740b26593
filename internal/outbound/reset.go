package outbound

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// States of a TCP connection, as TCPState returns them.
const (
	// StateFinWait2 means that the peer has acknowledged that this side is closed.
	StateFinWait2 uint8 = 5
	// StateClosed means that the connection was reset, or that both sides have closed it.
	StateClosed uint8 = 7
)

// errReset is the error of reads of a connection that was reset, if the socket does not return one.
var errReset = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}

// TCPState returns the state of a connection. The error wraps errors.NotSupported if it has no socket, and net.ErrClosed if this
// side has closed it.
func TCPState(c net.Conn) (uint8, error) {
	info, err := tcpInfo(c)
	if err != nil {
		return 0, err
	}
	return info.State, nil
}

// RoundTripTime returns the round-trip time of a connection, as its host has measured it. The errors are those of TCPState.
func RoundTripTime(c net.Conn) (time.Duration, error) {
	info, err := tcpInfo(c)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Rtt) * time.Microsecond, nil
}

func tcpInfo(c net.Conn) (*unix.TCPInfo, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("the state of %T", c)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return nil, err
	case infoErr != nil:
		return nil, infoErr
	default:
		return info, nil
	}
}

// Resets tracks whether one connection has failed, mostly by a reset of its peer. A write that fails takes the error from the
// socket, so that a read sees the end of the data. The zero value is ready to use.
type Resets struct {
	// writing is held during writes.
	writing sync.Mutex
	// seen is set once a write has taken the error of the socket.
	seen bool
}

// Write writes to the connection.
func (r *Resets) Write(c net.Conn, data []byte) (int, error) {
	r.writing.Lock()
	defer r.writing.Unlock()
	n, err := c.Write(data)
	var number syscall.Errno
	r.seen = r.seen || errors.As(err, &number) && number != syscall.EPIPE
	return n, err
}

// ReadError returns the error of a read of the connection. It wraps syscall.ECONNRESET in place of io.EOF if a write has seen that
// the connection failed. A reset after the end of the peer's data fails writes with syscall.EPIPE instead.
func (r *Resets) ReadError(c net.Conn, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	state, stateErr := TCPState(c)
	if closed := errors.Is(stateErr, net.ErrClosed) || stateErr == nil && state == StateClosed; !closed {
		return err
	}
	// A write in progress returns at once, since the connection is closed.
	r.writing.Lock()
	defer r.writing.Unlock()
	if r.seen {
		return errReset
	}
	return err
}

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ReportResets returns a function that dials like dial. Reads of its connections return errors as Resets.ReadError does.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: c}, nil
	}
}

// resetConn is a connection whose reads return errors as Resets.ReadError does.
type resetConn struct {
	net.Conn
	resets Resets
}

// Read reads from the connection.
func (c *resetConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	return n, c.resets.ReadError(c.Conn, err)
}

// Write writes to the connection.
func (c *resetConn) Write(data []byte) (int, error) { return c.resets.Write(c.Conn, data) }
