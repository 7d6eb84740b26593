package keepalive

import (
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/outbound"
)

const (
	// lingerTimeout bounds how long a connection lingers.
	lingerTimeout = 5 * time.Second
	// maxLingering bounds the connections of a client that linger, which hold descriptors.
	maxLingering = 256
	// lingerGrace is how long a server may go on to send after its first data on a lingering connection. One that
	// sends on does not read the end of the connection, and notices only by a reset that it is closed.
	lingerGrace = 100 * time.Millisecond
	// maxDiscarded bounds the bytes that are read from a lingering connection.
	maxDiscarded = 256 << 10
	// discardBufferSize is the size of the buffer for these bytes.
	discardBufferSize = 1 << 10
)

// halfCloser is a connection of which one direction can be closed.
type halfCloser interface{ CloseWrite() error }

// lingerers counts the lingering connections of a client.
type lingerers struct{ count atomic.Int32 }

// add reports whether one more connection may linger, which must be passed to remove later.
func (l *lingerers) add() bool {
	if l.count.Add(1) > maxLingering {
		l.count.Add(-1)
		return false
	}
	return true
}

func (l *lingerers) remove() { l.count.Add(-1) }

// linger closes the direction to the server, waits until the server has closed the other one, and closes the
// connection.
func (c *conn) linger(half halfCloser) {
	defer c.lingerers.remove()
	// It fails if the server has reset the connection, which the next read shows.
	_ = half.CloseWrite()
	result := c.awaitPeerClose()
	_ = c.Conn.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.complete(result)
}

// closeAcknowledged reports whether the server's host has acknowledged that this side of the connection is closed. It is
// false if the socket does not tell.
func (c *conn) closeAcknowledged() bool {
	state, err := outbound.TCPState(c.Conn)
	return err == nil && state == outbound.StateFinWait2
}

// awaitPeerClose waits until the server has closed or reset the connection, or sends on.
func (c *conn) awaitPeerClose() outbound.CompletionResult {
	// A read in progress ends, and later ones fail.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer, discarded, firstAt := make([]byte, discardBufferSize), 0, time.Time{}
	for {
		n, err := c.Conn.Read(buffer)
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
			return outbound.CompletionEnded
		case err != nil:
			return outbound.CompletionUnknown
		}
		now := boottime.Now()
		if firstAt.IsZero() {
			firstAt = now
		}
		if discarded += n; discarded > maxDiscarded || now.Sub(firstAt) > lingerGrace {
			return outbound.CompletionReset
		}
	}
}
