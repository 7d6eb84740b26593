package clientconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Timeouts bound how long a connection waits for its client. Zero means that the timeouts of the http.Server hold.
type Timeouts struct {
	// Head bounds the time from the first byte of a request, or from the start of a connection, to the end of its head.
	Head time.Duration
	// Idle bounds the time between two requests.
	Idle time.Duration
}

// Waiting is what a connection waits for. The values are labels of metrics.
type Waiting string

const (
	// WaitingForHead is the wait for the head of a request.
	WaitingForHead Waiting = "head"
	// WaitingIdle is the wait for the next request.
	WaitingIdle Waiting = "idle"
)

// finalReadTimeout is how long a connection reads on once its wait has ended: a process that was stopped, or short of
// processor time, may find out that the deadline has passed before it reads what came in time.
const finalReadTimeout = 20 * time.Millisecond

// wait is a connection's current wait for its client.
type wait struct {
	mutex sync.Mutex
	// idle is set between the end of a request and the deadline that http.Server sets for the next one.
	idle bool
	// waiting is what the connection waits for, since a time; zero if it waits for neither.
	waiting Waiting
	since   time.Time
	// final is set once the wait has ended, and the connection reads what has arrived. unread is how many bytes had arrived
	// by then that were not read yet.
	final  bool
	unread int
	// ended is set if the node has ended the wait, and received once something of the request has been read.
	ended, received bool
}

// TrackState records that a request has ended. It is meant for http.Server.ConnState.
func TrackState(conn net.Conn, state http.ConnState) {
	c, isConn := conn.(*Conn)
	if !isConn {
		return
	}
	c.wait.mutex.Lock()
	defer c.wait.mutex.Unlock()
	c.wait.idle = state == http.StateIdle
	if c.wait.idle {
		c.head.release(false)
	}
}

// SetReadDeadline sets the read deadline. http.Server sets deadlines in the future for heads and idle connections only;
// they are replaced by the declared ones.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.wait.mutex.Lock()
	defer c.wait.mutex.Unlock()
	now := time.Now()
	c.wait.since, c.wait.final, c.wait.ended = time.Time{}, false, false
	if deadline.After(now) {
		c.wait.waiting, c.wait.since = WaitingForHead, now
		if c.wait.idle {
			c.wait.waiting, c.wait.idle, c.wait.received = WaitingIdle, false, false
		}
		if timeout := c.declaredTimeout(); timeout > 0 {
			deadline = now.Add(timeout)
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// declaredTimeout returns the timeout of the current wait, or zero. The caller holds wait.mutex.
func (c *Conn) declaredTimeout() time.Duration {
	switch timeouts := c.timeouts(); c.wait.waiting {
	case WaitingForHead:
		return timeouts.Head
	case WaitingIdle:
		return timeouts.Idle
	default:
		return 0
	}
}

// extendWait reports whether the connection may read on although its deadline has passed: a longer timeout has been
// declared meanwhile, or something may have arrived in time that was not read.
func (c *Conn) extendWait() bool {
	c.wait.mutex.Lock()
	defer c.wait.mutex.Unlock()
	if c.wait.since.IsZero() {
		return false
	}
	now := time.Now()
	deadline := c.wait.since.Add(c.declaredTimeout())
	if c.wait.ended || !deadline.After(now) {
		if c.wait.final && c.wait.unread <= 0 && !c.requestBegins() {
			if !c.wait.ended {
				c.onTimeout(c.wait.waiting)
			}
			return false
		}
		if !c.wait.final {
			c.wait.final, c.wait.unread = true, c.unread()
		}
		deadline = now.Add(finalReadTimeout)
	}
	return c.Conn.SetReadDeadline(deadline) == nil
}

// requestBegins reports whether the next request has begun to arrive since the last deadline: this process may have been
// short of processor time. The caller holds wait.mutex.
func (c *Conn) requestBegins() bool { return c.wait.waiting == WaitingIdle && c.unread() > 0 }

// EndUnread ends the connection if that is what it waits for, and nothing of the request has arrived. Closing it could lose a
// request that has arrived, or is being read meanwhile.
func (c *Conn) EndUnread(waiting Waiting) {
	c.wait.mutex.Lock()
	defer c.wait.mutex.Unlock()
	if c.wait.since.IsZero() || c.wait.waiting != waiting || c.wait.received || c.wait.ended {
		return
	}
	c.wait.ended = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// recordRead records that bytes have been read, and reports whether they may be of a head.
func (c *Conn) recordRead(n int) bool {
	c.wait.mutex.Lock()
	defer c.wait.mutex.Unlock()
	c.wait.received = true
	c.wait.unread -= n
	return !c.wait.since.IsZero()
}
