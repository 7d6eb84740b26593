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
	kept       *enginemodel.Kept
	identities map[prefix.Hash]string
	events     eventlog.Log
	// wrongIdentity makes the store return blocks with another identity.
	wrong   bool
	fetched int
}

// New returns an empty store with the given capacity in blocks.
func New(capacity int) *Server {
	server := &Server{mux: http.NewServeMux(), epoch: uuid.NewString(), kept: enginemodel.NewKept(capacity), identities: map[prefix.Hash]string{}}
	server.mux.HandleFunc("POST "+engineapi.PathKeptStore, server.store)
	server.mux.HandleFunc("POST "+engineapi.PathKeptFetch, server.fetch)
	server.mux.HandleFunc("GET "+engineapi.PathEvents, server.cacheEvents)
	server.mux.HandleFunc("GET "+engineapi.PathSnapshot, server.snapshot)
	server.mux.HandleFunc("GET "+engineapi.PathStatus, func(writer http.ResponseWriter, _ *http.Request) { standin.Answer(writer, server.status()) })
	return server
}

// ServeHTTP serves the API of the store.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.mux.ServeHTTP(writer, request)
}

// SetWrongIdentity makes the store return blocks with another identity, or ends that fault.
func (server *Server) SetWrong(wrong bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.wrong = wrong
}

// FetchedBlocks returns the number of blocks returned so far.
func (server *Server) Fetched() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.fetched
}

func (server *Server) status() engineapi.Status { return engineapi.Status{Epoch: server.epoch} }

func (server *Server) store(writer http.ResponseWriter, request *http.Request) {
	message, ok := standin.Read[engineapi.KeptBlocks](writer, request)
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
	server.kept.Store(chain, time.Now())
	for _, event := range server.kept.TakeEvents() {
		if event.Kind == engineapi.BlockEvicted {
			delete(server.identities, event.Block)
		}
		server.events.Append(event)
	}
}

// serveFetch returns the leading requested blocks that are stored.
func (server *Server) fetch(writer http.ResponseWriter, request *http.Request) {
	message, ok := standin.Read[engineapi.KeptBlocks](writer, request)
	if !ok {
		return
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	found := engineapi.KeptBlocks{}
	for _, block := range message.Blocks {
		identity, held := server.identities[block.Block]
		if !held {
			break
		}
		if server.wrong {
			identity = "another tenant's"
		}
		found.Blocks = append(found.Blocks, engineapi.KeptBlock{Block: block.Block, Identity: identity})
	}
	server.fetched += len(found.Blocks)
	standin.Answer(writer, found)
}

func (server *Server) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	server.events.Serve(writer, request, server.status)
}

func (server *Server) snapshot(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	sequence, blocks := server.kept.Snapshot()
	standin.Answer(writer, engineapi.Snapshot{Epoch: server.epoch, Sequence: sequence, Blocks: blocks})
}
