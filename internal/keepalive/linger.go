package keepalive

import (
	"io"
	"net"
	"os"
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
	// minTransitTime is the time in which the end of a connection reaches a server at least, and in which what it sent before
	// arrives.
	minTransitTime = 50 * time.Millisecond
	// lingerGrace is how long a server may take to close a lingering connection after it has sent on. One that does not close
	// it then does not read its end, and notices only by a reset that it is closed.
	lingerGrace = 50 * time.Millisecond
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
	if result == outbound.CompletionReset {
		// What counts as reset must have been reset.
		_ = c.Conn.Close()
	}
	c.mutex.Lock()
	c.complete(result)
	c.mutex.Unlock()
	// A connection that is closed has no state any more, and looks like one whose close was not acknowledged.
	_ = c.Conn.Close()
}

// closeAcknowledged reports whether the server's host has acknowledged that this side of the connection is closed. It is
// false if the socket does not tell.
func (c *conn) closeAcknowledged() bool {
	state, err := outbound.TCPState(c.Conn)
	return err == nil && state == outbound.StateFinWait2
}

// awaitPeerClose waits until the server has closed or reset the connection, or sends on. In the last case the connection is
// reset when it is closed, since the server would not notice a close before it writes again.
func (c *conn) awaitPeerClose() outbound.CompletionResult {
	// A read in progress ends, and later ones fail.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	closedAt := boottime.Now()
	l := lingering{conn: c.Conn, endsAt: closedAt.Add(lingerTimeout), arrivedAt: closedAt.Add(minTransitTime)}
	if roundTrip, err := outbound.RoundTripTime(c.Conn); err == nil {
		l.arrivedAt = closedAt.Add(max(minTransitTime, 2*roundTrip))
	}
	result := l.await()
	if resettable, ok := c.Conn.(lingerSetter); ok && result == outbound.CompletionReset {
		_ = resettable.SetLinger(0)
	}
	return result
}

// lingerSetter is a connection that can be reset when it is closed.
type lingerSetter interface{ SetLinger(seconds int) error }

// lingering is what is known of a lingering connection.
type lingering struct {
	conn   net.Conn
	endsAt time.Time
	// arrivedAt is when the end of the connection has reached the server. What it sent before says nothing.
	arrivedAt time.Time
	// sentOnAt is when the server has sent on; zero if it has not.
	sentOnAt  time.Time
	discarded int
}

// await reads until the server has closed or reset the connection, or sends on, or until the connection ceases to linger.
func (l *lingering) await() outbound.CompletionResult {
	buffer := make([]byte, discardBufferSize)
	for {
		until := l.endsAt
		if !l.sentOnAt.IsZero() && l.sentOnAt.Add(lingerGrace).Before(until) {
			until = l.sentOnAt.Add(lingerGrace)
		}
		_ = l.conn.SetReadDeadline(time.Now().Add(boottime.Until(until)))
		n, err := l.conn.Read(buffer)
		l.discarded += n
		now := boottime.Now()
		if n > 0 && l.sentOnAt.IsZero() && now.After(l.arrivedAt) {
			l.sentOnAt = now
		}
		sentOn := !l.sentOnAt.IsZero() && now.Sub(l.sentOnAt) >= lingerGrace
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
			return outbound.CompletionEnded
		case sentOn, l.discarded > maxDiscarded:
			return outbound.CompletionReset
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded), !now.Before(l.endsAt):
			return outbound.CompletionUnknown
		}
	}
}
