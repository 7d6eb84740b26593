// Package weightstub stands in for the platform's weight store, which serves a few
// engines at once at full speed and more of them slower.
package weightstub

import (
	"net/http"
	"sync"
	"time"
)

// Path is where engines fetch weights.
const Path = "/weights"

const tick = 10 * time.Millisecond

// Server is the stand-in as an HTTP handler.
type Server struct {
	load   time.Duration
	atOnce int

	mutex   sync.Mutex
	loading int
	// most is the highest number that loaded together.
	most int
}

// New returns a store from which weights take the given time while at most atOnce
// engines load, and longer in proportion when there are more.
func New(load time.Duration, atOnce int) *Server { return &Server{load: load, atOnce: atOnce} }

// Most is the highest number of engines that loaded together so far.
func (server *Server) Most() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.most
}

// ServeHTTP answers once the weights are loaded.
func (server *Server) ServeHTTP(_ http.ResponseWriter, request *http.Request) {
	server.change(1)
	defer server.change(-1)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for left := server.load; left > 0; {
		select {
		case <-ticker.C:
			left -= server.progress()
		case <-request.Context().Done():
			return
		}
	}
}

func (server *Server) change(by int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.loading += by
	server.most = max(server.most, server.loading)
}

// progress is how much of a load one tick brings, shared when too many load.
func (server *Server) progress() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return tick * time.Duration(server.atOnce) / time.Duration(max(server.atOnce, server.loading))
}
