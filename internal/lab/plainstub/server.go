// Package plainstub stands in for a plain service, such as turn submission. It
// logs every request that it runs.
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

// Execution is one line of the log.
type Execution struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Body is the request's body, by which a test knows its own requests.
	Body string `json:"body"`
}

// Server is the stand-in as an HTTP handler.
type Server struct {
	epoch   string
	work    time.Duration
	mutex   sync.Mutex
	leaving bool
	// cut ends this many requests without an answer after they ran.
	cut        int
	executions []Execution
}

// New returns a service whose requests take the given time.
func New(work time.Duration) *Server { return &Server{epoch: uuid.NewString(), work: work} }

// CutAnswers makes the next requests run without an answer.
func (server *Server) CutAnswers(count int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.cut = count
}

// SetLeaving makes the server refuse new work.
func (server *Server) SetLeaving(leaving bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.leaving = leaving
}

// Executions returns the log.
func (server *Server) Executions() []Execution {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]Execution(nil), server.executions...)
}

// ServeHTTP runs one request.
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
