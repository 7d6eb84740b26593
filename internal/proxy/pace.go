package proxy

import (
	"sync"
	"time"
)

const (
	// assumedPrefill is the speed, in tokens a second, that engines are taken to
	// read prompts at before one was seen.
	assumedPrefill = 20_000
	// measuredTokens is the least work from which a speed is learned: below it the
	// time is that of other things.
	measuredTokens = 1_000
	// paceGain is the weight of a new measurement.
	paceGain = 0.1
)

// pace learns how fast engines read prompts, from the time to the first event
// of requests that found their engine idle.
type pace struct {
	mutex sync.Mutex
	speed float64
}

func newPace() *pace { return &pace{speed: assumedPrefill} }

// measure takes the time in which an idle engine read a prompt.
func (pace *pace) measure(tokens int, took time.Duration) {
	if tokens < measuredTokens || took <= 0 {
		return
	}
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	pace.speed += paceGain * (float64(tokens)/took.Seconds() - pace.speed)
}

// tokensPerSecond returns the learned speed.
func (pace *pace) tokensPerSecond() float64 {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	return pace.speed
}

// timeOf is how long an engine takes to read a number of tokens if it does nothing else.
func (pace *pace) timeOf(tokens int) time.Duration {
	return time.Duration(float64(tokens) / pace.tokensPerSecond() * float64(time.Second))
}
