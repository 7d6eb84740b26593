package clientconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/pause"
)

// closePollInterval is the interval between checks for open connections while they are closed.
const closePollInterval = 5 * time.Millisecond

// Server serves clients' connections, which a Listener must accept.
type Server struct {
	http.Server
	// open holds the open connections, and count their number.
	open  sync.Map
	count atomic.Int64
}

// NewServer returns a server of clients' connections.
func NewServer(handler http.Handler) *Server {
	s := &Server{}
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

// endIdle ends the connections that wait for their next request.
func (s *Server) endIdle() {
	s.open.Range(func(key, _ any) bool {
		if conn, isConn := key.(*Conn); isConn {
			conn.EndIdle()
		}
		return true
	})
}

// Drain stops accepting connections and closes idle ones, the others after their next response. It returns once all are
// closed, or when the context ends. Unlike http.Server.Shutdown and SetKeepAlivesEnabled, it drops no request that has
// been read, or is being read.
func (s *Server) Drain(ctx context.Context, listener net.Listener) {
	_ = listener.Close()
	for ctx.Err() == nil && s.Open() > 0 {
		s.endIdle()
		pause.For(ctx, closePollInterval)
	}
}
