package proxy

import (
	"sync"
	"time"
)

const (
	// defaultPrefillRate is the prefill rate, in tokens per second, that is assumed
	// before the first measurement.
	assumedPrefill = 20_000
	// minSampleTokens is the smallest prefill that is measured. Fixed overheads
	// dominate the time of shorter ones.
	measuredTokens = 1_000
	// prefillRateGain is the weight of a new measurement in the moving average.
	paceGain = 0.1
)

// prefillRate estimates the prefill rate of engines from the time to the first
// event of requests that were sent to an idle engine.
type pace struct {
	mutex sync.Mutex
	speed float64
}

func newPace() *pace { return &pace{speed: assumedPrefill} }

// observe records how long the prefill of a prompt took on an idle engine.
func (pace *pace) measure(tokens int, took time.Duration) {
	if tokens < measuredTokens || took <= 0 {
		return
	}
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	pace.speed += paceGain * (float64(tokens)/took.Seconds() - pace.speed)
}

// tokensPerSecond returns the estimated rate.
func (pace *pace) tokensPerSecond() float64 {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	return pace.speed
}

// timeFor returns the estimated prefill time of a number of tokens on an idle engine.
func (pace *pace) timeOf(tokens int) time.Duration {
	return time.Duration(float64(tokens) / pace.tokensPerSecond() * float64(time.Second))
}
