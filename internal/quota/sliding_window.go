package quota

import "time"

const (
	// serverWindowSlots is the number of slots of a server's window. Its margin is part of the
	// tolerance that nodes leave to servers.
	serverWindowSlots = 16
	// tenantWindowSlots is the number of slots of a tenant's window: the sum covers at most a
	// sixty-third more than the window. With 16 slots it covered 6.7 % too much.
	tenantWindowSlots = 64
)

// slidingWindow is a sum over the last length of time. The oldest slot is counted in full,
// including the part that is older than length.
type slidingWindow struct {
	length time.Duration
	slots  []float64
	sum    float64
	// newest numbers the slot that is being filled.
	newest int64
}

// newSlidingWindow returns an empty window that is divided into a number of slots.
func newSlidingWindow(length time.Duration, slots int) slidingWindow {
	return slidingWindow{length: length, slots: make([]float64, slots)}
}

// add records an amount; a negative one reverts a recorded amount.
func (w *slidingWindow) add(amount float64, now time.Time) {
	w.advance(now)
	*w.slot(w.newest) += amount
	w.sum += amount
}

// at returns the sum at a time.
func (w *slidingWindow) at(now time.Time) float64 {
	w.advance(now)
	return max(0, w.sum)
}

func (w *slidingWindow) slot(number int64) *float64 { return &w.slots[number%int64(len(w.slots))] }

// advance drops expired slots.
func (w *slidingWindow) advance(now time.Time) {
	count := int64(len(w.slots))
	current := now.UnixNano() / (int64(w.length) / (count - 1))
	if current-w.newest >= count {
		clear(w.slots)
		w.sum, w.newest = 0, current
		return
	}
	for w.newest < current {
		w.newest++
		w.sum -= *w.slot(w.newest)
		*w.slot(w.newest) = 0
	}
}
