package admission

import (
	"fmt"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/failure"
)

const (
	// memoryShare is the share of a node's memory that requests may hold. The heap grows to 1.5 times
	// the live bytes between garbage collections; the rest is for the node's state, for responses
	// and for connections.
	memoryShare = 0.25
	// minMemoryRetryAfter and maxMemoryRetryAfter bound the retry delay of a refused client.
	minMemoryRetryAfter = 100 * time.Millisecond
	maxMemoryRetryAfter = time.Second
)

// MemoryBudget bounds the bytes that a node holds for requests. It is safe for concurrent use. A nil
// budget counts nothing and has no bound.
type MemoryBudget struct {
	// limit is the bound in bytes; 0 means none.
	limit int64
	// whole is the budget of which this one is a part; nil if it is none.
	whole *MemoryBudget

	mutex sync.Mutex
	held  int64
	// meanHoldTime is the moving average of how long a request holds its bytes, in seconds.
	meanHoldTime float64
}

// NewMemoryBudget returns the budget of a node with the given memory in bytes; 0 means no bound.
func NewMemoryBudget(memory int64) *MemoryBudget {
	return &MemoryBudget{limit: int64(memoryShare * float64(memory))}
}

// Limit returns the bound in bytes; 0 means none.
func (budget *MemoryBudget) Limit() int64 { return budget.limit }

// Held returns the number of bytes that requests hold.
func (budget *MemoryBudget) Held() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.held
}

// MemoryHold is the bytes that one request holds. The zero value holds none and counts nothing. It
// is not safe for concurrent use.
type MemoryHold struct {
	budget *MemoryBudget
	bytes  int64
	since  time.Time
}

// Reserve takes bytes from the budget. Release must be called on the returned hold when the request
// has ended.
func (budget *MemoryBudget) Reserve(bytes int64, now time.Time) (MemoryHold, *MemoryRefusal) {
	if budget == nil {
		return MemoryHold{}, nil
	}
	hold := MemoryHold{budget: budget, since: now}
	if refusal := hold.Grow(bytes); refusal != nil {
		return MemoryHold{}, refusal
	}
	return hold, nil
}

// Grow takes more bytes from the budget. After a refusal the hold is as before.
func (hold *MemoryHold) Grow(bytes int64) *MemoryRefusal {
	budget := hold.budget
	if budget == nil {
		return nil
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.limit > 0 && bytes > budget.limit-budget.held {
		return budget.refusal(bytes)
	}
	budget.held += bytes
	hold.bytes += bytes
	return nil
}

// refuse returns the refusal of bytes.
func (budget *MemoryBudget) refuse(bytes int64) *MemoryRefusal {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.refusal(bytes)
}

// refusal returns the refusal of bytes. The caller must hold the mutex.
func (budget *MemoryBudget) refusal(bytes int64) *MemoryRefusal {
	return &MemoryRefusal{Wanted: bytes, Held: budget.held, Limit: budget.limit, RetryAfter: budget.retryAfter()}
}

// Release returns the bytes to the budget. Further calls have no effect.
func (hold *MemoryHold) Release(now time.Time) {
	budget := hold.budget
	if budget == nil {
		return
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.held -= hold.bytes
	budget.meanHoldTime += holdTimeGain * (now.Sub(hold.since).Seconds() - budget.meanHoldTime)
	hold.budget, hold.bytes = nil, 0
}

// retryAfter returns the time after which most of the bytes held now have been returned. The caller
// must hold the mutex.
func (budget *MemoryBudget) retryAfter() time.Duration {
	mean := time.Duration(budget.meanHoldTime * float64(time.Second))
	return min(max(mean, minMemoryRetryAfter), maxMemoryRetryAfter)
}

// MemoryRefusal is the refusal of bytes beyond a budget.
type MemoryRefusal struct {
	// Wanted is the number of bytes that were refused, Held the number held by all requests, and Limit
	// the bound.
	Wanted int64
	Held   int64
	Limit  int64
	// RetryAfter is the retry delay for the client.
	RetryAfter time.Duration
}

// Failure returns the failure for the client. The request has not run.
func (refusal *MemoryRefusal) Failure() *failure.Failure {
	problem := fmt.Sprintf("this node holds %d of the %d bytes that it may hold for requests, and this request needs %d more",
		refusal.Held, refusal.Limit, refusal.Wanted)
	remedy := "retry after the given delay; add nodes or memory if this persists"
	if refusal.Wanted > refusal.Limit {
		remedy = "send a shorter body, or raise the setting memoryMegabytes"
	}
	return failure.New(failure.KindMemory, problem, remedy).WithRetryAfter(refusal.RetryAfter)
}

// Error returns the text of the failure.
func (refusal *MemoryRefusal) Error() string { return refusal.Failure().Error() }
