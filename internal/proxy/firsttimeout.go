package proxy

import (
	"sync"
	"time"
)

const (
	// firstTimeoutQuantile is the quantile of first timeouts below which a caller's time counts as
	// shortened: first timeouts on one route differ from caller to caller.
	firstTimeoutQuantile = 0.02
	// firstTimeoutGain is the relative step by which an observation moves the estimate.
	firstTimeoutGain = 0.02
	// shortenedMargin is the fraction of the quantile that a shortened time is below.
	shortenedMargin = 0.98
	// maxTrackedRoutes bounds the routes with an estimate.
	maxTrackedRoutes = 1024
	// minFirstTimeouts is the number of observations before the estimate is used.
	minFirstTimeouts = 100
)

// firstTimeouts estimates the least time that callers of a route state on their first try. It is
// safe for concurrent use.
type firstTimeouts struct {
	mutex  sync.Mutex
	routes map[string]*firstTimeout
}

// firstTimeout is the estimate for one route.
type firstTimeout struct {
	seconds  float64
	observed int
}

func newFirstTimeouts() *firstTimeouts { return &firstTimeouts{routes: map[string]*firstTimeout{}} }

// observe records the timeout of a request, and reports whether it is shorter than those of first
// tries usually are. Shortened ones do not lower the estimate much: it is a quantile.
func (f *firstTimeouts) observe(route string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.routes[route]
	if known == nil {
		if len(f.routes) >= maxTrackedRoutes {
			clear(f.routes)
		}
		f.routes[route] = &firstTimeout{seconds: timeout.Seconds(), observed: 1}
		return false
	}
	return known.observe(timeout.Seconds())
}

func (f *firstTimeout) observe(seconds float64) bool {
	shortened := f.observed >= minFirstTimeouts && seconds < shortenedMargin*f.seconds
	f.observed++
	if seconds < f.seconds {
		f.seconds *= 1 - firstTimeoutGain*(1-firstTimeoutQuantile)
	} else {
		f.seconds *= 1 + firstTimeoutGain*firstTimeoutQuantile
	}
	return shortened
}
