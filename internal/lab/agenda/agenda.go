// Package agenda implements the event queue of discrete-event simulations.
package agenda

import (
	"container/heap"
	"time"
)

// Entry is an item that is due at a point in virtual time.
type Entry[Item any] struct {
	At    time.Time
	Item  Item
	order uint64
}

// Queue is a priority queue of entries ordered by time. Entries of the same time are
// returned in the order in which they were added.
type Agenda[Item any] struct {
	entries entries[Item]
	added   uint64
}

// Add schedules an item.
func (agenda *Agenda[Item]) Add(at time.Time, item Item) {
	agenda.added++
	heap.Push(&agenda.entries, Entry[Item]{At: at, Item: item, order: agenda.added})
}

// Len returns the number of entries.
func (agenda *Agenda[Item]) Len() int { return len(agenda.entries) }

// PopUntil removes and returns the next entry unless it is after the horizon.
func (agenda *Agenda[Item]) Due(horizon time.Time) (Entry[Item], bool) {
	if len(agenda.entries) == 0 || agenda.entries[0].At.After(horizon) {
		return Entry[Item]{}, false
	}
	return agenda.Next()
}

// Pop removes and returns the next entry.
func (agenda *Agenda[Item]) Next() (Entry[Item], bool) {
	if len(agenda.entries) == 0 {
		return Entry[Item]{}, false
	}
	return heap.Pop(&agenda.entries).(Entry[Item]), true
}

type entries[Item any] []Entry[Item]

func (entries entries[Item]) Len() int { return len(entries) }

func (entries entries[Item]) Less(i, j int) bool {
	if !entries[i].At.Equal(entries[j].At) {
		return entries[i].At.Before(entries[j].At)
	}
	return entries[i].order < entries[j].order
}

func (entries entries[Item]) Swap(i, j int) { entries[i], entries[j] = entries[j], entries[i] }

func (entries *entries[Item]) Push(entry any) { *entries = append(*entries, entry.(Entry[Item])) }

func (entries *entries[Item]) Pop() any {
	old := *entries
	last := old[len(old)-1]
	*entries = old[:len(old)-1]
	return last
}
