package quota

import "time"

// windowSlots is the number of slots that a window is divided into.
const windowSlots = 16

// slidingWindow is a sum over the last length of time. The oldest slot is counted in full,
// including the part that is older than length.
type window struct {
	length time.Duration
	slots  [windowSlots]float64
	sum    float64
	// newest numbers the slot that is being filled.
	newest int64
}

// add records an amount; a negative one reverts a recorded amount.
func (w *window) add(amount float64, now time.Time) {
	w.advance(now)
	w.slots[w.newest%windowSlots] += amount
	w.sum += amount
}

// at returns the sum at a time.
func (w *window) at(now time.Time) float64 {
	w.advance(now)
	return max(0, w.sum)
}

// advance drops expired slots.
func (w *window) advance(now time.Time) {
	current := now.UnixNano() / (int64(w.length) / (windowSlots - 1))
	if current-w.newest >= windowSlots {
		w.slots, w.sum, w.newest = [windowSlots]float64{}, 0, current
		return
	}
	for w.newest < current {
		w.newest++
		w.sum -= w.slots[w.newest%windowSlots]
		w.slots[w.newest%windowSlots] = 0
	}
}
