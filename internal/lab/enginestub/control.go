package enginestub

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/standin"
	"github.com/cloverrail/cloverrail/internal/lab/weightstub"
)

// fetchWeights fetches weights from the store and retries until it succeeds.
func (server *Server) fetchWeights() {
	for {
		response, err := http.Post("http://"+server.config.WeightStore+weightstub.Path, "", nil)
		if err == nil {
			_ = response.Body.Close()
			return
		}
		time.Sleep(weightRetry)
	}
}

// weightRetryDelay is the delay before a failed fetch of weights is retried.
const weightRetry = 100 * time.Millisecond

// finishLoad completes a load. Its version is used only if no later order has arrived.
func (server *Server) loaded(order engineapi.Order) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.loads--
	if order.Token >= server.orderToken {
		server.weights[order.Model] = order.Version
	}
}

func (server *Server) status(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	standin.Answer(writer, server.account())
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
	standin.Answer(writer, engineapi.Snapshot{Epoch: server.epoch, Sequence: sequence, Blocks: blocks})
}

func (server *Server) order(writer http.ResponseWriter, request *http.Request) {
	order, ok := standin.Read[engineapi.Order](writer, request)
	if !ok {
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if order.Token < server.orderToken {
		http.Error(writer, fmt.Sprintf("stale order token %d: the latest is %d", order.Token, server.orderToken), http.StatusConflict)
		return
	}
	server.orderToken = order.Token
	if server.weights[order.Model] != order.Version {
		delete(server.weights, order.Model)
		server.loads++
		go func() {
			server.fetchWeights()
			server.loaded(order)
		}()
	}
	standin.Answer(writer, order)
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
		http.Error(writer, "unknown control action "+strings.ToValidUTF8(action, "?"), http.StatusNotFound)
	}
}

func (server *Server) log(writer http.ResponseWriter, _ *http.Request) {
	standin.Answer(writer, server.Executions())
}
