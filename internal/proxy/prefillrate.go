package proxy

import (
	"sync"
	"time"
)

const (
	// defaultPrefillRate is the prefill rate, in tokens per second, that is assumed
	// before the first measurement.
	defaultPrefillRate = 20_000
	// minSampleTokens is the smallest prefill that is measured. Fixed overheads
	// dominate the time of shorter ones.
	minSampleTokens = 1_000
	// prefillRateGain is the weight of a new measurement in the moving average.
	prefillRateGain = 0.1
)

// prefillRate estimates the prefill rate of engines from the time to the first
// event of requests that were sent to an idle engine.
type prefillRate struct {
	mutex sync.Mutex
	mean  float64
}

func newPrefillRate() *prefillRate { return &prefillRate{mean: defaultPrefillRate} }

// observe records how long the prefill of a prompt took on an idle engine.
func (prefillRate *prefillRate) observe(tokens int, elapsed time.Duration) {
	if tokens < minSampleTokens || elapsed <= 0 {
		return
	}
	prefillRate.mutex.Lock()
	defer prefillRate.mutex.Unlock()
	prefillRate.mean += prefillRateGain * (float64(tokens)/elapsed.Seconds() - prefillRate.mean)
}

// tokensPerSecond returns the estimated rate.
func (prefillRate *prefillRate) tokensPerSecond() float64 {
	prefillRate.mutex.Lock()
	defer prefillRate.mutex.Unlock()
	return prefillRate.mean
}

// timeFor returns the estimated prefill time of a number of tokens on an idle engine.
func (prefillRate *prefillRate) timeFor(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillRate.tokensPerSecond() * float64(time.Second))
}
