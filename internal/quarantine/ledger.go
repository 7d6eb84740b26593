package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashThreshold is the number of server crashes after which a request is quarantined. Each
	// increment costs one more server; with two, requests that happened to run beside two crashes
	// would be rejected.
	enoughEnds = 3
	// sharedWeight is the weight of a crash for a request that ran beside another one with at least
	// as many crashes.
	sharedWeight = 0.5
	// propagationTime is the time until all nodes know of a crash: they wait half a second for a
	// sign of life of the server, and observations reach all nodes in less than a second.
	spreadTime = 1500 * time.Millisecond
	// soloConfirmDelay is the minimum age of a crash to count as solo (no other suspect on the
	// server) for a request that also has shared crashes. Busy nodes are slow to report what else
	// ran on the server.
	companyTime = 1200 * time.Millisecond
	// crashGroupThreshold is the number of separate propagationTime intervals with crashes that it
	// takes to quarantine a request with only shared crashes: within the first one no node could
	// isolate it from the others. With crashes in more intervals the quarantine is no longer
	// ambiguous.
	enoughGroups = 2
	// minAmbiguousDuration is the minimum quarantine of a request with only shared crashes; the
	// maximum is twice that. What the first such request to return does is known to all nodes
	// before most others return.
	shortestCompanyHold = 2 * spreadTime
	// pendingSuspicionDuration is how long a request that has returned from an ambiguous quarantine
	// is rejected while a suspicion of another crash is unresolved.
	suspicionWait = time.Second
	// QuarantineDuration is how long a request is quarantined after its last crash. It is the
	// longest lease in the shared store. A server that takes 10 s to restart is then unavailable
	// for at most 2% of the time.
	HoldLife = 10 * time.Minute
	// crashTTL is how long a crash counts. It exceeds QuarantineDuration, so that a released
	// request is quarantined again after a single further crash.
	endLife = time.Hour
	// servedTTL is how long a complete response clears a request, even if further servers crash
	// under it. It is many times the propagation time of an observation, which is under a second.
	servedLife = 30 * time.Second
	// maxRequests bounds the remembered requests, which take 3 MB at the bound. It is the number of
	// requests that become suspect at once when a zone of 250 servers with 16 requests each is
	// lost.
	mostRequests = 4096
	// evictionDivisor sets the share of requests that is evicted at the bound: one in
	// evictionDivisor.
	droppedPart = 4
	// maxCrashesPerRequest bounds the remembered crashes of a request. It exceeds the number of
	// crashes within propagationTime, so that the shared crashes of two requests remain known for
	// both.
	mostEnds = 32
	// expiryInterval is the minimum time between scans for expired observations.
	forgetInterval = time.Second
)

// observation is a fact about a request, observed at a given time.
type fact struct {
	at time.Time
	// place is the position in the sequence of observations of this ledger, starting at 1.
	place int64
	// peer is the node that reported the observation, or empty if this node made it.
	teller string
}

func (f fact) known() bool { return f.place != 0 }

// history holds the observations of one request.
type history struct {
	// crashes holds the incarnations that crashed while running the request.
	ends map[uint64]fact
	// served is the latest known complete response.
	served fact
	// quarantined is when the shared store was last seen to contain the request.
	held fact
}

// Ledger records observations of requests and derives verdicts from them. It is safe for
// concurrent use.
type Ledger struct {
	// Changed, if set, is called after each new observation. It must not block.
	Changed func()

	// active is the number of remembered requests plus that of requests with pending suspicions.
	active atomic.Int64

	mutex     sync.Mutex
	histories map[Fingerprint]*history
	// byServer maps each crashed incarnation to the requests that it was running.
	byServer map[uint64]map[Fingerprint]bool
	// pending counts the unresolved suspicions of each request.
	suspected map[Fingerprint]int
	place     int64
	forgotAt  time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		histories: map[Fingerprint]*history{}, byServer: map[uint64]map[Fingerprint]bool{}, suspected: map[Fingerprint]int{},
	}
}

// Active reports whether any request is remembered or suspected. Otherwise requests need no
// fingerprint.
func (l *Ledger) Active() bool { return l.active.Load() > 0 }

// Suspect records that a server may have crashed while running a request. A call of Resolve must
// follow.
func (l *Ledger) Suspect(f Fingerprint) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.suspected[f]++
	l.count()
}

// Resolve resolves a suspicion that a server crashed at a given time.
func (l *Ledger) Settle(f Fingerprint, server uint64, at time.Time, ended bool, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.suspected[f]--; l.suspected[f] <= 0 {
		delete(l.suspected, f)
	}
	if ended {
		l.take(Item{Kind: Ended, Fingerprint: f, Server: server}, at, "", now)
	}
	l.count()
}

// Served records a complete response to a request. It reports whether that is new information,
// which clears a suspected request.
func (l *Ledger) Served(f Fingerprint, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.histories[f]
	if known == nil && l.suspected[f] == 0 {
		return false
	}
	if known != nil && known.served.known() && now.Sub(known.served.at) < servedLife/2 {
		return false
	}
	return l.take(Item{Kind: Served, Fingerprint: f}, now, "", now)
}

