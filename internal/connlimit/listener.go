package connlimit

import (
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// Listener accepts the connections that its gate admits, and closes all others without reading from them.
type Listener struct {
	net.Listener
	Gate *Gate
	// OnTurnedAway is called with the reason for each connection that is closed unread. It must not block.
	OnTurnedAway func(reason Reason)
}

// Accept returns the next connection that the gate admits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := accept(l.Listener)
		if err != nil {
			return nil, err
		}
		reason, admitted := l.Gate.Admit()
		if admitted {
			return &conn{Conn: accepted, release: l.Gate.Release}, nil
		}
		l.OnTurnedAway(reason)
		_ = accepted.Close()
	}
}

// PersistentListener is a listener whose errors of accepting one connection do not end an http.Server.
type PersistentListener struct{ net.Listener }

// Accept returns the next connection.
func (l PersistentListener) Accept() (net.Conn, error) { return accept(l.Listener) }

// accept returns the next connection of a listener. All errors are an acceptError but that of a closed listener.
func accept(listener net.Listener) (net.Conn, error) {
	accepted, err := listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return nil, &acceptError{err}
	}
	return accepted, err
}

// acceptError is an error of accepting one connection: the network's, or a lack of a resource. http.Server logs it and goes
// on, where it would end at another error than that of a lack of descriptors.
type acceptError struct{ error }

var _ net.Error = (*acceptError)(nil)

// Unwrap returns the error of the network.
func (a *acceptError) Unwrap() error { return a.error }

// Timeout implements net.Error.
func (a *acceptError) Timeout() bool { return false }

// Temporary implements net.Error.
func (a *acceptError) Temporary() bool { return true }

// conn is an accepted connection.
type conn struct {
	net.Conn
	once    sync.Once
	release func()
}

var _ syscall.Conn = (*conn)(nil)

// SyscallConn returns the raw network connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return nil, errors.NotSupportedf("raw connection of %T", c.Conn)
	}
	return socket.SyscallConn()
}

// CloseWrite closes this side's direction of the connection.
func (c *conn) CloseWrite() error {
	closer, closes := c.Conn.(interface{ CloseWrite() error })
	if !closes {
		return errors.NotSupportedf("closing one direction of %T", c.Conn)
	}
	return closer.CloseWrite()
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
