package enginestub

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
	"github.com/cloverrail/cloverrail/internal/lab/standin"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

func notStarted(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set(engineapi.HeaderRefused, reason)
	http.Error(writer, reason, status)
}

func (server *Server) complete(writer http.ResponseWriter, request *http.Request) {
	message, ok := standin.Read[engineapi.CompletionRequest](writer, request)
	if !ok {
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

// preparedRequest is a decoded completion request with its block chain.
type work struct {
	// prompt is the prompt of the caller; input also includes the text that another
	// engine has already generated.
	prompt []byte
	text   []byte
	chain  []prefix.Hash
	// version is the model version for which importBlocks was determined.
	version      string
	importBlocks int
}

// prepare computes the block chain of a request and fetches the blocks that it may
// import. It does not start the request.
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

// writeStream writes the events of a stream from an offset on until the stream ends, the
// engine crashes, or the client disconnects. It supports one client at a time.
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
