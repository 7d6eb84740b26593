package retry

import (
	"math"
	"slices"
	"time"
)

const (
	// minLendingCapacity is the capacity from which on a budget that lends keeps part of it, keptShare, for its own requests.
	minLendingCapacity = 2
	keptShare          = 0.5
)

// Waiter is a request that waits for a retry of a budget. Requests that wait get retries in the order of Queue, and before
// all others. It is safe for concurrent use.
type Waiter struct {
	budget *Budget
	ready  chan struct{}
	begun  bool
}

// Queue adds a request that waits for a retry. Streams that have begun wait before all that have not, since their callers
// cannot begin them anew.
func (budget *Budget) Queue(begun bool) *Waiter {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	w := &Waiter{budget: budget, ready: make(chan struct{}, 1), begun: begun}
	position := len(budget.queue)
	if first := slices.IndexFunc(budget.queue, func(other *Waiter) bool { return !other.begun }); begun && first >= 0 {
		position = first
	}
	budget.queue = slices.Insert(budget.queue, position, w)
	return w
}

// Ready returns a channel that has an element when Withdraw may succeed. A retry that is earned by time alone is not announced.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Withdraw takes one retry, if the budget has one for this request and all that wait before it, and reports whether it did.
// The request waits no longer then.
func (w *Waiter) Withdraw(now time.Time) bool {
	budget := w.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(now)
	position := slices.Index(budget.queue, w)
	switch {
	case position < 0:
		return false
	case position < budget.borrowed:
		budget.borrowed--
	case !budget.take(position - budget.borrowed):
		return false
	}
	budget.queue = slices.Delete(budget.queue, position, position+1)
	return true
}

// Leave ends the wait.
func (w *Waiter) Leave() {
	budget := w.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if position := slices.Index(budget.queue, w); position >= 0 {
		budget.queue = slices.Delete(budget.queue, position, position+1)
		budget.keepSurplus()
		budget.wakeWaiters()
	}
}

// Wanted returns how many retries the requests that wait lack.
func (budget *Budget) Wanted(now time.Time) int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(now)
	return max(0, len(budget.queue)-budget.borrowed-int(budget.tokens))
}

// Lend takes up to a number of retries from the budget for the requests of another node, and returns how many. It lends none
// while requests of its own wait, and keeps part of its capacity for those that come. A budget that saves less than two lends
// at most one, and one that saves less than one draws for it.
func (budget *Budget) Lend(wanted int, now time.Time) int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.refill(now)
	if len(budget.queue) > 0 || wanted <= 0 {
		return 0
	}
	if budget.capacity() < minLendingCapacity {
		if budget.take(0) {
			return 1
		}
		return 0
	}
	lent := max(0, min(wanted, int(budget.tokens-keptShare*budget.capacity())))
	budget.tokens -= float64(lent)
	return lent
}

// Borrowed adds retries that another budget has lent to the requests that wait.
func (budget *Budget) Borrowed(retries int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.borrowed += max(0, retries)
	budget.keepSurplus()
	budget.wakeWaiters()
}

// keepSurplus saves what was lent to requests that wait no longer.
func (budget *Budget) keepSurplus() {
	surplus := max(0, budget.borrowed-len(budget.queue))
	budget.borrowed -= surplus
	budget.tokens = math.Min(budget.capacity(), budget.tokens+float64(surplus))
}

// wakeWaiters announces retries to the requests for which there are some.
func (budget *Budget) wakeWaiters() {
	ready := min(len(budget.queue), budget.borrowed+int(budget.tokens))
	for _, w := range budget.queue[:ready] {
		select {
		case w.ready <- struct{}{}:
		default:
		}
	}
}