// ApplyStored records the requests that are quarantined in the shared store.
func (l *Ledger) TakeStored(held []Fingerprint, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, f := range held {
		known := l.histories[f]
		if known == nil || !known.held.known() || now.Sub(known.held.at) > HoldLife/2 {
			l.take(Item{Kind: Held, Fingerprint: f}, now, "", now)
		}
	}
}

// record adds an observation made at a given time, and reports whether it was new. The caller
// must hold the mutex.
func (l *Ledger) take(item Item, at time.Time, teller string, now time.Time) bool {
	l.forget(now)
	known := l.histories[item.Fingerprint]
	if known == nil {
		known = &history{ends: map[uint64]fact{}}
	}
	if !l.apply(known, item, fact{at: at, place: l.place + 1, teller: teller}) {
		return false
	}
	l.place++
	if l.histories[item.Fingerprint] == nil {
		l.makeRoom()
		l.histories[item.Fingerprint] = known
	}
	l.count()
	if l.Changed != nil {
		l.Changed()
	}
	return true
}

// merge adds an observation to a history, and reports whether it was new. The result does not
// depend on the order of observations.
func (l *Ledger) apply(h *history, item Item, new fact) bool {
	// cleared reports whether a known complete response overrides an observation at a given time.
	cleared := func(at time.Time) bool { return h.served.known() && h.served.at.Add(servedLife).After(at) }
	switch item.Kind {
	case Ended:
		if h.ends[item.Server].known() || cleared(new.at) {
			return false
		}
		if len(h.ends) >= mostEnds {
			l.forgetOldestEnd(item.Fingerprint, h)
		}
		h.ends[item.Server] = new
		l.ranAt(item.Server)[item.Fingerprint] = true
	case Served:
		if h.served.known() && !new.at.After(h.served.at) {
			return false
		}
		h.served = new
		for server, end := range h.ends {
			if cleared(end.at) {
				l.forgetEnd(item.Fingerprint, h, server)
			}
		}
		if cleared(h.held.at) {
			h.held = fact{}
		}
	case Held:
		if h.held.known() && !new.at.After(h.held.at) || cleared(new.at) {
			return false
		}
		h.held = new
	default:
		return false
	}
	return true
}

func (l *Ledger) ranAt(server uint64) map[Fingerprint]bool {
	ran := l.byServer[server]
	if ran == nil {
		ran = map[Fingerprint]bool{}
		l.byServer[server] = ran
	}
	return ran
}

func (l *Ledger) forgetEnd(f Fingerprint, h *history, server uint64) {
	delete(h.ends, server)
	delete(l.byServer[server], f)
	if len(l.byServer[server]) == 0 {
		delete(l.byServer, server)
	}
}

func (l *Ledger) forgetOldestEnd(f Fingerprint, h *history) {
	var oldest uint64
	var found fact
	for server, end := range h.ends {
		if !found.known() || end.at.Before(found.at) {
			oldest, found = server, end
		}
	}
	l.forgetEnd(f, h, oldest)
}

// expire removes expired observations.
func (l *Ledger) forget(now time.Time) {
	if now.Sub(l.forgotAt) < forgetInterval {
		return
	}
	l.forgotAt = now
	for f, h := range l.histories {
		for server, end := range h.ends {
			if now.Sub(end.at) > endLife {
				l.forgetEnd(f, h, server)
			}
		}
		if now.Sub(h.held.at) > HoldLife {
			h.held = fact{}
		}
		// Complete responses are kept for twice their TTL, to recognize delayed observations that
		// they override.
		if now.Sub(h.served.at) > 2*servedLife {
			h.served = fact{}
		}
		if len(h.ends) == 0 && !h.held.known() && !h.served.known() {
			delete(l.histories, f)
		}
	}
	l.count()
}

// evict removes the least important requests if too many are remembered: those with the fewest
// crashes, and among these the least recently observed. It evicts many at once, since each call
// sorts all requests.
func (l *Ledger) makeRoom() {
	if len(l.histories) < mostRequests {
		return
	}
	ranked := slices.Collect(maps.Keys(l.histories))
	slices.SortFunc(ranked, func(a, b Fingerprint) int { return l.histories[a].compare(l.histories[b]) })
	for _, f := range ranked[:mostRequests/droppedPart] {
		h := l.histories[f]
		for server := range h.ends {
			l.forgetEnd(f, h, server)
		}
		delete(l.histories, f)
	}
}

// comparePriority orders histories by importance for eviction, the least important first.
func (h *history) compare(other *history) int {
	if h.held.known() != other.held.known() {
		if h.held.known() {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(h.ends), len(other.ends)), cmp.Compare(h.latest().place, other.latest().place))
}

// latestObservation returns the most recently recorded observation.
func (h *history) latest() fact {
	last := h.served
	if h.held.place > last.place {
		last = h.held
	}
	for _, end := range h.ends {
		if end.place > last.place {
			last = end
		}
	}
	return last
}

func (l *Ledger) count() { l.active.Store(int64(len(l.histories) + len(l.suspected))) }
