package keepalive

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

// errRested says that a kept connection has rested for too long to be used: its
// server may be closing it just now.
var errRested = errors.New("the kept connection has rested for too long")

// conn is a connection to a server that knows how long it has rested.
type conn struct {
	net.Conn
	// closed hears of a connection that the server closed while it rested.
	closed func(rested time.Duration)

	mutex sync.Mutex
	// uses counts the requests that the connection was taken for.
	uses int
	// restsSince is zero while a request is under way.
	restsSince time.Time
	expiry     *time.Timer
	expired    bool
	// refused says that the request under way must not be written.
	refused bool
	// written says that bytes of the request under way may have left.
	written bool
}

// begin takes the connection for a request, which may be written unless it is
// refused or the connection has rested for longer than the limit. It returns the
// number of the use.
func (c *conn) begin(limit time.Duration, refused bool) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.uses++
	c.written = false
	c.refused = refused || !c.restsSince.IsZero() && boottime.Since(c.restsSince) > limit
	c.restsSince = time.Time{}
	if c.expiry != nil {
		c.expiry.Stop()
	}
	return c.uses
}

// rest says that a use is over, and closes the connection after a time without
// another. The next use may have begun already: then it does nothing.
func (c *conn) rest(use int, life time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if use != c.uses {
		return
	}
	c.restsSince = boottime.Now()
	c.expiry = time.AfterFunc(life, func() { c.expire(use) })
}

func (c *conn) expire(use int) {
	c.mutex.Lock()
	due := use == c.uses && !c.restsSince.IsZero()
	c.expired = c.expired || due
	c.mutex.Unlock()
	if due {
		c.Conn.Close()
	}
}

// unsent reports whether no byte of the request under way has left.
func (c *conn) unsent() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.written
}

// Write writes to the connection, unless it has rested for too long.
func (c *conn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	if c.refused {
		c.mutex.Unlock()
		return 0, errRested
	}
	// Even a write that fails may have sent something.
	c.written = true
	c.mutex.Unlock()
	return c.Conn.Write(data)
}

// Close closes the connection, and tells if that is the server's doing.
func (c *conn) Close() error {
	c.mutex.Lock()
	since, expired := c.restsSince, c.expired
	c.restsSince = time.Time{}
	if c.expiry != nil {
		c.expiry.Stop()
	}
	c.mutex.Unlock()
	if !since.IsZero() && !expired {
		c.closed(boottime.Since(since))
	}
	return c.Conn.Close()
}
