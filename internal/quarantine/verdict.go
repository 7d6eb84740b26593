package quarantine

import (
	"math"
	"slices"
	"time"
)

// Unconfirmed reports whether a crash of a server at a given time is not certain.
type Unsure func(server uint64, at time.Time) bool

// Verdict is the decision whether a request is quarantined.
type Verdict struct {
	Held bool
	// Crashes is the number of servers known to have crashed while running the request, and Weight
	// their total weight.
	Ends   int
	Weight float64
	// Stored reports that the quarantine comes from the shared store, independently of the
	// observations of this node.
	Stored bool
	// Ambiguous reports that another suspect request ran on each of the crashed servers.
	Company bool
	// Until is the end of the quarantine.
	Until time.Time
}

// Evaluate returns the verdict on a request. Crashes are ignored for which unconfirmed returns
// true: the server may not have crashed, or for a reason that other nodes have not reported yet.
func (l *Ledger) Judge(f Fingerprint, unsure Unsure, now time.Time) Verdict {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(now)
	known := l.histories[f]
	if known == nil {
		return Verdict{}
	}
	v := l.weigh(f, known, unsure, now)
	// If this node knows the crashes, it relies on them rather than on the store: some of the
	// servers may have answered since.
	if until := known.held.at.Add(HoldLife); known.held.known() && len(known.ends) < enoughEnds && until.After(now) {
		v.Held, v.Stored, v.Until = true, true, until
	}
	return v
}

// evidence summarizes the crashes of a request.
type evidence struct {
	// crashes holds the times of confirmed crashes, in order, and crashWeight their total weight.
	ends   []time.Time
	weight float64
	// shared counts the crashes with another suspect request on the server, and soloAt is the time
	// of the first crash without one.
	company int
	aloneAt time.Time
	// lastUnconfirmed is the time of the last unconfirmed crash.
	doubted time.Time
}

// collectEvidence summarizes the crashes in a history.
func (l *Ledger) gather(f Fingerprint, h *history, unsure Unsure, now time.Time) evidence {
	var e evidence
	for server, end := range h.ends {
		switch {
		case now.Sub(end.at) > endLife:
		case unsure(server, end.at):
			e.doubted = latest(e.doubted, end.at)
		default:
			e.ends = append(e.ends, end.at)
			e.weight += l.weight(f, server, len(h.ends))
			// Each crash is compared with at most crashThreshold crashes: a request that runs
			// beside several crashing ones has more crashes than each of them.
			if l.shared(f, server, min(len(h.ends), enoughEnds)) {
				e.company++
			} else if e.aloneAt.IsZero() || end.at.Before(e.aloneAt) {
				e.aloneAt = end.at
			}
		}
	}
	slices.SortFunc(e.ends, time.Time.Compare)
	return e
}

// crashedAlone reports whether the request is known to have crashed a server without another
// suspect on it.
func (e *evidence) alone(now time.Time) bool {
	return !e.aloneAt.IsZero() && (e.company == 0 || now.Sub(e.aloneAt) >= companyTime)
}

// evaluate returns the verdict on a request from the observations in its history.
func (l *Ledger) weigh(f Fingerprint, h *history, unsure Unsure, now time.Time) Verdict {
	e := l.gather(f, h, unsure, now)
	if len(e.ends) == 0 {
		return Verdict{}
	}
	v := Verdict{Ends: len(e.ends), Weight: e.weight}
	last := e.ends[len(e.ends)-1]
	until := last.Add(HoldLife)
	if weight, groups := companyWeight(e.ends); !e.alone(now) {
		v.Weight = min(v.Weight, weight)
		// A request that crashed another server after it was isolated and returned at a time of its
		// own was not a bystander by chance.
		v.Company = groups <= enoughGroups
	}
	if v.Company {
		until = latest(last.Add(companyHold(f)), l.awaited(f, e, now))
	}
	if v.Weight >= enoughEnds && until.After(now) {
		v.Held, v.Until = true, until
	}
	return v
}

// pendingUntil returns until when the result of the last attempt of a request remains unknown.
// After an ambiguous quarantine, a single attempt is decisive.
func (l *Ledger) awaited(f Fingerprint, e evidence, now time.Time) time.Time {
	if l.suspected[f] > 0 {
		return now.Add(suspicionWait)
	}
	return e.doubted.Add(spreadTime)
}

// crashWeight returns the weight of a server crash for a request with the given number of
// crashes.
func (l *Ledger) weight(f Fingerprint, server uint64, ends int) float64 {
	if l.shared(f, server, ends) {
		return sharedWeight
	}
	return 1
}

func latest(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// isShared reports whether another request with at least the given number of crashes ran on a
// server when it crashed.
func (l *Ledger) shared(f Fingerprint, server uint64, ends int) bool {
	for other := range l.byServer[server] {
		if other != f && len(l.histories[other].ends) >= ends {
			return true
		}
	}
	return false
}

// groupedCrashWeight returns the weight of a sequence of shared crashes, and the number of
// groups that are at least propagationTime apart. Within a group no node can isolate requests
// that ran together, so a group counts for at most half of crashThreshold however many servers
// crash.
func companyWeight(ends []time.Time) (weight float64, groups int) {
	group := 0.0
	var begun time.Time
	for _, at := range ends {
		if at.Sub(begun) >= spreadTime {
			begun, group = at, 0
			groups++
		}
		if group < enoughEnds/2.0 {
			group += sharedWeight
			weight += sharedWeight
		}
	}
	return weight, groups
}

// ambiguousDuration returns the quarantine duration of a request with only shared crashes. It
// depends on the fingerprint, so that such requests return at different times and the next
// attempt tells them apart.
func companyHold(f Fingerprint) time.Duration {
	draw := float64(f) / math.MaxUint64
	return shortestCompanyHold + time.Duration(draw*float64(shortestCompanyHold))
}

// SuspectedCrashes returns the number of servers that have crashed while running a request,
// including unresolved suspicions of this node.
func (l *Ledger) Suspected(f Fingerprint) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := l.suspected[f]
	if known := l.histories[f]; known != nil {
		count += len(known.ends)
	}
	return count
}

// QuarantinedRequests returns the requests that this node quarantines from its own observations,
// whatever the shared store contains. Ambiguous ones are omitted: the store would keep them for
// QuarantineDuration.
func (l *Ledger) HeldOff(unsure Unsure, now time.Time) []Fingerprint {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var held []Fingerprint
	for f, h := range l.histories {
		if len(h.ends) < enoughEnds {
			continue
		}
		if v := l.weigh(f, h, unsure, now); v.Held && !v.Company {
			held = append(held, f)
		}
	}
	return held
}

// Cleared reports whether a request is known not to need quarantine: it had a complete response,
// or enough of its crashed servers have answered since.
func (l *Ledger) Cleared(f Fingerprint, unsure Unsure, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.histories[f]
	if known == nil {
		return false
	}
	return known.served.known() || len(known.ends) >= enoughEnds && !l.weigh(f, known, unsure, now).Held
}
