package overload

import "time"

const (
	// missWindow is the time over which missed targets are counted, in missBuckets parts.
	missWindow  = time.Second
	missBuckets = 8
	// enterShare is the share of missed targets of a class from which on a service is under
	// pressure, and leaveShare the share below which it no longer is. The difference keeps the
	// state from alternating.
	enterShare = 0.1
	leaveShare = 0.05
)

// bucketLength is the length of a bucket of the window.
const bucketLength = missWindow / missBuckets

// missCount counts the requests of one rank and those predicted to miss their targets.
type missCount struct{ requests, misses float64 }

func (m missCount) share() float64 {
	if m.requests == 0 {
		return 0
	}
	return m.misses / m.requests
}

// pressure tracks missed targets by rank over the last missWindow, and the state that follows.
type pressure struct {
	buckets [missBuckets][RankCount]missCount
	// newest numbers the newest bucket.
	newest int64
	state  State
	// enteredAt is when the service last came under pressure.
	enteredAt time.Time
}

// advance clears the buckets up to now, and returns how many have begun.
func (p *pressure) advance(now time.Time) int {
	current := now.UnixNano() / int64(bucketLength)
	begun := min(max(0, current-p.newest), missBuckets)
	for i := range begun {
		p.buckets[(current-i)%missBuckets] = [RankCount]missCount{}
	}
	p.newest = max(p.newest, current)
	return int(begun)
}

// count records a request.
func (p *pressure) count(rank int, missed bool) {
	c := &p.buckets[p.newest%missBuckets][rank]
	c.requests++
	if missed {
		c.misses++
	}
}

// missShare returns the share of missed targets of a rank.
func (p *pressure) missShare(rank int) float64 {
	sum := missCount{}
	for i := range p.buckets {
		sum.requests += p.buckets[i][rank].requests
		sum.misses += p.buckets[i][rank].misses
	}
	return sum.share()
}

// worstShare returns the largest share of missed targets of all ranks.
func (p *pressure) worstShare() float64 {
	worst := 0.0
	for rank := range RankCount {
		worst = max(worst, p.missShare(rank))
	}
	return worst
}

// update sets the state, and reports whether it has changed. A service stays under pressure for at
// least missWindow, so that the state changes at most twice in that time. An idle service does not
// come under pressure, and leaves it without regard to earlier misses.
func (p *pressure) update(idle bool, now time.Time) bool {
	settled := now.Sub(p.enteredAt) >= missWindow
	switch {
	case p.state == Normal && !idle && p.worstShare() >= enterShare:
		p.state, p.enteredAt = Pressure, now
		return true
	case p.state == Pressure && settled && (idle || p.worstShare() < leaveShare):
		p.state = Normal
		return true
	}
	return false
}
