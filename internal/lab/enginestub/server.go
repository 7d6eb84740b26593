// Package enginestub stands in for an inference engine over HTTP. It drives the
// engine model in real time and can crash, lose events, leave and be fenced.
package enginestub

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
	"github.com/cloverrail/cloverrail/internal/lab/eventlog"
	"github.com/cloverrail/cloverrail/internal/prefix"
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
	// LoadTime is how long new weights take to load.
	LoadTime time.Duration
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

// loaded ends a load; a later order for the model makes an earlier one moot.
func (server *Server) loaded(order engineapi.Order) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.loads--
	if order.Token >= server.orderToken {
		server.weights[order.Model] = order.Version
	}
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

func notStarted(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set(engineapi.HeaderRefused, reason)
	http.Error(writer, reason, status)
}

func (server *Server) complete(writer http.ResponseWriter, request *http.Request) {
	var message engineapi.CompletionRequest
	if err := json.NewDecoder(request.Body).Decode(&message); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := request.Header.Get(engineapi.HeaderAttempt)
	if attempt == "" {
		attempt = uuid.NewString()
	}
	work := server.prepare(&message)
	server.mutex.Lock()
	version := server.weights[message.Model]
	refusal := server.refusal(request, version)
	if server.mute {
		server.mutex.Unlock()
		<-request.Context().Done()
		return
	}
	if refusal != "" {
		server.mutex.Unlock()
		notStarted(writer, http.StatusConflict, refusal)
		return
	}
	opened := server.start(attempt, version, &message, work)
	server.mutex.Unlock()
	server.send(writer, request, opened, opened.base)
}

func (server *Server) refusal(request *http.Request, version string) string {
	epoch := request.Header.Get(engineapi.HeaderEpoch)
	weights := request.Header.Get(engineapi.HeaderWeights)
	switch {
	case server.leaving:
		return "leaving"
	case version == "":
		return "model not loaded"
	case epoch != "" && epoch != server.epoch:
		return "epoch mismatch"
	case weights != "" && weights != version:
		return "weights mismatch"
	default:
		return ""
	}
}

// work is what a request asks of the engine.
type work struct {
	// prompt of the caller, and with what another engine has added to it.
	prompt []byte
	text   []byte
	chain  []prefix.Hash
	// version that the import below was checked for.
	version      string
	importBlocks int
}

// prepare reads a request and fetches what it may import. Nothing starts here.
func (server *Server) prepare(message *engineapi.CompletionRequest) work {
	prepared := work{prompt: message.PromptText()}
	prepared.text = prepared.prompt
	if message.Continue != nil {
		prepared.text = append(bytes.Clone(prepared.prompt), message.Continue.Text...)
	}
	prepared.chain = prefix.Chain(message.CacheSalt, prepared.text, server.config.BlockBytes)
	server.mutex.Lock()
	prepared.version = server.weights[message.Model]
	server.mutex.Unlock()
	prepared.importBlocks = importable(message, prepared.version, prepared.chain)
	return prepared
}

func (server *Server) start(attempt, version string, message *engineapi.CompletionRequest, prepared work) *stream {
	opened := newStream(attempt, server.epoch, version, prepared.prompt, message)
	opened.chain = prepared.chain
	tokens := message.OutputLimit(defaultOutputTokens)
	if message.Continue != nil {
		opened.base = message.Continue.Offset
		tokens -= message.Continue.Offset
	}
	if prepared.version != version {
		prepared.importBlocks = 0
	}
	server.streams[attempt] = opened
	server.executions = append(server.executions, Execution{
		Attempt: attempt, User: message.User, Salt: message.CacheSalt, Model: message.Model, Version: version, At: time.Now(),
	})
	server.engine.Submit(enginemodel.Request{
		ID:           attempt,
		Chain:        prepared.chain,
		PromptTokens: len(prepared.text)/bytesPerToken + 1,
		ImportBlocks: prepared.importBlocks,
		OutputTokens: max(1, tokens),
		Priority:     message.Priority,
	})
	server.changed.Broadcast()
	return opened
}

// send writes a stream's events from an offset on until its end, a crash, or
// the caller's departure. Only one writer need be connected at a time.
func (server *Server) send(writer http.ResponseWriter, request *http.Request, source *stream, next int) {
	server.mutex.Lock()
	crashes := server.crashes
	server.mutex.Unlock()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set(engineapi.HeaderAttempt, source.attempt)
	writer.Header().Set(engineapi.HeaderEpoch, source.epoch)
	writer.Header().Set(engineapi.HeaderWeights, source.version)
	controller := http.NewResponseController(writer)
	_ = controller.Flush()
	for {
		events, done, changed := source.after(next)
		for _, data := range events {
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", next, data); err != nil {
				return
			}
			next++
		}
		if len(events) > 0 {
			_ = controller.Flush()
		}
		if done {
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-crashes:
			panic(http.ErrAbortHandler)
		}
	}
}

func (server *Server) resume(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	source, found := server.streams[request.PathValue("attempt")]
	server.mutex.Unlock()
	after, err := strconv.Atoi(request.Header.Get(engineapi.HeaderLastEvent))
	if !found || err != nil {
		http.Error(writer, "no such stream", http.StatusNotFound)
		return
	}
	server.send(writer, request, source, after+1)
}

func (server *Server) cancel(writer http.ResponseWriter, request *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	attempt := request.PathValue("attempt")
	server.engine.Cancel(attempt)
	delete(server.streams, attempt)
}

func (server *Server) status(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	answer(writer, server.account())
}

func (server *Server) account() engineapi.Status {
	return engineapi.Status{Epoch: server.epoch, Weights: maps.Clone(server.weights), Loading: server.loads > 0, Leaving: server.leaving, Load: server.engine.Load()}
}

func (server *Server) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	server.events.Serve(writer, request, func() engineapi.Status {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return server.account()
	})
}

func (server *Server) snapshot(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	sequence, blocks := server.engine.Snapshot()
	answer(writer, engineapi.Snapshot{Epoch: server.epoch, Sequence: sequence, Blocks: blocks})
}

func (server *Server) order(writer http.ResponseWriter, request *http.Request) {
	var order engineapi.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if order.Token < server.orderToken {
		http.Error(writer, fmt.Sprintf("token %d is below %d", order.Token, server.orderToken), http.StatusConflict)
		return
	}
	server.orderToken = order.Token
	if server.weights[order.Model] != order.Version {
		delete(server.weights, order.Model)
		server.loads++
		time.AfterFunc(server.config.LoadTime, func() { server.loaded(order) })
	}
	answer(writer, order)
}

func (server *Server) control(writer http.ResponseWriter, request *http.Request) {
	switch action := request.PathValue("action"); action {
	case "crash":
		server.Crash()
	case "leave":
		server.SetLeaving(true)
	case "stay":
		server.SetLeaving(false)
	case "freeze":
		server.SetFrozen(true)
	case "thaw":
		server.SetFrozen(false)
	default:
		http.Error(writer, "unknown action "+strings.ToValidUTF8(action, "?"), http.StatusNotFound)
	}
}

func (server *Server) log(writer http.ResponseWriter, _ *http.Request) {
	answer(writer, server.Executions())
}

func answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
