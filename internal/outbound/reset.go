package outbound

import (
	"context"
	"io"
	"net"
	"syscall"

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
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.NotSupportedf("the state of %T", c)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return 0, err
	case infoErr != nil:
		return 0, infoErr
	default:
		return info.State, nil
	}
}

// ReadError returns the error of a read. In place of io.EOF it wraps syscall.ECONNRESET if the peer has reset the connection, and
// net.ErrClosed if this side has closed it meanwhile, as net/http does after a failed write: a write that fails with a reset
// takes the error from the socket, so that a read sees the end of the data.
func ReadError(c net.Conn, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	state, stateErr := TCPState(c)
	switch {
	case errors.Is(stateErr, net.ErrClosed):
		return stateErr
	case stateErr == nil && state == StateClosed:
		return errReset
	default:
		return err
	}
}

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ReportResets returns a function that dials like dial. Reads of its connections return errors as ReadError does.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return resetConn{c}, nil
	}
}

// resetConn is a connection whose reads return errors as ReadError does.
type resetConn struct{ net.Conn }

// Read reads from the connection.
func (c resetConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	return n, ReadError(c.Conn, err)
}
