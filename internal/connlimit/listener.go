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
	// OnTurnedAway is called for each connection that is closed unread. It must not block.
	OnTurnedAway func(reason Reason, arrival Arrival)
}

// Accept returns the next connection that the gate admits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		reason, admitted := l.Gate.Admit()
		if admitted {
			return &conn{Conn: accepted, release: l.Gate.Release}, nil
		}
		l.OnTurnedAway(reason, arrivalOf(accepted))
		_ = accepted.Close()
	}
}

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

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
