package quarantine

import (
	"math"
	"slices"
	"time"
)

// Unconfirmed reports whether a crash of a server at a given time is not certain yet, or has
// been refuted by an answer of the server.
type Unconfirmed func(server uint64, at time.Time) bool

// Verdict is the decision whether a request is quarantined.
type Verdict struct {
	Quarantined bool
	// Crashes is the number of servers known to have crashed while running the request, and Weight
	// their total weight.
	Crashes int
	Weight  float64
	// Stored reports that the quarantine comes from the shared store, independently of the
	// observations of this node.
	Stored bool
	// Ambiguous reports that another suspect request ran on each of the crashed servers.
	Ambiguous bool
	// Until is the end of the quarantine.
	Until time.Time
}

// Evaluate returns the verdict on a request. Crashes are ignored for which unconfirmed returns
// true: the server may not have crashed, or for a reason that other nodes have not reported yet.
func (l *Ledger) Evaluate(f Fingerprint, unconfirmed Unconfirmed, now time.Time) Verdict {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	h := l.histories[f]
	if h == nil {
		return Verdict{}
	}
	v := l.evaluate(f, h, unconfirmed, now)
	// If this node knows the crashes, it relies on them rather than on the store: some of the
	// servers may have answered since.
	if until := h.quarantined.at.Add(QuarantineDuration); h.quarantined.isSet() && len(h.crashes) < crashThreshold && until.After(now) {
		v.Quarantined, v.Stored, v.Until = true, true, until
	}
	return v
}

// evidence summarizes the crashes of a request.
type evidence struct {
	// crashes holds the times of confirmed crashes, in order, and crashWeight their total weight.
	crashes     []time.Time
	crashWeight float64
	// shared counts the crashes with another suspect request on the server, and soloAt is the time
	// of the first crash without one.
	shared int
	soloAt time.Time
	// lastUnconfirmed is the time of the last unconfirmed crash.
	lastUnconfirmed time.Time
}

// collectEvidence summarizes the crashes in a history.
func (l *Ledger) collectEvidence(f Fingerprint, h *history, unconfirmed Unconfirmed, now time.Time) evidence {
	var e evidence
	for server, crash := range h.crashes {
		switch {
		case now.Sub(crash.at) > crashTTL:
		case unconfirmed(server, crash.at):
			e.lastUnconfirmed = later(e.lastUnconfirmed, crash.at)
		default:
			e.crashes = append(e.crashes, crash.at)
			e.crashWeight += l.crashWeight(f, server, len(h.crashes))
			// Each crash is compared with at most crashThreshold crashes: a request that runs
			// beside several crashing ones has more crashes than each of them.
			if l.isShared(f, server, min(len(h.crashes), crashThreshold)) {
				e.shared++
			} else if e.soloAt.IsZero() || crash.at.Before(e.soloAt) {
				e.soloAt = crash.at
			}
		}
	}
	slices.SortFunc(e.crashes, time.Time.Compare)
	return e
}

// crashedAlone reports whether the request is known to have crashed a server without another
// suspect on it.
func (e *evidence) crashedAlone(now time.Time) bool {
	return !e.soloAt.IsZero() && (e.shared == 0 || now.Sub(e.soloAt) >= soloConfirmDelay)
}

// evaluate returns the verdict on a request from the observations in its history.
func (l *Ledger) evaluate(f Fingerprint, h *history, unconfirmed Unconfirmed, now time.Time) Verdict {
	e := l.collectEvidence(f, h, unconfirmed, now)
	if len(e.crashes) == 0 {
		return Verdict{}
	}
	v := Verdict{Crashes: len(e.crashes), Weight: e.crashWeight}
	last := e.crashes[len(e.crashes)-1]
	until := last.Add(QuarantineDuration)
	if weight, groups := groupedCrashWeight(e.crashes); !e.crashedAlone(now) {
		v.Weight = min(v.Weight, weight)
		// A request that crashed another server after it was isolated and returned at a time of its
		// own was not a bystander by chance.
		v.Ambiguous = groups <= crashGroupThreshold
	}
	if v.Ambiguous {
		until = later(last.Add(ambiguousDuration(f)), l.pendingUntil(f, e, now))
	}
	if v.Weight >= crashThreshold && until.After(now) {
		v.Quarantined, v.Until = true, until
	}
	return v
}

// pendingUntil returns until when the result of the last attempt of a request remains unknown.
// After an ambiguous quarantine, a single attempt is decisive.
func (l *Ledger) pendingUntil(f Fingerprint, e evidence, now time.Time) time.Time {
	if l.pending[f] > 0 {
		return now.Add(pendingSuspicionDuration)
	}
	return e.lastUnconfirmed.Add(propagationTime)
}

// crashWeight returns the weight of a server crash for a request with the given number of
// crashes.
func (l *Ledger) crashWeight(f Fingerprint, server uint64, crashes int) float64 {
	if l.isShared(f, server, crashes) {
		return sharedWeight
	}
	return 1
}

func later(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// isShared reports whether another request with at least the given number of crashes ran on a
// server when it crashed.
func (l *Ledger) isShared(f Fingerprint, server uint64, crashes int) bool {
	for other := range l.byServer[server] {
		if other != f && len(l.histories[other].crashes) >= crashes {
			return true
		}
	}
	return false
}

// groupedCrashWeight returns the weight of a sequence of shared crashes, and the number of
// groups that are at least propagationTime apart. Within a group no node can isolate requests
// that ran together, so a group counts for at most half of crashThreshold however many servers
// crash.
func groupedCrashWeight(crashes []time.Time) (weight float64, groups int) {
	groupWeight := 0.0
	var groupStart time.Time
	for _, at := range crashes {
		if at.Sub(groupStart) >= propagationTime {
			groupStart, groupWeight = at, 0
			groups++
		}
		if groupWeight < crashThreshold/2.0 {
			groupWeight += sharedWeight
			weight += sharedWeight
		}
	}
	return weight, groups
}

// ambiguousDuration returns the quarantine duration of a request with only shared crashes. It
// depends on the fingerprint, so that such requests return at different times and the next
// attempt tells them apart.
func ambiguousDuration(f Fingerprint) time.Duration {
	fraction := float64(f) / math.MaxUint64
	return minAmbiguousDuration + time.Duration(fraction*float64(minAmbiguousDuration))
}

// SuspectedCrashes returns the number of servers that have crashed while running a request,
// including unresolved suspicions of this node.
func (l *Ledger) SuspectedCrashes(f Fingerprint) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := l.pending[f]
	if h := l.histories[f]; h != nil {
		count += len(h.crashes)
	}
	return count
}

// QuarantinedRequests returns the requests that this node quarantines from its own observations,
// whatever the shared store contains. Ambiguous ones are omitted: the store would keep them for
// QuarantineDuration.
func (l *Ledger) QuarantinedRequests(unconfirmed Unconfirmed, now time.Time) []Fingerprint {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var quarantined []Fingerprint
	for f, h := range l.histories {
		if len(h.crashes) < crashThreshold {
			continue
		}
		if v := l.evaluate(f, h, unconfirmed, now); v.Quarantined && !v.Ambiguous {
			quarantined = append(quarantined, f)
		}
	}
	return quarantined
}

// Cleared reports whether a request is known not to need quarantine: it had a complete response,
// or enough of its crashed servers have answered since.
func (l *Ledger) Cleared(f Fingerprint, unconfirmed Unconfirmed, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h := l.histories[f]
	if h == nil {
		return false
	}
	return h.served.isSet() || len(h.crashes) >= crashThreshold && !l.evaluate(f, h, unconfirmed, now).Quarantined
}
