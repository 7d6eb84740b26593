// Package routing chooses the endpoint of a request by filtering and scoring the
// candidates and picking the cheapest. Its decisions depend only on their arguments.
package routing

import "time"

// Candidate is the state of an endpoint at the time of a decision.
type Candidate struct {
	Endpoint string
	Address  string
	Zone     string
	// Pool is the pool of an engine, or the name of a plain or proxied service.
	Pool string
	// Epoch identifies the endpoint's process: the epoch that its status reports, or the instance
	// ID of a server of a proxied service.
	Epoch string
	// Version is the loaded version of the model, if versions are numeric.
	Version int64
	// Software is the version of the endpoint's software, if known.
	Software string
	// Ready is set if the model is loaded at a version that may serve.
	Ready bool
	// Loading is set while the endpoint loads weights.
	Loading bool
	// Leaving is set if the endpoint is shutting down or was drained by an operator, and Down if it
	// is unreachable.
	Leaving bool
	Down    bool
	// DownFor is the time after which the endpoint may be tried again, if Down is set and that is known.
	DownFor time.Duration
	// Detour is set if this node reaches the endpoint only through another node.
	Detour bool
	// BreakerOpen is set if the circuit breaker rejects requests after failed attempts, and
	// Probing while a probe is in flight.
	BreakerOpen bool
	Probing     bool
	Excluded    bool
	// BackoffLeft is the remaining time for which the endpoint has asked this node to send
	// no requests.
	BackoffLeft time.Duration
	// LimitWait is the time until this node may send the endpoint a request under the
	// fleet-wide request limit that the endpoint advertises.
	LimitWait time.Duration
	// Busy is set if the endpoint has recently refused a request for lack of capacity.
	Busy bool
	// NoRoom is set if the endpoint is brittle and may have no room for another request.
	NoRoom bool
	// FullNodes counts the other nodes that the endpoint has recently refused for lack of capacity.
	FullNodes int
	// Distance is 0 for an endpoint in the same zone, 1 in the same region, and 2 in
	// another region.
	Distance int
	// ReplacedLoss is the share of an answer's value, from 0 to 1, that is lost on this
	// endpoint because newer weights have been released.
	ReplacedLoss float64
	// FailureRate is the estimated share of attempts that fail or that the endpoint refuses.
	FailureRate float64
	// IsolationDistance is, for a request suspected of crashing servers, how far the endpoint is
	// from the first one in the request's own ranking, from 0 to 1. It is 0 for all other requests.
	IsolationDistance float64
	// InFlight counts this node's attempts on the endpoint.
	InFlight int
	// Running counts the sequences known to run on the endpoint.
	Running int
	// Slots is the number of sequences that the endpoint runs concurrently; 0 if unknown.
	Slots int
	// QueuedTokens counts the prompt tokens known to wait for prefill.
	QueuedTokens int
	// CacheTokens is the capacity of the endpoint's KV cache, or 0 if it does not matter.
	// ResidentTokens counts the tokens that requests in flight hold there, and SharedResidentTokens
	// those of them that this request shares.
	CacheTokens          int
	ResidentTokens       int
	SharedResidentTokens int
	// HitBlocks is the number of leading blocks of the prompt that the endpoint holds.
	HitBlocks int
	// ImportBlocks is the number of leading blocks that the endpoint can probably import,
	// and ImportFrom the address to import them from, or "".
	ImportBlocks int
	ImportFrom   string
	// ImportTokensPerSecond is the import rate; 0 means that of the Request.
	ImportTokensPerSecond float64
	// PrefillTokensPerSecond is the endpoint's prefill rate, and SlotSeconds the average time for
	// which a sequence occupies a slot there; 0 means those of the Request.
	PrefillTokensPerSecond float64
	SlotSeconds            float64
	// Affinity is the endpoint's rendezvous weight for the prompt's affinity key.
	Affinity uint64
	// AffinityRank is the endpoint's rank by Affinity among the accepted candidates,
	// starting at 0. The scheduler fills it in.
	AffinityRank int
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	PromptTokens int
	// OutputTokens is the greatest length of the answer.
	OutputTokens int
	BlockTokens  int
	// Blocks is the number of whole blocks of the prompt.
	Blocks int
	// PrefillTokensPerSecond is the prefill rate of the engines.
	PrefillTokensPerSecond float64
	// ImportTokensPerSecond is the import rate from the KV cache store; 0 means that there
	// is none.
	ImportTokensPerSecond float64
	// ConcurrentPerEngine bounds InFlight; 0 means no bound.
	ConcurrentPerEngine int
	WaitWeight          float64
	WorkWeight          float64
	// SampleSeed selects the random sample of endpoints that this request chooses from
	// while slots are scarce. 0 means that it always chooses from all endpoints.
	SampleSeed uint64
	// AvoidFull rejects endpoints that have refused other nodes for lack of capacity.
	AvoidFull bool
	// SlotSeconds is the average time for which a sequence occupies a slot.
	SlotSeconds float64
	// BaseSeconds is the part of the time to the first token that depends neither on the prompt nor
	// on other requests.
	BaseSeconds float64
	// TargetSeconds is what is left of the target time to the first token, negative if the request
	// is late. 0 means that candidates are chosen by their cost alone.
	TargetSeconds float64
	// ConcurrencyCost is the delay in seconds that each running request adds to the next
	// one, on servers of plain services.
	ConcurrencyCost float64
	// Bytes is the size of the request, which determines its transfer cost.
	Bytes int
	// FailureCost is the cost of a failed attempt, in seconds.
	FailureCost float64
	// AnswerValue is the value of a complete, timely answer, in seconds of engine time.
	AnswerValue float64
}
