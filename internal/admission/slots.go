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
const serviceMemory = 0.1

// SlotPool is the concurrency limit of one pool on one node. Requests wait for free slots
// in a Queue. It is safe for concurrent use.
type Places struct {
	mutex   sync.Mutex
	queue   *Queue
	total   int
	taken   int
	nextID  uint64
	waiting map[uint64]chan struct{}
	// meanHoldTime is the moving average of how long a slot is held, in seconds.
	service float64
}

// NewSlotPool returns a pool of the given number of slots, all of which are free.
func NewPlaces(total int) *Places {
	return &Places{queue: NewQueue(), total: total, waiting: map[uint64]chan struct{}{}}
}

// Resize changes the number of slots.
func (places *Places) Resize(total int) {
	places.mutex.Lock()
	defer places.mutex.Unlock()
	places.total = total
	places.fill()
}

// Acquire waits for a slot until ticket.Until at the latest. A request whose estimated
// wait is longer than that is refused immediately. The returned function releases the
// slot.
func (places *Places) Acquire(ctx context.Context, ticket Ticket) (release func(), err error) {
	admitted, id, refusal := places.enter(boottime.Now(), ticket)
	if refusal != nil {
		return nil, refusal
	}
	if admitted == nil {
		return places.releaser(), nil
	}
	timer := time.NewTimer(boottime.Until(ticket.Until))
	defer timer.Stop()
	select {
	case <-admitted:
		return places.releaser(), nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if places.withdraw(id) {
		return nil, places.refusal(failure.KindQueueTimeout, "no slot became free before the queue timeout", 0)
	}
	// The request was granted a slot concurrently with the timeout.
	<-admitted
	return places.releaser(), nil
}

// acquireOrEnqueue either takes a free slot and returns a nil channel, or enqueues the
// ticket and returns a channel that is closed when the request gets a slot.
func (places *Places) enter(now time.Time, ticket Ticket) (<-chan struct{}, uint64, error) {
	places.mutex.Lock()
	defer places.mutex.Unlock()
	if places.taken < places.total && places.queue.Len() == 0 {
		places.taken++
		return nil, 0, nil
	}
	ahead := places.queue.Ahead(ticket.Tenant, ticket.Weight, ticket.Cost, ticket.Priority)
	wait := time.Duration(float64(ahead+1) * places.service / float64(max(1, places.total)) * float64(time.Second))
	if now.Add(wait).After(ticket.Until) {
		return nil, 0, places.refusal(failure.KindQueueFull, fmt.Sprintf("%d requests are queued ahead", ahead), wait)
	}
	places.nextID++
	ticket.ID = places.nextID
	admitted := make(chan struct{})
	places.waiting[ticket.ID] = admitted
	places.queue.Push(ticket)
	return admitted, ticket.ID, nil
}

func (places *Places) refusal(kind failure.Kind, problem string, wait time.Duration) error {
	return failure.New(kind, problem, "retry after the given delay").WithRetryAfter(max(wait, time.Second))
}

func (places *Places) withdraw(id uint64) bool {
	places.mutex.Lock()
	defer places.mutex.Unlock()
	if !places.queue.Remove(id) {
		return false
	}
	delete(places.waiting, id)
	return true
}

func (places *Places) releaser() func() {
	taken := boottime.Now()
	return sync.OnceFunc(func() {
		places.mutex.Lock()
		defer places.mutex.Unlock()
		places.service += serviceMemory * (boottime.Since(taken).Seconds() - places.service)
		places.taken--
		places.fill()
	})
}

func (places *Places) fill() {
	for places.taken < places.total {
		next, found := places.queue.Pop()
		if !found {
			return
		}
		places.taken++
		close(places.waiting[next.ID])
		delete(places.waiting, next.ID)
	}
}
