package quarantine

import "time"

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

// Judge returns the verdict on a request. Lives reports whether a server is known to have
// answered what was sent after a time: then it has not ended.
func (l *Ledger) Judge(f Fingerprint, lives func(server uint64, since time.Time) bool, now time.Time) Verdict {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(now)
	known := l.histories[f]
	if known == nil {
		return Verdict{}
	}
	v := l.weigh(f, known, lives, now)
	// Who knows the ends of the servers judges by them: some may have answered since.
	if until := known.held.at.Add(HoldLife); known.held.known() && len(known.ends) < enoughEnds && until.After(now) {
		v.Held, v.Stored, v.Until = true, true, until
	}
	return v
}

// weigh adds up the ends of servers.
func (l *Ledger) weigh(f Fingerprint, h *history, lives func(server uint64, since time.Time) bool, now time.Time) Verdict {
	v := Verdict{}
	last := time.Time{}
	for server, end := range h.ends {
		if now.Sub(end.at) > endLife || lives(server, end.at) {
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

// explained reports whether another request ran at a server as it ended under which more
// servers have ended.
func (l *Ledger) explained(f Fingerprint, server uint64, ends int) bool {
	for other := range l.byServer[server] {
		if other != f && len(l.histories[other].ends) > ends {
			return true
		}
	}
	return false
}

// HeldOff returns the requests that this node holds off by what it knows, whatever the
// shared store says.
func (l *Ledger) HeldOff(lives func(server uint64, since time.Time) bool, now time.Time) []Fingerprint {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var held []Fingerprint
	for f, h := range l.histories {
		if len(h.ends) >= enoughEnds && l.weigh(f, h, lives, now).Held {
			held = append(held, f)
		}
	}
	return held
}

// Cleared reports whether a request is known to need no holding off: it had a whole answer,
// or of the servers that had ended under it enough have answered since.
func (l *Ledger) Cleared(f Fingerprint, lives func(server uint64, since time.Time) bool, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.histories[f]
	if known == nil {
		return false
	}
	return known.served.known() || len(known.ends) >= enoughEnds && !l.weigh(f, known, lives, now).Held
}
