package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/failure"
)

// holdTimeGain is the weight of the newest hold time in the moving average.
const holdTimeGain = 0.1

// SlotPool is the concurrency limit of one pool on one node. Requests wait for free slots
// in a Queue. It is safe for concurrent use.
type SlotPool struct {
	mutex   sync.Mutex
	queue   *Queue
	total   int
	taken   int
	nextID  uint64
	waiting map[uint64]chan struct{}
	// meanHoldTime is the moving average of how long a slot is held, in seconds.
	meanHoldTime float64
}

// NewSlotPool returns a pool of the given number of slots, all of which are free.
func NewSlotPool(total int) *SlotPool {
	return &SlotPool{queue: NewQueue(), total: total, waiting: map[uint64]chan struct{}{}}
}

// Resize changes the number of slots.
func (pool *SlotPool) Resize(total int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.total = total
	pool.admitWaiting()
}

// Acquire waits for a slot until ticket.Until at the latest. A request whose estimated
// wait is longer than that is refused immediately. The returned function releases the
// slot.
func (pool *SlotPool) Acquire(ctx context.Context, ticket Ticket) (release func(), err error) {
	admitted, id, refusal := pool.acquireOrEnqueue(boottime.Now(), ticket)
	if refusal != nil {
		return nil, refusal
	}
	if admitted == nil {
		return pool.releaser(), nil
	}
	timer := time.NewTimer(boottime.Until(ticket.Until))
	defer timer.Stop()
	select {
	case <-admitted:
		return pool.releaser(), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if pool.dequeue(id) {
		return nil, pool.refusal(failure.KindQueueTimeout, "no slot became free before the queue timeout", 0)
	}
	// The request was granted a slot concurrently with the timeout.
	<-admitted
	return pool.releaser(), nil
}

// acquireOrEnqueue either takes a free slot and returns a nil channel, or enqueues the
// ticket and returns a channel that is closed when the request gets a slot.
func (pool *SlotPool) acquireOrEnqueue(now time.Time, ticket Ticket) (<-chan struct{}, uint64, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.taken < pool.total && pool.queue.Len() == 0 {
		pool.taken++
		return nil, 0, nil
	}
	ahead := pool.queue.Ahead(ticket.Tenant, ticket.Weight, ticket.Cost, ticket.Priority)
	wait := time.Duration(float64(ahead+1) * pool.meanHoldTime / float64(max(1, pool.total)) * float64(time.Second))
	if now.Add(wait).After(ticket.Until) {
		return nil, 0, pool.refusal(failure.KindQueueFull, fmt.Sprintf("%d requests are queued ahead", ahead), wait)
	}
	pool.nextID++
	ticket.ID = pool.nextID
	admitted := make(chan struct{})
	pool.waiting[ticket.ID] = admitted
	pool.queue.Push(ticket)
	return admitted, ticket.ID, nil
}

func (pool *SlotPool) refusal(kind failure.Kind, problem string, wait time.Duration) error {
	return failure.New(kind, problem, "retry after the given delay").WithRetryAfter(max(wait, time.Second))
}

func (pool *SlotPool) dequeue(id uint64) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if !pool.queue.Remove(id) {
		return false
	}
	delete(pool.waiting, id)
	return true
}

func (pool *SlotPool) releaser() func() {
	acquiredAt := boottime.Now()
	return sync.OnceFunc(func() {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.meanHoldTime += holdTimeGain * (boottime.Since(acquiredAt).Seconds() - pool.meanHoldTime)
		pool.taken--
		pool.admitWaiting()
	})
}

func (pool *SlotPool) admitWaiting() {
	for pool.taken < pool.total {
		next, found := pool.queue.Pop()
		if !found {
			return
		}
		pool.taken++
		close(pool.waiting[next.ID])
		delete(pool.waiting, next.ID)
	}
}
