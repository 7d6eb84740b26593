// Package engineapi defines what cloverrail and engines say to each other: the
// OpenAI-style completions calls, and side endpoints for epochs, resumption,
// cancellation, cache events, load and fenced orders.
package engineapi

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// The headers of a dispatch and of its answer.
const (
	// HeaderAttempt identifies one attempt; the engine echoes it.
	HeaderAttempt = "X-Request-Id"
	// HeaderEpoch is the engine's incarnation. The engine refuses a dispatch
	// chosen for another one, and states its own on the answer.
	HeaderEpoch = "X-Engine-Epoch"
	// HeaderWeights is the version of the weights, treated like the epoch.
	HeaderWeights = "X-Weights-Version"
	// HeaderRefused is set on an answer when the engine did not start the request.
	HeaderRefused = "X-Not-Started"
	// HeaderLastEvent is the standard header that resumes an event stream.
	HeaderLastEvent = "Last-Event-ID"
)

// The paths of the side endpoints.
const (
	PathStatus   = "/v1/status"
	PathEvents   = "/v1/cache/events"
	PathSnapshot = "/v1/cache/snapshot"
	PathStreams  = "/v1/streams/"
	PathOrders   = "/v1/orders"
	// The store's paths.
	PathKeptFetch = "/v1/kept/fetch"
	PathKeptStore = "/v1/kept/store"
)

// EventKind tells cache events apart.
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
	// Parent is the block before this one; 0 for the first block of a prompt.
	Parent prefix.Hash `json:"parent,omitempty"`
}

// EventBatch is one message of the stream of cache events. Batches come when
// there is news, and otherwise once in HeartbeatInterval.
type EventBatch struct {
	// Epoch of the engine that the events belong to.
	Epoch string `json:"epoch"`
	// Status is set on the first batch of a stream and whenever it has changed.
	Status *Status `json:"status,omitempty"`
	// Runs are the events. A first sequence above the last one plus one is a gap.
	Runs []Run `json:"runs,omitempty"`
	Load Load  `json:"load"`
}

// The pace of event streams.
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

// Load is an engine's report of its own work. It lags.
type Load struct {
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	// PrefillTokens still to be computed for admitted and waiting requests.
	PrefillTokens int `json:"prefillTokens,omitempty"`
	// EvictionAgeSeconds is how long the block evicted last had been unused;
	// 0 while nothing was evicted.
	EvictionAgeSeconds float64 `json:"evictionAgeSeconds,omitempty"`
}

// Status is an engine's account of itself.
type Status struct {
	Epoch string `json:"epoch"`
	// Weights is the loaded version of each model.
	Weights map[string]string `json:"weights"`
	// Loading says that the engine is busy loading weights.
	Loading bool `json:"loading"`
	// Leaving says that the engine will stop and wants no new work.
	Leaving bool `json:"leaving"`
	Load    Load `json:"load"`
}

// Order is a fenced command. An engine refuses a token below the highest it saw.
type Order struct {
	Token   int64  `json:"token"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Transfer tells an engine which kept-KV store to take blocks from and to give
// new ones to.
type Transfer struct {
	Store string `json:"store"`
	// ImportBlocks is how many leading blocks of the prompt the store is thought
	// to keep; 0 imports none.
	ImportBlocks int `json:"importBlocks"`
}

// KeptBlock is one block as the store keeps it, with the identity that it was
// computed for. An engine refuses a block of another identity.
type KeptBlock struct {
	Block    prefix.Hash `json:"block"`
	Parent   prefix.Hash `json:"parent"`
	Identity string      `json:"identity"`
}

// KeptBlocks is the body of calls to the store.
type KeptBlocks struct {
	Blocks []KeptBlock `json:"blocks"`
}

// Continuation asks an engine to go on with a stream that another engine began.
type Continuation struct {
	// Text is what the caller has received.
	Text string `json:"text"`
	// Offset counts the stream's events that the caller has received.
	Offset int `json:"offset"`
}
