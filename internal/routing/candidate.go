// Package routing chooses the endpoint of one request: filter, score, pick. It
// is pure: everything it needs to know is in its arguments.
package routing

import "time"

// Candidate is an endpoint as a decision sees it.
type Candidate struct {
	Endpoint string
	Address  string
	Zone     string
	Pool     string
	Epoch    string
	// Version is the loaded version of the model, where versions are numbers.
	Version int64
	// Ready says that the model is loaded at the version in force.
	Ready bool
	// Loading says that it is busy loading weights.
	Loading bool
	Leaving bool
	Down    bool
	// Resting says that it is passed over since attempts on it have failed, and Probing that an
	// attempt is under way that shows whether it still fails.
	Resting  bool
	Probing  bool
	Excluded bool
	// RestLeft is for how long the endpoint wants no requests of this node, by its own word.
	RestLeft time.Duration
	// LimitWait is the time in which this node may send the endpoint a request, by the limit that
	// it names for all nodes together.
	LimitWait time.Duration
	// Busy says that it has just refused a request for want of room.
	Busy bool
	// Distance is how far the endpoint is: 0 the same zone, 1 the same region,
	// 2 another region.
	Distance int
	// ReplacedLoss is the share of an answer's worth, from 0 to 1, that is lost if the
	// endpoint makes it, since its weights have been replaced.
	ReplacedLoss float64
	// FailureShare is the estimated share of attempts that fail on it or that it refuses.
	FailureShare float64
	// Apart is from 0 to 1, for a request under which servers have ended: how far the endpoint is
	// from the one where it is to run, in an order of its own. 0 for all other requests.
	Apart float64
	// InFlight counts this node's attempts on the endpoint.
	InFlight int
	// Running counts the sequences that the endpoint is known to work on.
	Running int
	// Slots is how many sequences it works on at once; 0 says that it is not known.
	Slots int
	// QueuedTokens are the prompt tokens known to wait for computation.
	QueuedTokens int
	// HitBlocks is how many leading blocks of the prompt the endpoint holds.
	HitBlocks int
	// ImportBlocks is how many leading blocks it can probably take from elsewhere,
	// and ImportFrom the address to take them from, or "".
	ImportBlocks int
	ImportFrom   string
	// ImportTokensPerSecond is the speed of taking them; 0 means the request's.
	ImportTokensPerSecond float64
	// Affinity is the endpoint's rendezvous weight for the prompt's first block.
	Affinity uint64
	// AffinityRank is the endpoint's place by Affinity among those that passed
	// the filters, 0 being the first. The scheduler fills it in.
	AffinityRank int
}

// Request is what a decision needs to know of the request.
type Request struct {
	PromptTokens int
	BlockTokens  int
	// Blocks is the number of whole blocks of the prompt.
	Blocks int
	// PrefillTokensPerSecond is the pool's declared speed.
	PrefillTokensPerSecond float64
	// ImportTokensPerSecond is the speed of taking blocks from the kept-KV store; 0
	// means that there is none.
	ImportTokensPerSecond float64
	// ConcurrentPerEngine bounds InFlight; 0 means no bound.
	ConcurrentPerEngine int
	WaitWeight          float64
	WorkWeight          float64
	// Draw is a random number of this request: it chooses among few endpoints that are
	// drawn by it. 0 means that it chooses among all.
	Draw uint64
	// SlotSeconds is how long a sequence usually takes a slot of an endpoint.
	SlotSeconds float64
	// TurnSeconds is what one more running request costs the next, at servers
	// without prompts.
	TurnSeconds float64
	// Bytes is the size of the request, for what it costs to carry it far.
	Bytes int
	// FailureCost is what a failed attempt costs, in seconds.
	FailureCost float64
	// AnswerWorth is what a whole answer in time is worth, in seconds of engine time.
	AnswerWorth float64
}
