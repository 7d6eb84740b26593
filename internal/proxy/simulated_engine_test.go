package proxy

import (
	"container/heap"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

// simulatedTime is a clock that advances from event to event.
type simulatedTime struct {
	now      time.Time
	events   eventHeap
	sequence int
}

type simulatedEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []simulatedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(event any) {
	*h = append(*h, event.(simulatedEvent))
}
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newSimulatedTime replaces the clock of the process until the test ends.
func newSimulatedTime(cleanup func(func())) *simulatedTime {
	simulated := &simulatedTime{now: time.Unix(1_000_000, 0)}
	cleanup(boottime.ReplaceClock(boottime.New(boottime.Source{
		Now:      func() time.Time { return simulated.now },
		WallLead: func(time.Time, time.Time) time.Duration { return 0 },
		Boot:     func() (time.Duration, error) { return 0, errors.New("no boot clock") },
	})))
	return simulated
}

// after runs a function at a later time.
func (s *simulatedTime) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simulatedEvent{at: s.now.Add(delay), sequence: s.sequence, run: run})
}

// runFor runs the events of a time.
func (s *simulatedTime) runFor(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		event := heap.Pop(&s.events).(simulatedEvent)
		s.now = event.at
		event.run()
	}
	s.now = end
}

const (
	// engineRate is the prefill rate of an engine of speed 1 in tokens per second, engineChunk the
	// number of tokens that it computes in one step, engineStep the time in which it decodes one
	// token, and engineBase the time to the first token that does not depend on the prompt.
	engineRate  = 49_600
	engineChunk = 1024
	engineStep  = 5180 * time.Microsecond
	engineBase  = 50 * time.Millisecond
)

// engineRequest is a request at a simulated engine.
type engineRequest struct {
	urgency int
	tokens  int
	output  int
	// extra is added to the time to the first token, such as that of an import.
	extra time.Duration
	// started is called at the first token, and ended at the last.
	started func()
	ended   func()
}

// engine is a simulated engine. It computes one prompt at a time, the most urgent first, and changes
// between prompts after a chunk.
type engine struct {
	time  *simulatedTime
	speed float64
	slots int
	// waiting holds the requests without a slot, and prompts those with one whose prompt is not
	// complete, both in the order of arrival.
	waiting  []*engineRequest
	prompts  []*engineRequest
	decoding int
	busy     bool
}

func (e *engine) add(request *engineRequest) {
	e.waiting = append(e.waiting, request)
	e.fillSlots()
}

// fillSlots gives free slots to the most urgent waiting requests.
func (e *engine) fillSlots() {
	for len(e.waiting) > 0 && len(e.prompts)+e.decoding < e.slots {
		i := mostUrgent(e.waiting)
		e.prompts = append(e.prompts, e.waiting[i])
		e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
	}
	if !e.busy && len(e.prompts) > 0 {
		e.computeChunk()
	}
}

// mostUrgent returns the index of the most urgent request.
func mostUrgent(requests []*engineRequest) int {
	first := 0
	for i := range requests {
		if requests[i].urgency < requests[first].urgency {
			first = i
		}
	}
	return first
}

func (e *engine) computeChunk() {
	i := mostUrgent(e.prompts)
	request := e.prompts[i]
	chunk := min(request.tokens, engineChunk)
	e.busy = true
	e.time.after(seconds(float64(chunk)/(engineRate*e.speed)*(1+0.004*float64(e.decoding))), func() {
		e.busy = false
		request.tokens -= chunk
		if request.tokens <= 0 {
			e.prompts = append(e.prompts[:i], e.prompts[i+1:]...)
			e.decode(request)
		}
		e.fillSlots()
	})
}

func (e *engine) decode(request *engineRequest) {
	e.decoding++
	e.time.after(engineBase+request.extra, func() {
		request.started()
		e.time.after(seconds(float64(request.output)*engineStep.Seconds()/e.speed), func() {
			e.decoding--
			request.ended()
			e.fillSlots()
		})
	})
}
