package quarantine

import "time"

// Unsure reports whether it is not certain that a server ended at a time.
type Unsure func(server uint64, at time.Time) bool

// Verdict says whether a request is held off.
type Verdict struct {
	Held bool
	// Ends is how many servers are known to have ended under the request, Weight what
	// that counts.
	Ends   int
	Weight float64
	// Stored says that the shared store holds it off, whatever this node knows itself.
	Stored bool
	// Until is when the request may be sent to a server again.
	Until time.Time
}

// Judge returns the verdict on a request. Unsure reports whether a server may not have ended
// at a time, or may have for a reason that others have not told yet: that counts for nothing.
func (l *Ledger) Judge(f Fingerprint, unsure Unsure, now time.Time) Verdict {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(now)
	known := l.histories[f]
	if known == nil {
		return Verdict{}
	}
	v := l.weigh(f, known, unsure, now)
	// Who knows the ends of the servers judges by them: some may have answered since.
	if until := known.held.at.Add(HoldLife); known.held.known() && len(known.ends) < enoughEnds && until.After(now) {
		v.Held, v.Stored, v.Until = true, true, until
	}
	return v
}

// weigh adds up the ends of servers.
func (l *Ledger) weigh(f Fingerprint, h *history, unsure Unsure, now time.Time) Verdict {
	v := Verdict{}
	last := time.Time{}
	for server, end := range h.ends {
		if now.Sub(end.at) > endLife || unsure(server, end.at) {
			continue
		}
		v.Ends++
		if l.explained(f, server, len(h.ends)) {
			v.Weight += explainedWeight
		} else {
			v.Weight++
		}
		if end.at.After(last) {
			last = end.at
		}
	}
	if until := last.Add(HoldLife); v.Weight >= enoughEnds && until.After(now) {
		v.Held, v.Until = true, until
	}
	return v
}

// explained reports whether another request ran at a server as it ended under which as many
// servers have ended or more. Two of which neither is ahead are held off later: the next end
// tells them apart, since mostly one of them runs there.
func (l *Ledger) explained(f Fingerprint, server uint64, ends int) bool {
	for other := range l.byServer[server] {
		if other != f && len(l.histories[other].ends) >= ends {
			return true
		}
	}
	return false
}

// HeldOff returns the requests that this node holds off by what it knows, whatever the
// shared store says.
func (l *Ledger) HeldOff(unsure Unsure, now time.Time) []Fingerprint {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var held []Fingerprint
	for f, h := range l.histories {
		if len(h.ends) >= enoughEnds && l.weigh(f, h, unsure, now).Held {
			held = append(held, f)
		}
	}
	return held
}

// Cleared reports whether a request is known to need no holding off: it had a whole answer,
// or of the servers that had ended under it enough have answered since.
func (l *Ledger) Cleared(f Fingerprint, unsure Unsure, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.histories[f]
	if known == nil {
		return false
	}
	return known.served.known() || len(known.ends) >= enoughEnds && !l.weigh(f, known, unsure, now).Held
}
