// Package enginestub implements a stub inference engine over HTTP. It runs the engine
// model in real time and can simulate crashes, lost cache events, draining and fenced
// orders.
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

// Config holds the settings of the stub.
type Config struct {
	Model enginemodel.Config
	// BlockBytes is the number of prompt bytes in a block.
	BlockBytes int
	// Weights maps each model to its loaded version.
	Weights map[string]string
	// EventLossRate is the fraction of cache events that are dropped.
	EventGap float64
	// WeightStore is the address from which new weights are fetched.
	WeightStore string
}

// Execution is an entry of the engine's log of started requests.
type Execution struct {
	Attempt string `json:"attempt"`
	User    string `json:"user"`
	Salt    string `json:"salt"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// At is when the engine started the request.
	At time.Time `json:"at"`
}

// Server is the HTTP handler of the stub.
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

// New returns a stub and starts its engine.
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

// ServeHTTP serves the engine API and the control endpoints.
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

// Crash simulates a restart at the same address: all state is lost.
func (server *Server) Crash() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.reset()
	server.changed.Broadcast()
}

// SetDraining makes the engine reject new requests.
func (server *Server) SetLeaving(leaving bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.leaving = leaving
}

// SetWeights switches a model to another version without loading time.
func (server *Server) SetWeights(model, version string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.weights[model] = version
}

// SetFrozen suspends or resumes the engine's steps.
func (server *Server) SetFrozen(frozen bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.frozen = frozen
	server.changed.Broadcast()
}

// SetUnresponsive makes the engine accept completion requests without ever responding,
// while its other endpoints work.
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

// run executes the engine's steps in real time.
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
