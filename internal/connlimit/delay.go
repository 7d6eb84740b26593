package connlimit

import (
	"math"
	"runtime/metrics"
	"time"
)

// latencyMetric is the distribution of the time that goroutines were runnable before they ran.
const latencyMetric = "/sched/latencies:seconds"

// DelayMeter measures how long goroutines wait for the processor.
type DelayMeter struct {
	sample []metrics.Sample
	counts []uint64
}

// NewDelayMeter returns a meter whose first interval begins now.
func NewDelayMeter() *DelayMeter {
	m := &DelayMeter{sample: []metrics.Sample{{Name: latencyMetric}}}
	m.Median()
	return m
}

// Median returns the median delay since the last call, or 0 if nothing ran.
func (m *DelayMeter) Median() time.Duration {
	metrics.Read(m.sample)
	if m.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := m.sample[0].Value.Float64Histogram()
	before := m.counts
	if len(before) != len(histogram.Counts) {
		before = make([]uint64, len(histogram.Counts))
	}
	m.counts = append([]uint64(nil), histogram.Counts...)
	return median(histogram.Buckets, before, histogram.Counts)
}

// median returns the upper bound of the bucket with the median of the counts that were added.
func median(buckets []float64, before, after []uint64) time.Duration {
	total, sum := uint64(0), uint64(0)
	for i := range after {
		total += after[i] - before[i]
	}
	for i := range after {
		sum += after[i] - before[i]
		if total > 0 && 2*sum >= total {
			// The last bucket has no upper bound.
			bound := buckets[i+1]
			if math.IsInf(bound, 1) {
				bound = buckets[i]
			}
			return time.Duration(bound * float64(time.Second))
		}
	}
	return 0
}
