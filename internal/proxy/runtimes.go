package proxy

import (
	"sync"
	"time"
)

const (
	// minLongestTime is the estimate for a name of which no time is known, and the shortest one.
	minLongestTime = 100 * time.Millisecond
	// longestTimeDecay is the divisor by which a shorter time reduces the estimate.
	longestTimeDecay = 16
)

// longestTimes estimates the longest time that something takes, by the name of a service or route. Shorter times reduce the
// estimate slowly.
type longestTimes struct {
	mutex  sync.Mutex
	byName map[string]time.Duration
}

func newLongestTimes() *longestTimes { return &longestTimes{byName: map[string]time.Duration{}} }

func (c *longestTimes) observe(name string, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	estimate := c.byName[name]
	if took > estimate {
		c.byName[name] = took
		return
	}
	c.byName[name] = estimate - (estimate-took)/longestTimeDecay
}

func (c *longestTimes) estimate(name string) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(minLongestTime, c.byName[name])
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
