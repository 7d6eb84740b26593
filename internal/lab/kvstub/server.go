package kvstub

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cloverrail/cloverrail/internal/kvservice"
	"github.com/cloverrail/cloverrail/internal/lab/standin"
)

// Faults are the faults that the stub injects.
type Faults struct {
	// Outage fails every call and ends every watch.
	Outage bool `json:"outage"`
	// Delay is the delay before every call.
	Delay time.Duration `json:"delay"`
	// DropResponses is the fraction of transactions that are committed but whose
	// response is dropped.
	DropResponses float64 `json:"loseAnswers"`
}

// requestsPerSecond is the rate limit of the stub.
const requestsPerSecond = 200

// Server is the HTTP handler of the stub.
type Server struct {
	store   *Store
	limiter *rate.Limiter
	mux     *http.ServeMux

	mutex  sync.Mutex
	faults Faults
	calls  map[string]int
}

// New returns an empty key-value service without faults.
func New() *Server {
	server := &Server{store: NewStore(), limiter: rate.NewLimiter(requestsPerSecond, requestsPerSecond), mux: http.NewServeMux(), calls: map[string]int{}}
	register(server, "/v3/kv/range", func(request kvservice.RangeRequest) any { return server.store.Get(request) })
	register(server, "/v3/kv/txn", func(request kvservice.TxnRequest) any { return server.store.Commit(request) })
	register(server, "/v3/lease/grant", func(request kvservice.LeaseGrantRequest) any {
		ttl := time.Duration(request.TTL) * time.Second
		return kvservice.LeaseGrantResponse{ID: server.store.grant(ttl), TTL: request.TTL}
	})
	register(server, "/v3/lease/keepalive", func(request kvservice.LeaseKeepAliveRequest) any {
		ttl := server.store.keepAlive(request.ID)
		return kvservice.LeaseKeepAliveResponse{Result: kvservice.LeaseGrantResponse{ID: request.ID, TTL: int64(ttl / time.Second)}}
	})
	server.mux.HandleFunc("/v3/watch", server.watch)
	server.mux.HandleFunc("/control/faults", server.serveFaults)
	return server
}

// SetFaults replaces the faults.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
}

// Calls returns the number of calls of a path so far.
func (server *Server) Calls(path string) int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.calls[path]
}

func (server *Server) currentFaults() Faults {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.faults
}

// ServeHTTP counts a call by its path and serves it.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	server.calls[request.URL.Path]++
	server.mutex.Unlock()
	server.mux.ServeHTTP(writer, request)
}

func register[Request any](server *Server, path string, serve func(Request) any) {
	server.mux.HandleFunc(path, func(writer http.ResponseWriter, request *http.Request) {
		faults := server.currentFaults()
		time.Sleep(faults.Delay)
		if faults.Outage || !server.limiter.Allow() {
			writeUnavailable(writer)
			return
		}
		message, ok := standin.ReadJSON[Request](writer, request)
		if !ok {
			return
		}
		response := serve(message)
		if path == "/v3/kv/txn" && rand.Float64() < faults.DropResponses {
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(response)
	})
}

func writeUnavailable(writer http.ResponseWriter) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(writer).Encode(kvservice.ErrorResponse{Message: "unavailable or over the rate limit", Code: 14})
}

func (server *Server) watch(writer http.ResponseWriter, request *http.Request) {
	var message kvservice.WatchRequest
	if server.currentFaults().Outage || json.NewDecoder(request.Body).Decode(&message) != nil {
		writeUnavailable(writer)
		return
	}
	watcher := server.store.watch(string(message.CreateRequest.Key), message.CreateRequest.StartRevision)
	defer server.store.unwatch(watcher)
	encoder := json.NewEncoder(writer)
	outageCheck := time.NewTicker(50 * time.Millisecond)
	defer outageCheck.Stop()
	for {
		select {
		case result := <-watcher.events:
			if encoder.Encode(kvservice.WatchResponse{Result: result}) != nil {
				return
			}
			_ = http.NewResponseController(writer).Flush()
		case <-outageCheck.C:
			if server.currentFaults().Outage {
				return
			}
		case <-request.Context().Done():
			return
		}
	}
}

func (server *Server) serveFaults(writer http.ResponseWriter, request *http.Request) {
	faults, ok := standin.ReadJSON[Faults](writer, request)
	if !ok {
		return
	}
	server.SetFaults(faults)
}
