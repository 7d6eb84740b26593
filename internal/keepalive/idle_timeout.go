package keepalive

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTimeout is assumed for a server that has not advertised an idle timeout.
	defaultIdleTimeout = time.Second
	// maxIdleTimeout bounds advertised idle timeouts.
	maxIdleTimeout = time.Minute
	// minClosings is the number of idle connections that a server must have closed for them to
	// count: fewer may be due to a crash.
	minClosings = 3
	// maxClosings bounds the closings that are remembered; closingTTL is how long each counts.
	maxClosings = 9
	closingTTL  = 30 * time.Second
)

// closing records an idle connection that the server closed, and how long it had been idle.
type closing struct {
	at   time.Time
	idle time.Duration
}

// IdleTimeout estimates how long a server keeps an idle connection open: as long as it advertises,
// or less if it closes connections earlier. The zero value has no observations.
type IdleTimeout struct {
	advertised time.Duration
	closings   []closing
}

// SetAdvertised sets the idle timeout that the server advertises.
func (t *IdleTimeout) SetAdvertised(timeout time.Duration) {
	t.advertised = min(timeout, maxIdleTimeout)
}

// ObserveClose records that the server closed a connection after an idle time.
func (t *IdleTimeout) ObserveClose(idle time.Duration, now time.Time) {
	t.closings = append(t.closings, closing{at: now, idle: idle})
	t.closings = t.closings[max(0, len(t.closings)-maxClosings):]
}

// Estimate returns the estimated idle timeout. Of the recent closings it uses the median, which
// closings due to a crash do not affect as long as they are the minority.
func (t *IdleTimeout) Estimate(now time.Time) time.Duration {
	timeout := defaultIdleTimeout
	if t.advertised > 0 {
		timeout = t.advertised
	}
	idleTimes := make([]time.Duration, 0, len(t.closings))
	for _, c := range t.closings {
		if now.Sub(c.at) < closingTTL {
			idleTimes = append(idleTimes, c.idle)
		}
	}
	if len(idleTimes) < minClosings {
		return timeout
	}
	slices.Sort(idleTimes)
	return min(timeout, idleTimes[len(idleTimes)/2])
}

// ParseKeepAlive returns the idle timeout in the value of a Keep-Alive header, or 0 if there is
// none.
func ParseKeepAlive(header string) time.Duration {
	for parameter := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && seconds > 0 && seconds < maxIdleTimeout.Seconds() {
			return time.Duration(seconds * float64(time.Second))
		}
	}
	return 0
}
