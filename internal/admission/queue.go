// Package admission decides who is served when there is more work than places:
// fleet-wide rates for each tenant, and a fair queue for the places of a pool.
// It is pure: the caller passes the time.
package admission

import (
	"container/heap"
	"time"
)

// Ticket is one waiting request.
type Ticket struct {
	// ID is unique among the waiting.
	ID       uint64
	Tenant   string
	Weight   float64
	Priority int
	// Cost in seconds of engine time.
	Cost float64
	// Until is when the request is given up on.
	Until time.Time

	finish  float64
	arrival uint64
	index   int
}

// Queue orders waiting requests: a higher priority first, and within one
// priority by start-time fair queueing over the tenants' weights, so that a
// tenant that sends ten times its share waits behind its own requests.
type Queue struct {
	tickets  ticketHeap
	byID     map[uint64]*Ticket
	virtual  map[int]float64
	finishes map[tenantClass]float64
	arrivals uint64
}

type tenantClass struct {
	tenant   string
	priority int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{byID: map[uint64]*Ticket{}, virtual: map[int]float64{}, finishes: map[tenantClass]float64{}}
}

// Len is the number waiting.
func (queue *Queue) Len() int { return len(queue.tickets) }

// Push adds a request.
func (queue *Queue) Push(ticket Ticket) {
	class := tenantClass{tenant: ticket.Tenant, priority: ticket.Priority}
	start := max(queue.virtual[ticket.Priority], queue.finishes[class])
	ticket.finish = start + ticket.Cost/ticket.Weight
	queue.finishes[class] = ticket.finish
	queue.arrivals++
	ticket.arrival = queue.arrivals
	queue.byID[ticket.ID] = &ticket
	heap.Push(&queue.tickets, &ticket)
}

// Pop takes the request to serve next.
func (queue *Queue) Pop() (Ticket, bool) {
	if len(queue.tickets) == 0 {
		return Ticket{}, false
	}
	next := heap.Pop(&queue.tickets).(*Ticket)
	delete(queue.byID, next.ID)
	queue.virtual[next.Priority] = max(queue.virtual[next.Priority], next.finish)
	if len(queue.tickets) == 0 {
		// Nobody waits: earlier use no longer counts against anyone.
		queue.finishes = map[tenantClass]float64{}
		queue.virtual = map[int]float64{}
	}
	return *next, true
}

// Remove takes a request out, such as one whose caller left.
func (queue *Queue) Remove(id uint64) bool {
	ticket, found := queue.byID[id]
	if !found {
		return false
	}
	delete(queue.byID, id)
	heap.Remove(&queue.tickets, ticket.index)
	return true
}

// Ahead counts the waiting that would be served before a new request of the
// tenant, for an honest estimate of its wait.
func (queue *Queue) Ahead(tenant string, weight, cost float64, priority int) int {
	class := tenantClass{tenant: tenant, priority: priority}
	finish := max(queue.virtual[priority], queue.finishes[class]) + cost/weight
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
