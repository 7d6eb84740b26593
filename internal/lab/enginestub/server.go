// Package enginestub stands in for an inference engine over HTTP. It drives the
// engine model in real time and can crash, lose events, leave and be fenced.
package enginestub

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
	"github.com/cloverrail/cloverrail/internal/lab/eventlog"
)

const (
	defaultOutputTokens = 16
	bytesPerToken       = 4
)

// Config sets up the stand-in.
type Config struct {
	Model enginemodel.Config
	// BlockBytes is the prompt text of one block.
	BlockBytes int
	// Weights is the loaded version of each model.
	Weights map[string]string
	// EventGap is the share of cache events that are lost.
	EventGap float64
	// WeightStore is the address new weights are fetched from.
	WeightStore string
}

// Execution is one line of the engine's own log: a request that it started.
type Execution struct {
	Attempt string `json:"attempt"`
	User    string `json:"user"`
	Salt    string `json:"salt"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// At is when the engine started it.
	At time.Time `json:"at"`
}

// Server is the stand-in as an HTTP handler.
type Server struct {
	config Config
	mux    *http.ServeMux

	mutex      sync.Mutex
	changed    *sync.Cond
	engine     *enginemodel.Engine
	epoch      string
	weights    map[string]string
	leaving    bool
	loads      int
	frozen     bool
	mute       bool
	orderToken int64
	streams    map[string]*stream
	events     eventlog.Log
	executions []Execution
	crashes    chan struct{}
}

// New starts the stand-in's engine.
func New(config Config) *Server {
	server := &Server{config: config, mux: http.NewServeMux(), weights: map[string]string{}}
	for model, version := range config.Weights {
		server.weights[model] = version
	}
	server.changed = sync.NewCond(&server.mutex)
	server.reset()
	server.mux.HandleFunc("POST /v1/completions", server.complete)
	server.mux.HandleFunc("POST /v1/chat/completions", server.complete)
	server.mux.HandleFunc("GET "+engineapi.PathStreams+"{attempt}", server.resume)
	server.mux.HandleFunc("DELETE "+engineapi.PathStreams+"{attempt}", server.cancel)
	server.mux.HandleFunc("GET "+engineapi.PathStatus, server.status)
	server.mux.HandleFunc("GET "+engineapi.PathEvents, server.cacheEvents)
	server.mux.HandleFunc("GET "+engineapi.PathSnapshot, server.snapshot)
	server.mux.HandleFunc("POST "+engineapi.PathOrders, server.order)
	server.mux.HandleFunc("POST /control/{action}", server.control)
	server.mux.HandleFunc("GET /control/log", server.log)
	go server.run()
	return server
}

// ServeHTTP answers one call.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

func (server *Server) reset() {
	server.engine = enginemodel.New(server.config.Model)
	server.epoch = uuid.NewString()
	server.streams = map[string]*stream{}
	server.events.Clear()
	if server.crashes != nil {
		close(server.crashes)
	}
	server.crashes = make(chan struct{})
}

// Crash loses everything and comes back empty under the same address.
func (server *Server) Crash() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.reset()
	server.changed.Broadcast()
}

// SetLeaving makes the engine refuse new work.
func (server *Server) SetLeaving(leaving bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.leaving = leaving
}

// SetWeights loads another version at once.
func (server *Server) SetWeights(model, version string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.weights[model] = version
}

// SetFrozen stops or continues the engine's steps.
func (server *Server) SetFrozen(frozen bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.frozen = frozen
	server.changed.Broadcast()
}

// SetMute makes the engine take dispatches without ever answering them, while
// its other endpoints work.
func (server *Server) SetMute(mute bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.mute = mute
}

// Executions returns the log of started requests.
func (server *Server) Executions() []Execution {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]Execution(nil), server.executions...)
}

// run steps the engine in real time.
func (server *Server) run() {
	for {
		server.mutex.Lock()
		for server.engine.Idle() || server.frozen {
			server.changed.Wait()
		}
		stepped := server.engine
		elapsed, outputs := stepped.Step(time.Now())
		server.collectEvents()
		server.mutex.Unlock()
		time.Sleep(elapsed)
		server.mutex.Lock()
		if stepped == server.engine {
			for _, output := range outputs {
				server.deliver(output)
			}
		}
		server.changed.Broadcast()
		server.mutex.Unlock()
	}
}

func (server *Server) deliver(output enginemodel.Output) {
	if target, found := server.streams[output.ID]; found {
		target.add(output)
		if transfer := target.message.Transfer; transfer != nil && output.Offset == 0 && len(target.chain) > 0 {
			go export(transfer.Store, identityOf(target.message.CacheSalt, target.version), target.chain)
		}
	}
}

func (server *Server) collectEvents() {
	for _, event := range server.engine.TakeEvents() {
		if rand.Float64() >= server.config.EventGap {
			server.events.Append(event)
		}
	}
}
