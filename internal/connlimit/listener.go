package connlimit

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Listener accepts the connections that its gate admits, and closes all others without reading from them.
type Listener struct {
	net.Listener
	Gate *Gate
	// OnTurnedAway is called for each connection that is closed unread. It must not block.
	OnTurnedAway func(reason Reason, arrival Arrival)

	// draining is set once Drain is called, and drained is called once Accept has returned the last connection.
	mutex    sync.Mutex
	draining bool
	drained  context.CancelFunc
}

// Accept returns the next connection that the gate admits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.accept()
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

// accept returns the next connection. While the listener is drained, it does not wait for one.
func (l *Listener) accept() (net.Conn, error) {
	accepted, err := accept(l.Listener)
	if err == nil {
		return accepted, nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.draining || errors.Is(err, net.ErrClosed) {
		return nil, err
	}
	accepted, err = acceptEstablished(l.Listener)
	switch {
	case errors.Is(err, unix.EAGAIN):
		_ = l.Listener.Close()
		l.drained()
		return nil, net.ErrClosed
	case err != nil:
		return nil, &acceptError{err}
	}
	return accepted, nil
}

// Drain closes the listener once Accept, which must be called until it fails, has returned the connections that clients
// have established. Closing it at once would reset them, with requests that have been sent. If the context ends before, it
// closes the listener all the same, and returns the context's error.
func (l *Listener) Drain(ctx context.Context) error {
	drained, end := context.WithCancel(context.Background())
	defer end()
	l.mutex.Lock()
	l.draining, l.drained = true, end
	l.mutex.Unlock()
	deadline, hasDeadline := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !hasDeadline {
		return l.Close()
	}
	if err := deadline.SetDeadline(time.Unix(1, 0)); err != nil {
		return errors.Trace(err)
	}
	select {
	case <-drained.Done():
		return nil
	case <-ctx.Done():
		_ = l.Close()
		return ctx.Err()
	}
}

// acceptEstablished returns a connection that has been established, or EAGAIN if there is none. Unlike Accept, it does so
// after the listener's deadline, too.
func acceptEstablished(listener net.Listener) (net.Conn, error) {
	socket, isSocket := listener.(syscall.Conn)
	if !isSocket {
		return nil, errors.NotSupportedf("raw connection of %T", listener)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	accepted, acceptErr := -1, error(unix.ECONNABORTED)
	err = raw.Control(func(descriptor uintptr) {
		for errors.Is(acceptErr, unix.ECONNABORTED) || errors.Is(acceptErr, unix.EINTR) {
			accepted, _, acceptErr = unix.Accept4(int(descriptor), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		}
	})
	if err != nil {
		return nil, err
	}
	if acceptErr != nil {
		return nil, acceptErr
	}
	file := os.NewFile(uintptr(accepted), "connection")
	defer file.Close()
	return net.FileConn(file)
}

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
