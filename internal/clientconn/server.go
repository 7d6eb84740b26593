package clientconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/pause"
)

// defaultUnusedTimeout is the default of Server.UnusedTimeout.
const defaultUnusedTimeout = 400 * time.Millisecond

// closePollInterval is the interval between checks for open connections while they are closed.
const closePollInterval = 5 * time.Millisecond

// Server serves clients' connections, which a Listener must accept.
type Server struct {
	http.Server
	// UnusedTimeout is how long Drain waits for the first request of a connection.
	UnusedTimeout time.Duration
	// open holds the open connections, and count their number.
	open  sync.Map
	count atomic.Int64
}

// NewServer returns a server of clients' connections.
func NewServer(handler http.Handler) *Server {
	s := &Server{UnusedTimeout: defaultUnusedTimeout}
	s.Handler = handler
	s.ConnContext, s.ConnState = WithConn, s.trackState
	return s
}

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.count.Load()) }

// trackState records changes of the state of connections.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	TrackState(conn, state)
	switch state {
	case http.StateNew:
		s.open.Store(conn, nil)
		s.count.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.open.Delete(conn)
		s.count.Add(-1)
	}
}

// endUnread ends the connections that wait for a request of which nothing has arrived.
func (s *Server) endUnread(waiting Waiting) {
	s.open.Range(func(key, _ any) bool {
		if conn, isConn := key.(*Conn); isConn {
			conn.EndUnread(waiting)
		}
		return true
	})
}

// DrainableListener is a listener that can be closed without a loss of the connections that clients have established.
type DrainableListener interface {
	// Drain closes the listener once Accept has returned these connections, or when the context ends.
	Drain(ctx context.Context) error
}

// Drain stops accepting connections, beyond those that clients have established, and closes idle ones, the others after
// their next response, or after UnusedTimeout if they bring no request. It returns once all are closed, or when the
// context ends. Unlike http.Server.Shutdown and SetKeepAlivesEnabled, it drops no request that has been read, or is being
// read.
func (s *Server) Drain(ctx context.Context, listener DrainableListener) {
	// What remains if the context ends is closed with the process.
	_ = listener.Drain(ctx)
	closedAt := boottime.Now()
	for ctx.Err() == nil && s.Open() > 0 {
		s.endUnread(WaitingIdle)
		if boottime.Since(closedAt) >= s.UnusedTimeout {
			s.endUnread(WaitingForHead)
		}
		pause.For(ctx, closePollInterval)
	}
}
