package keepalive

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// assumedLife is how long a server is taken to keep an idle connection open
	// before it has said so.
	assumedLife = time.Second
	// longestLife bounds what a server's word is taken for.
	longestLife = time.Minute
	// enoughClosings is how many idle connections a server must have closed for
	// these to count: fewer may be those of a crash.
	enoughClosings = 3
	// mostClosings bounds the closings that are remembered, and closingLife is for
	// how long one counts.
	mostClosings = 9
	closingLife  = 30 * time.Second
)

// closing is an idle connection that the server closed, and how long it had rested.
type closing struct {
	at     time.Time
	rested time.Duration
}

// Life estimates how long a server keeps an idle connection open: as long as it
// says, or less if it closes them earlier. The zero value knows nothing.
type Life struct {
	told     time.Duration
	closings []closing
}

// Told takes the server's own word.
func (l *Life) Told(life time.Duration) { l.told = min(life, longestLife) }

// Closed takes that the server closed a connection that had rested for a time.
func (l *Life) Closed(rested time.Duration, now time.Time) {
	l.closings = append(l.closings, closing{at: now, rested: rested})
	l.closings = l.closings[max(0, len(l.closings)-mostClosings):]
}

// At returns the estimate. It is the median of the closings of late, which those
// that a crash brought do not move as long as they are the fewer.
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

// ToldLife reads how long a server says that it keeps idle connections, from the
// value of the header Keep-Alive; 0 if it does not say.
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
