// Package plainstub implements a stub of a plain service, such as turn submission. It logs
// every request that it runs.
package plainstub

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/engineapi"
)

// Execution is an entry of the log of executed requests.
type Execution struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the request body, by which tests identify their requests.
	Body string `json:"body"`
}

// Server is the HTTP handler of the stub.
type Server struct {
	epoch   string
	work    time.Duration
	mutex   sync.Mutex
	leaving bool
	// dropResponses is the number of requests whose responses will be dropped.
	cut        int
	executions []Execution
}

// New returns a service whose requests take serviceTime.
func New(work time.Duration) *Server { return &Server{epoch: uuid.NewString(), work: work} }

// DropResponses makes the server run the next count requests without responding.
func (server *Server) CutAnswers(count int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.cut = count
}

// SetDraining makes the server reject new requests.
func (server *Server) SetLeaving(leaving bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.leaving = leaving
}

// Executions returns the log of executed requests.
func (server *Server) Executions() []Execution {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]Execution(nil), server.executions...)
}

// ServeHTTP serves the status and control endpoints and runs all other requests.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case engineapi.PathStatus:
		server.mutex.Lock()
		defer server.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(engineapi.Status{Epoch: server.epoch, Leaving: server.leaving})
	case "/control/log":
		_ = json.NewEncoder(writer).Encode(server.Executions())
	case "/control/cut":
		server.CutAnswers(1)
	default:
		server.run(writer, request)
	}
}

func (server *Server) run(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	server.mutex.Lock()
	if server.leaving {
		server.mutex.Unlock()
		writer.Header().Set(engineapi.HeaderRefused, "leaving")
		http.Error(writer, "leaving", http.StatusServiceUnavailable)
		return
	}
	server.executions = append(server.executions, Execution{Method: request.Method, Path: request.URL.Path, Body: string(body)})
	cut := server.cut > 0
	if cut {
		server.cut--
	}
	server.mutex.Unlock()
	time.Sleep(server.work)
	if cut {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set(engineapi.HeaderAttempt, request.Header.Get(engineapi.HeaderAttempt))
	_, _ = writer.Write(append([]byte("done "), body...))
}
