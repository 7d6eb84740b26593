// Package agenda implements the event queue of discrete-event simulations.
package agenda

import (
	"container/heap"
	"time"
)

// Entry is an item that is due at a point in virtual time.
type Entry[Item any] struct {
	At       time.Time
	Item     Item
	sequence uint64
}

// Queue is a priority queue of entries ordered by time. Entries of the same time are
// returned in the order in which they were added.
type Queue[Item any] struct {
	entries      entries[Item]
	lastSequence uint64
}

// Add schedules an item.
func (queue *Queue[Item]) Add(at time.Time, item Item) {
	queue.lastSequence++
	heap.Push(&queue.entries, Entry[Item]{At: at, Item: item, sequence: queue.lastSequence})
}

// Len returns the number of entries.
func (queue *Queue[Item]) Len() int { return len(queue.entries) }

// PopUntil removes and returns the next entry unless it is after the horizon.
func (queue *Queue[Item]) PopUntil(horizon time.Time) (Entry[Item], bool) {
	if len(queue.entries) == 0 || queue.entries[0].At.After(horizon) {
		return Entry[Item]{}, false
	}
	return queue.Pop()
}

// Pop removes and returns the next entry.
func (queue *Queue[Item]) Pop() (Entry[Item], bool) {
	if len(queue.entries) == 0 {
		return Entry[Item]{}, false
	}
	return heap.Pop(&queue.entries).(Entry[Item]), true
}

type entries[Item any] []Entry[Item]

func (entries entries[Item]) Len() int { return len(entries) }

func (entries entries[Item]) Less(i, j int) bool {
	if !entries[i].At.Equal(entries[j].At) {
		return entries[i].At.Before(entries[j].At)
	}
	return entries[i].sequence < entries[j].sequence
}

func (entries entries[Item]) Swap(i, j int) { entries[i], entries[j] = entries[j], entries[i] }

func (entries *entries[Item]) Push(entry any) { *entries = append(*entries, entry.(Entry[Item])) }

func (entries *entries[Item]) Pop() any {
	old := *entries
	last := old[len(old)-1]
	*entries = old[:len(old)-1]
	return last
}
