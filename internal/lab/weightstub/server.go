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

const progressInterval = 10 * time.Millisecond

// Server is the HTTP handler of the stub.
type Server struct {
	loadTime      time.Duration
	maxConcurrent int

	mutex   sync.Mutex
	loading int
	// peak is the highest number of concurrent loads.
	peak int
}

// New returns a store from which a load takes loadTime while at most maxConcurrent engines
// load, and proportionally longer when there are more.
func New(loadTime time.Duration, maxConcurrent int) *Server {
	return &Server{loadTime: loadTime, maxConcurrent: maxConcurrent}
}

// Peak returns the highest number of concurrent loads so far.
func (server *Server) Peak() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.peak
}

// ServeHTTP responds when the load is complete.
func (server *Server) ServeHTTP(_ http.ResponseWriter, request *http.Request) {
	server.addLoading(1)
	defer server.addLoading(-1)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for remaining := server.loadTime; remaining > 0; {
		select {
		case <-ticker.C:
			remaining -= server.progress()
		case <-request.Context().Done():
			return
		}
	}
}

func (server *Server) addLoading(delta int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.loading += delta
	server.peak = max(server.peak, server.loading)
}

// progress returns the progress of a load per progressInterval. More than maxConcurrent
// loads share the bandwidth of maxConcurrent.
func (server *Server) progress() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return progressInterval * time.Duration(server.maxConcurrent) / time.Duration(max(server.maxConcurrent, server.loading))
}
