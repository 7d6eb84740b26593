// Package weightstub implements a stub of the platform's weight store, which serves a
// limited number of engines concurrently at full speed and more of them slower.
package weightstub

import (
	"net/http"
	"sync"
	"time"
)

// Path is the URL path from which engines fetch weights.
const Path = "/weights"

const tick = 10 * time.Millisecond

// Server is the HTTP handler of the stub.
type Server struct {
	load   time.Duration
	atOnce int

	mutex   sync.Mutex
	loading int
	// peak is the highest number of concurrent loads.
	most int
}

// New returns a store from which a load takes loadTime while at most maxConcurrent engines
// load, and proportionally longer when there are more.
func New(load time.Duration, atOnce int) *Server { return &Server{load: load, atOnce: atOnce} }

// Peak returns the highest number of concurrent loads so far.
func (server *Server) Most() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.most
}

// ServeHTTP responds when the load is complete.
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

// progress returns the progress of a load per progressInterval. More than maxConcurrent
// loads share the bandwidth of maxConcurrent.
func (server *Server) progress() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return tick * time.Duration(server.atOnce) / time.Duration(max(server.atOnce, server.loading))
}
