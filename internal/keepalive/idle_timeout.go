package keepalive

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTimeout is assumed for a server that has not advertised an idle timeout.
	assumedLife = time.Second
	// maxIdleTimeout bounds advertised idle timeouts.
	longestLife = time.Minute
	// minClosings is the number of idle connections that a server must have closed for them to
	// count: fewer may be due to a crash.
	enoughClosings = 3
	// maxClosings bounds the closings that are remembered; closingTTL is how long each counts.
	mostClosings = 9
	closingLife  = 30 * time.Second
)

// closing records an idle connection that the server closed, and how long it had been idle.
type closing struct {
	at     time.Time
	rested time.Duration
}

// IdleTimeout estimates how long a server keeps an idle connection open: as long as it advertises,
// or less if it closes connections earlier. The zero value has no observations.
type Life struct {
	told     time.Duration
	closings []closing
}

// SetAdvertised sets the idle timeout that the server advertises.
func (l *Life) Told(life time.Duration) { l.told = min(life, longestLife) }

// ObserveClose records that the server closed a connection after an idle time.
func (l *Life) Closed(rested time.Duration, now time.Time) {
	l.closings = append(l.closings, closing{at: now, rested: rested})
	l.closings = l.closings[max(0, len(l.closings)-mostClosings):]
}

// Estimate returns the estimated idle timeout. Of the recent closings it uses the median, which
// closings due to a crash do not affect as long as they are the minority.
func (l *Life) At(now time.Time) time.Duration {
	life := assumedLife
	if l.told > 0 {
		life = l.told
	}
	rests := make([]time.Duration, 0, len(l.closings))
	for _, c := range l.closings {
		if now.Sub(c.at) < closingLife {
			rests = append(rests, c.rested)
		}
	}
	if len(rests) < enoughClosings {
		return life
	}
	slices.Sort(rests)
	return min(life, rests[len(rests)/2])
}

// ParseKeepAlive returns the idle timeout in the value of a Keep-Alive header, or 0 if there is
// none.
func ToldLife(header string) time.Duration {
	for parameter := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && seconds > 0 && seconds < longestLife.Seconds() {
			return time.Duration(seconds * float64(time.Second))
		}
	}
	return 0
}
