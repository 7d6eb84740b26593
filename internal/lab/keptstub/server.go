// Package keptstub implements a stub of the platform's prefix store, which holds KV-cache
// blocks outside the engines. It stores the hashes and identities of blocks, not their
// contents.
package keptstub

import (
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
	"github.com/cloverrail/cloverrail/internal/lab/eventlog"
	"github.com/cloverrail/cloverrail/internal/lab/standin"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Server is the HTTP handler of the stub.
type Server struct {
	mux   *http.ServeMux
	epoch string

	mutex      sync.Mutex
	blocks     *enginemodel.PrefixStore
	identities map[prefix.Hash]string
	events     eventlog.Log
	// wrongIdentity makes the store return blocks with another identity.
	wrongIdentity bool
	fetchedBlocks int
}

// New returns an empty store with the given capacity in blocks.
func New(capacity int) *Server {
	server := &Server{mux: http.NewServeMux(), epoch: uuid.NewString(), blocks: enginemodel.NewPrefixStore(capacity), identities: map[prefix.Hash]string{}}
	server.mux.HandleFunc("POST "+engineapi.PathStoreSave, server.serveSave)
	server.mux.HandleFunc("POST "+engineapi.PathStoreFetch, server.serveFetch)
	server.mux.HandleFunc("GET "+engineapi.PathEvents, server.serveCacheEvents)
	server.mux.HandleFunc("GET "+engineapi.PathSnapshot, server.serveSnapshot)
	server.mux.HandleFunc("GET "+engineapi.PathStatus, func(writer http.ResponseWriter, _ *http.Request) { standin.WriteJSON(writer, server.currentStatus()) })
	return server
}

// ServeHTTP serves the API of the store.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// SetWrongIdentity makes the store return blocks with another identity, or ends that fault.
func (server *Server) SetWrongIdentity(wrongIdentity bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.wrongIdentity = wrongIdentity
}

// FetchedBlocks returns the number of blocks returned so far.
func (server *Server) FetchedBlocks() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.fetchedBlocks
}

func (server *Server) currentStatus() engineapi.Status { return engineapi.Status{Epoch: server.epoch} }

func (server *Server) serveSave(writer http.ResponseWriter, request *http.Request) {
	message, ok := standin.ReadJSON[engineapi.StoredBlocks](writer, request)
	if !ok {
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	chain := []prefix.Hash{}
	for _, block := range message.Blocks {
		chain = append(chain, block.Block)
		server.identities[block.Block] = block.Identity
	}
	server.blocks.Store(chain, time.Now())
	for _, event := range server.blocks.TakeEvents() {
		if event.Kind == engineapi.BlockEvicted {
			delete(server.identities, event.Block)
		}
		server.events.Append(event)
	}
}

// serveFetch returns the leading requested blocks that are stored.
func (server *Server) serveFetch(writer http.ResponseWriter, request *http.Request) {
	message, ok := standin.ReadJSON[engineapi.StoredBlocks](writer, request)
	if !ok {
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	response := engineapi.StoredBlocks{}
	for _, block := range message.Blocks {
		identity, held := server.identities[block.Block]
		if !held {
			break
		}
		if server.wrongIdentity {
			identity = "another tenant's"
		}
		response.Blocks = append(response.Blocks, engineapi.StoredBlock{Block: block.Block, Identity: identity})
	}
	server.fetchedBlocks += len(response.Blocks)
	standin.WriteJSON(writer, response)
}

func (server *Server) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	server.events.Serve(writer, request, server.currentStatus)
}

func (server *Server) serveSnapshot(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	sequence, blocks := server.blocks.Snapshot()
	standin.WriteJSON(writer, engineapi.Snapshot{Epoch: server.epoch, Sequence: sequence, Blocks: blocks})
}
