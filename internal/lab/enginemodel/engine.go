package enginemodel

import (
	"sort"
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Config holds the speed and memory of an engine.
type Config struct {
	// StepTime is the minimum duration of a step.
	StepTime time.Duration
	// PrefillTokensPerSecond is the rate at which prompt tokens are computed.
	PrefillTokensPerSecond float64
	// DecodeTokenTime is added to a step for each sequence that decodes a token.
	DecodeTokenTime time.Duration
	// ChunkTokens is the maximum number of prompt tokens computed in one step.
	ChunkTokens int
	// MaxRunning is the maximum number of sequences in the batch.
	MaxRunning int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// BlockTokens is the number of tokens in a block.
	BlockTokens int
	// ImportTokensPerSecond is the rate of importing blocks from the prefix store.
	ImportTokensPerSecond float64
}

// Request is a completion request.
type Request struct {
	ID           string
	Chain        []prefix.Hash
	PromptTokens int
	OutputTokens int
	Priority     int
	// ImportBlocks is the number of leading blocks available in the prefix store.
	ImportBlocks int
}

// Output is the token that a step produced for one request.
type Output struct {
	ID string
	// Offset is the index of the token, from 0.
	Offset int
	Done   bool
	// RecomputedTokens is the number of prompt tokens that were computed, HitBlocks
	// the number of blocks taken from the cache.
	RecomputedTokens int
	HitBlocks        int
	// ImportedBlocks is the number of blocks imported from the prefix store.
	ImportedBlocks int
}

type sequence struct {
	request  Request
	pinned   []prefix.Hash
	hit      int
	imported int
	// importDoneAt is when the import completes.
	ready time.Time
	// prefill is the number of prompt tokens to compute.
	prefill  int
	computed int
	emitted  int
	arrival  uint64
}

// Engine is the state machine of an engine.
type Engine struct {
	config   Config
	cache    *cache
	waiting  []*sequence
	running  []*sequence
	arrivals uint64
}

// New returns an engine with an empty cache.
func New(config Config) *Engine {
	return &Engine{config: config, cache: newCache(config.CacheBlocks)}
}

// Submit queues a request behind those of the same or a higher priority.
func (engine *Engine) Submit(request Request) {
	engine.arrivals++
	engine.waiting = append(engine.waiting, &sequence{request: request, arrival: engine.arrivals})
	sort.SliceStable(engine.waiting, func(i, j int) bool {
		return engine.waiting[i].request.Priority > engine.waiting[j].request.Priority
	})
}

// Cancel removes a request from the queue or the batch.
func (engine *Engine) Cancel(id string) {
	engine.waiting = engine.without(engine.waiting, id)
	engine.running = engine.without(engine.running, id)
}

func (engine *Engine) without(sequences []*sequence, id string) []*sequence {
	kept := sequences[:0]
	for _, item := range sequences {
		if item.request.ID == id {
			engine.cache.release(item.pinned)
			continue
		}
		kept = append(kept, item)
	}
	return kept
}

// Idle reports whether no request is waiting or running.
func (engine *Engine) Idle() bool {
	return len(engine.waiting) == 0 && len(engine.running) == 0
}

// Depth returns the number of leading blocks of the chain that are cached.
func (engine *Engine) Depth(chain []prefix.Hash) int {
	return engine.cache.depth(chain)
}

// Step admits waiting requests, computes one chunk of prompt tokens, and decodes one
// token of each sequence whose prefill is complete. It returns the duration of the
// step; the outputs become visible at its end.
func (engine *Engine) Step(now time.Time) (time.Duration, []Output) {
	engine.admit(now)
	prefilled := engine.prefill(now)
	outputs := []Output{}
	decoded := 0
	for _, item := range engine.running {
		if item.computed < item.prefill {
			continue
		}
		decoded++
		output := Output{ID: item.request.ID, Offset: item.emitted, RecomputedTokens: item.prefill, HitBlocks: item.hit, ImportedBlocks: item.imported}
		item.emitted++
		output.Done = item.emitted >= item.request.OutputTokens
		outputs = append(outputs, output)
	}
	for _, output := range outputs {
		if output.Done {
			engine.running = engine.without(engine.running, output.ID)
		}
	}
	seconds := float64(prefilled) / engine.config.PrefillTokensPerSecond
	elapsed := engine.config.StepTime + time.Duration(seconds*float64(time.Second)) + time.Duration(decoded)*engine.config.DecodeTokenTime
	return elapsed, outputs
}

// admit moves waiting requests into the batch. The cache is looked up here rather
// than in Submit, since blocks may be evicted or computed while a request waits.
func (engine *Engine) admit(now time.Time) {
	for len(engine.waiting) > 0 && len(engine.running) < engine.config.MaxRunning {
		item := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		item.hit = engine.cache.depth(item.request.Chain)
		item.pinned = item.request.Chain[:item.hit]
		engine.cache.touch(item.pinned, now)
		engine.cache.pin(item.pinned)
		item.imported = max(0, min(item.request.ImportBlocks, len(item.request.Chain))-item.hit)
		if item.imported > 0 {
			seconds := float64(item.imported*engine.config.BlockTokens) / engine.config.ImportTokensPerSecond
			item.ready = now.Add(time.Duration(seconds * float64(time.Second)))
		}
		item.prefill = max(1, item.request.PromptTokens-(item.hit+item.imported)*engine.config.BlockTokens)
		engine.running = append(engine.running, item)
	}
}

// prefill computes one chunk of prompt tokens and caches each completed block.
func (engine *Engine) prefill(now time.Time) int {
	budget := engine.config.ChunkTokens
	for _, item := range engine.running {
		share := min(budget, item.prefill-item.computed)
		if share == 0 || now.Before(item.ready) {
			// An import runs concurrently with the prefill of other sequences.
			continue
		}
		before := item.computed / engine.config.BlockTokens
		item.computed += share
		budget -= share
		if after := item.computed / engine.config.BlockTokens; after > before || item.computed == item.prefill {
			engine.remember(item, now)
		}
	}
	return engine.config.ChunkTokens - budget
}

func (engine *Engine) remember(item *sequence, now time.Time) {
	whole := item.hit + item.imported + item.computed/engine.config.BlockTokens
	chain := item.request.Chain[:min(whole, len(item.request.Chain))]
	held := engine.cache.depth(chain)
	engine.cache.store(chain, now)
	engine.cache.release(chain[held:])
}

// Load returns the current load.
func (engine *Engine) Load() engineapi.Load {
	load := engineapi.Load{Running: len(engine.running), Waiting: len(engine.waiting), EvictionAgeSeconds: engine.cache.evictionAge.Seconds()}
	for _, item := range engine.running {
		load.PrefillTokens += item.prefill - item.computed
	}
	for _, item := range engine.waiting {
		load.PrefillTokens += item.request.PromptTokens - engine.cache.depth(item.request.Chain)*engine.config.BlockTokens
	}
	return load
}

// TakeEvents returns the cache events since the last call.
func (engine *Engine) TakeEvents() []engineapi.CacheEvent {
	events := engine.cache.events
	engine.cache.events = nil
	return events
}

// Snapshot returns the cached blocks, parents before children.
func (engine *Engine) Snapshot() (sequence uint64, blocks []engineapi.CacheEvent) {
	return engine.cache.snapshot()
}

// StandardConfig returns the configuration of an engine of the given speed.
func Standard(step time.Duration, prefillTokensPerSecond float64) Config {
	return Config{
		StepTime:               step,
		PrefillTokensPerSecond: prefillTokensPerSecond,
		DecodeTokenTime:        20 * time.Microsecond,
		ChunkTokens:            512,
		MaxRunning:             64,
		CacheBlocks:            160,
		BlockTokens:            1000,
		ImportTokensPerSecond:  10 * prefillTokensPerSecond,
	}
}
