// Package engineapi defines the protocol between cloverrail and engines: the
// OpenAI-style completions calls, and control endpoints for epochs, resumption,
// cancellation, cache events, load and fenced orders.
package engineapi

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// The headers of a dispatch and of its response.
const (
	// HeaderAttempt identifies one attempt; the engine echoes it.
	HeaderAttempt = "X-Request-Id"
	// HeaderEpoch is the engine's incarnation. The engine rejects a dispatch for
	// another one, and sets its own on the response.
	HeaderEpoch = "X-Engine-Epoch"
	// HeaderWeights is the version of the weights, handled like the epoch.
	HeaderWeights = "X-Weights-Version"
	// HeaderNotStarted is set on a response if the engine did not start the request.
	HeaderNotStarted = "X-Not-Started"
	// HeaderLastEventID is the standard header that resumes an event stream.
	HeaderLastEventID = "Last-Event-ID"
)

// The paths of the control endpoints.
const (
	PathStatus   = "/v1/status"
	PathEvents   = "/v1/cache/events"
	PathSnapshot = "/v1/cache/snapshot"
	PathStreams  = "/v1/streams/"
	PathOrders   = "/v1/orders"
	// The paths of the prefix store.
	PathStoreFetch = "/v1/kept/fetch"
	PathStoreSave  = "/v1/kept/store"
)

// EventKind is the kind of a cache event.
type EventKind string

// The kinds of cache events.
const (
	BlockStored  EventKind = "stored"
	BlockEvicted EventKind = "evicted"
	CacheCleared EventKind = "cleared"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64      `json:"sequence"`
	Kind     EventKind   `json:"kind"`
	Block    prefix.Hash `json:"block,omitempty"`
	// Parent is the preceding block; 0 for the first block of a prompt.
	Parent prefix.Hash `json:"parent,omitempty"`
}

// EventBatch is one message of the cache event stream. A batch is sent when there
// are changes, and otherwise once per HeartbeatInterval.
type EventBatch struct {
	// Epoch is the engine incarnation that the events belong to.
	Epoch string `json:"epoch"`
	// Status is set on the first batch of a stream and whenever it has changed.
	Status *Status `json:"status,omitempty"`
	// Runs holds the events. If the first sequence number does not follow the last one
	// received, events were lost.
	Runs []EventRun `json:"runs,omitempty"`
	Load Load       `json:"load"`
}

// The intervals of event streams.
const (
	BatchInterval     = 100 * time.Millisecond
	HeartbeatInterval = 500 * time.Millisecond
)

// Snapshot is the whole cache of an engine, parents before children.
type Snapshot struct {
	Epoch    string       `json:"epoch"`
	Sequence uint64       `json:"sequence"`
	Blocks   []CacheEvent `json:"blocks"`
}

// Load is an engine's report of its own load, which is delayed.
type Load struct {
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	// PrefillTokens is the number of prompt tokens still to be computed for admitted
	// and waiting requests.
	PrefillTokens int `json:"prefillTokens,omitempty"`
	// EvictionAgeSeconds is how long the most recently evicted block had been
	// unused; 0 if nothing was evicted.
	EvictionAgeSeconds float64 `json:"evictionAgeSeconds,omitempty"`
}

// Status is an engine's report of its own state.
type Status struct {
	Epoch string `json:"epoch"`
	// Weights is the loaded version of each model.
	Weights map[string]string `json:"weights"`
	// Loading is set while the engine loads weights.
	Loading bool `json:"loading"`
	// Leaving is set when the engine will shut down and accepts no new work.
	Leaving bool `json:"leaving"`
	Load    Load `json:"load"`
}

// Order is a fenced command. An engine rejects a token below the highest one it
// has received.
type Order struct {
	Token   int64  `json:"token"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Transfer names the prefix store from which an engine imports blocks and to which
// it saves new ones.
type Transfer struct {
	Store string `json:"store"`
	// ImportBlocks is the number of leading prompt blocks that the store is assumed
	// to hold; 0 imports none.
	ImportBlocks int `json:"importBlocks"`
}

// StoredBlock is one block of the store, with the identity that it was computed
// for. An engine rejects a block of another identity.
type StoredBlock struct {
	Block    prefix.Hash `json:"block"`
	Parent   prefix.Hash `json:"parent"`
	Identity string      `json:"identity"`
}

// StoredBlocks is the body of calls to the store.
type StoredBlocks struct {
	Blocks []StoredBlock `json:"blocks"`
}

// Continuation asks an engine to continue a stream that another engine started.
type Continuation struct {
	// Text is the text that the caller has received.
	Text string `json:"text"`
	// Offset is the number of events of the stream that the caller has received.
	Offset int `json:"offset"`
}
