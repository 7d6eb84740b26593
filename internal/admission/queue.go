// Package admission implements overload control: fleet-wide rate limits for tenants and
// a fair queue for the slots of a pool. Except for SlotPool, it does not read the clock:
// the caller passes the time.
package admission

import (
	"container/heap"
	"time"
)

// Ticket is one waiting request.
type Ticket struct {
	// ID is unique among the waiting requests.
	ID       uint64
	Tenant   string
	Weight   float64
	Priority int
	// Cost is in seconds of engine time.
	Cost float64
	// Until is when the request stops waiting for a slot.
	Until time.Time

	// finish is the virtual time at which the request would be complete, arrival its number
	// in order of arrival, and index its position in the heap.
	finish  float64
	arrival uint64
	index   int
}

// Queue orders waiting requests by priority, highest first, and within one priority by
// self-clocked fair queueing over the tenants' weights, so that a tenant that sends ten
// times its share waits behind its own requests.
type Queue struct {
	tickets ticketHeap
	byID    map[uint64]*Ticket
	// virtualTime is the finish of the last request served at each priority, and finishTimes
	// the finish of the last request of each flow, both as cost divided by weight.
	virtualTime map[int]float64
	finishTimes map[flowKey]float64
	arrivals    uint64
}

// flowKey identifies the flow of a tenant within one priority.
type flowKey struct {
	tenant   string
	priority int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{byID: map[uint64]*Ticket{}, virtualTime: map[int]float64{}, finishTimes: map[flowKey]float64{}}
}

// Len returns the number of waiting requests.
func (queue *Queue) Len() int { return len(queue.tickets) }

// Push adds a request.
func (queue *Queue) Push(ticket Ticket) {
	flow := flowKey{tenant: ticket.Tenant, priority: ticket.Priority}
	start := max(queue.virtualTime[ticket.Priority], queue.finishTimes[flow])
	ticket.finish = start + ticket.Cost/ticket.Weight
	queue.finishTimes[flow] = ticket.finish
	queue.arrivals++
	ticket.arrival = queue.arrivals
	queue.byID[ticket.ID] = &ticket
	heap.Push(&queue.tickets, &ticket)
}

// Pop removes and returns the request to serve next.
func (queue *Queue) Pop() (Ticket, bool) {
	if len(queue.tickets) == 0 {
		return Ticket{}, false
	}
	next := heap.Pop(&queue.tickets).(*Ticket)
	delete(queue.byID, next.ID)
	queue.virtualTime[next.Priority] = max(queue.virtualTime[next.Priority], next.finish)
	if len(queue.tickets) == 0 {
		// The queue is empty, so earlier use no longer counts against any tenant.
		queue.finishTimes = map[flowKey]float64{}
		queue.virtualTime = map[int]float64{}
	}
	return *next, true
}

// Remove removes a waiting request, such as one whose caller has disconnected.
func (queue *Queue) Remove(id uint64) bool {
	ticket, found := queue.byID[id]
	if !found {
		return false
	}
	delete(queue.byID, id)
	heap.Remove(&queue.tickets, ticket.index)
	return true
}

// Ahead returns how many waiting requests would be served before a new request of the
// tenant, to estimate its wait.
func (queue *Queue) Ahead(tenant string, weight, cost float64, priority int) int {
	flow := flowKey{tenant: tenant, priority: priority}
	finish := max(queue.virtualTime[priority], queue.finishTimes[flow]) + cost/weight
	ahead := 0
	for _, waiting := range queue.tickets {
		if waiting.Priority > priority || (waiting.Priority == priority && waiting.finish <= finish) {
			ahead++
		}
	}
	return ahead
}

type ticketHeap []*Ticket

func (tickets ticketHeap) Len() int { return len(tickets) }

func (tickets ticketHeap) Less(i, j int) bool {
	first, second := tickets[i], tickets[j]
	if first.Priority != second.Priority {
		return first.Priority > second.Priority
	}
	if first.finish != second.finish {
		return first.finish < second.finish
	}
	return first.arrival < second.arrival
}

func (tickets ticketHeap) Swap(i, j int) {
	tickets[i], tickets[j] = tickets[j], tickets[i]
	tickets[i].index, tickets[j].index = i, j
}

func (tickets *ticketHeap) Push(item any) {
	ticket := item.(*Ticket)
	ticket.index = len(*tickets)
	*tickets = append(*tickets, ticket)
}

func (tickets *ticketHeap) Pop() any {
	old := *tickets
	last := old[len(old)-1]
	*tickets = old[:len(old)-1]
	return last
}
