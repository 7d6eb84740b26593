package proxy

import (
	"sync"
	"time"
)

const (
	// defaultCloseTime is the close time of a service of which none is known, and the shortest one.
	defaultCloseTime = 100 * time.Millisecond
	// closeTimeDecay is the divisor by which a shorter close time reduces the estimate.
	closeTimeDecay = 16
)

// closeTimes estimates how long the servers of each service take at most to end a request whose connection was closed,
// while they respond to others. Shorter times reduce the estimate slowly.
type closeTimes struct {
	mutex     sync.Mutex
	byService map[string]time.Duration
}

func newCloseTimes() *closeTimes { return &closeTimes{byService: map[string]time.Duration{}} }

func (c *closeTimes) observe(service string, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	estimate := c.byService[service]
	if took > estimate {
		c.byService[service] = took
		return
	}
	c.byService[service] = estimate - (estimate-took)/closeTimeDecay
}

func (c *closeTimes) estimate(service string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(defaultCloseTime, c.byService[service])
}

const (
	// runTimeGain is the weight of a new measurement of a run time: the mean covers about 16 runs.
	runTimeGain = 1.0 / 16
	// runTimeFactor is how many times the mean a run is expected to take at most.
	runTimeFactor = 1.5
)

// runTimes estimates how long the streams of each route take, from the placement to their end.
type runTimes struct {
	mutex   sync.Mutex
	byRoute map[string]float64
}

func newRunTimes() *runTimes { return &runTimes{byRoute: map[string]float64{}} }

func (r *runTimes) observe(route string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	mean, known := r.byRoute[route]
	if !known {
		mean = took.Seconds()
	}
	r.byRoute[route] = mean + runTimeGain*(took.Seconds()-mean)
}

// estimate returns how long a stream of a route takes at most, as expected; 0 if none is known.
func (r *runTimes) estimate(route string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return seconds(runTimeFactor * r.byRoute[route])
}
