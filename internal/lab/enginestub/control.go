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
		time.Sleep(weightRetryDelay)
	}
}

// weightRetryDelay is the delay before a failed fetch of weights is retried.
const weightRetryDelay = 100 * time.Millisecond

// finishLoad completes a load. Its version is used only if no later order has arrived.
func (server *Server) finishLoad(order engineapi.Order) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.activeLoads--
	if order.Token >= server.orderToken {
		server.weights[order.Model] = order.Version
	}
}

func (server *Server) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	standin.WriteJSON(writer, server.currentStatus())
}

func (server *Server) currentStatus() engineapi.Status {
	return engineapi.Status{Epoch: server.epoch, Weights: maps.Clone(server.weights), Loading: server.activeLoads > 0, Leaving: server.draining, Load: server.engine.Load()}
}

func (server *Server) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	server.events.Serve(writer, request, func() engineapi.Status {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		return server.currentStatus()
	})
}

func (server *Server) serveSnapshot(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	sequence, blocks := server.engine.Snapshot()
	standin.WriteJSON(writer, engineapi.Snapshot{Epoch: server.epoch, Sequence: sequence, Blocks: blocks})
}

func (server *Server) serveOrder(writer http.ResponseWriter, request *http.Request) {
	order, ok := standin.ReadJSON[engineapi.Order](writer, request)
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
		server.activeLoads++
		go func() {
			server.fetchWeights()
			server.finishLoad(order)
		}()
	}
	standin.WriteJSON(writer, order)
}

func (server *Server) serveControl(writer http.ResponseWriter, request *http.Request) {
	switch action := request.PathValue("action"); action {
	case "crash":
		server.Crash()
	case "leave":
		server.SetDraining(true)
	case "stay":
		server.SetDraining(false)
	case "freeze":
		server.SetFrozen(true)
	case "thaw":
		server.SetFrozen(false)
	default:
		http.Error(writer, "unknown control action "+strings.ToValidUTF8(action, "?"), http.StatusNotFound)
	}
}

func (server *Server) serveExecutions(writer http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(writer, server.Executions())
}
