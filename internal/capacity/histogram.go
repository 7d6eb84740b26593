package capacity

import (
	"math"
	"time"
)

const (
	// bins is the number of bins of a histogram, and binsPerOctave that between a value and its
	// double. A bin is 9 % wide, and the histogram covers 14 octaves.
	bins          = 112
	binsPerOctave = 8
	// halfLife is the time after which a sample weighs half as much.
	halfLife = time.Minute
	// retainedWeight is the weight to which old samples decay at most while no new ones arrive. It
	// keeps the first sample after a pause from outweighing all others.
	retainedWeight = 4
	// priorWeight is the weight of the service's typical value among the samples of a server. One
	// or two wrong samples do not outweigh it.
	priorWeight = 2
)

// scale is the range of a histogram: the lower edge of its first bin.
type scale float64

const (
	// rateScale covers 64 to 1,048,576 tokens per second.
	rateScale scale = 64
	// timeScale covers 4 ms to 64 s, in seconds.
	timeScale scale = 0.004
)

// bin returns the bin of a value. Values beyond the range are in the first or last bin.
func (s scale) bin(value float64) int {
	if value <= float64(s) {
		return 0
	}
	return min(int(binsPerOctave*math.Log2(value/float64(s))), bins-1)
}

// value returns the value at a position among the bins.
func (s scale) value(position float64) float64 {
	return float64(s) * math.Exp2(position/binsPerOctave)
}

// histogram is a distribution of samples whose weights decay.
type histogram struct {
	weights [bins]float32
	total   float64
	// updated is when the weights were last decayed.
	updated time.Time
}

// add adds a sample of the given weight.
func (h *histogram) add(bin int, weight float64, now time.Time) {
	h.decay(now)
	h.weights[bin] += float32(weight)
	h.total += weight
}

// decay applies the decay of the time since the last sample.
func (h *histogram) decay(now time.Time) {
	factor := decayFactor(now.Sub(h.updated), halfLife)
	if h.total > 0 {
		factor = max(factor, min(1, retainedWeight/h.total))
	}
	h.updated = now
	if factor == 1 {
		return
	}
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= float32(factor)
		h.total += float64(h.weights[i])
	}
}

// weight returns the weight of the samples at a time.
func (h *histogram) weight(now time.Time) float64 {
	if h == nil {
		return 0
	}
	return h.total * decayFactor(now.Sub(h.updated), halfLife)
}

// median returns the position of the median among the bins, of the samples together with a prior
// of the given weight in one bin. Prior weight is compared with the weight of the samples at the
// given time.
func (h *histogram) median(now time.Time, prior int, priorWeight float64) float64 {
	factor := decayFactor(now.Sub(h.updated), halfLife)
	rest := (h.total*factor + priorWeight) / 2
	for i := range h.weights {
		weight := float64(h.weights[i]) * factor
		if i == prior {
			weight += priorWeight
		}
		if weight > 0 && rest <= weight {
			return float64(i) + rest/weight
		}
		rest -= weight
	}
	return bins
}

// medianNear returns the median of the samples and of the typical value, which counts as a sample
// of the given weight. Without samples, or without a typical value, it returns the typical value.
func (h *histogram) medianNear(typical, typicalWeight float64, scale scale, now time.Time) float64 {
	if typical <= 0 || h.weight(now) == 0 {
		return typical
	}
	prior := scale.bin(typical)
	position := h.median(now, prior, typicalWeight)
	if int(position) == prior {
		return typical
	}
	return scale.value(position)
}

// decayFactor returns by how much a weight decays in a time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}
