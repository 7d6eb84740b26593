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
	crashThreshold = 3
	// sharedWeight is the weight of a crash for a request that ran beside another one with at least
	// as many crashes.
	sharedWeight = 0.5
	// propagationTime is the time until all nodes know of a crash: they wait half a second for a
	// sign of life of the server, and observations reach all nodes in less than a second.
	propagationTime = 1500 * time.Millisecond
	// soloConfirmDelay is the minimum age of a crash to count as solo (no other suspect on the
	// server) for a request that also has shared crashes. Busy nodes are slow to report what else
	// ran on the server.
	soloConfirmDelay = 1200 * time.Millisecond
	// crashGroupThreshold is the number of separate propagationTime intervals with crashes that it
	// takes to quarantine a request with only shared crashes: within the first one no node could
	// isolate it from the others. With crashes in more intervals the quarantine is no longer
	// ambiguous.
	crashGroupThreshold = 2
	// minAmbiguousDuration is the minimum quarantine of a request with only shared crashes; the
	// maximum is twice that. What the first such request to return does is known to all nodes
	// before most others return.
	minAmbiguousDuration = 2 * propagationTime
	// pendingSuspicionDuration is how long a request that has returned from an ambiguous quarantine
	// is rejected while a suspicion of another crash is unresolved.
	pendingSuspicionDuration = time.Second
	// QuarantineDuration is how long a request is quarantined after its last crash. It is the
	// longest lease in the shared store. A server that takes 10 s to restart is then unavailable
	// for at most 2% of the time.
	QuarantineDuration = 10 * time.Minute
	// crashTTL is how long a crash counts. It exceeds QuarantineDuration, so that a released
	// request is quarantined again after a single further crash.
	crashTTL = time.Hour
	// servedTTL is how long a complete response clears a request, even if further servers crash
	// under it. It is many times the propagation time of an observation, which is under a second.
	servedTTL = 30 * time.Second
	// maxRequests bounds the remembered requests, which take 3 MB at the bound. It is the number of
	// requests that become suspect at once when a zone of 250 servers with 16 requests each is
	// lost.
	maxRequests = 4096
	// evictionDivisor sets the share of requests that is evicted at the bound: one in
	// evictionDivisor.
	evictionDivisor = 4
	// maxCrashesPerRequest bounds the remembered crashes of a request. It exceeds the number of
	// crashes within propagationTime, so that the shared crashes of two requests remain known for
	// both.
	maxCrashesPerRequest = 32
	// expiryInterval is the minimum time between scans for expired observations.
	expiryInterval = time.Second
)

// observation is a fact about a request, observed at a given time.
type observation struct {
	at time.Time
	// place is the position in the sequence of observations of this ledger, starting at 1.
	place int64
	// peer is the node that reported the observation, or empty if this node made it.
	peer string
}

func (o observation) isSet() bool { return o.place != 0 }

// history holds the observations of one request.
type history struct {
	// crashes holds the incarnations that crashed while running the request.
	crashes map[uint64]observation
	// served is the latest known complete response.
	served observation
	// quarantined is when the shared store was last seen to contain the request.
	quarantined observation
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
	pending map[Fingerprint]int
	// place is the position of the latest observation, and expiredAt the time of the last scan for
	// expired ones.
	place     int64
	expiredAt time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		histories: map[Fingerprint]*history{}, byServer: map[uint64]map[Fingerprint]bool{}, pending: map[Fingerprint]int{},
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
	l.pending[f]++
	l.updateActive()
}

// Resolve resolves a suspicion that a server crashed at a given time.
func (l *Ledger) Resolve(f Fingerprint, server uint64, at time.Time, crashed bool, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pending[f]--; l.pending[f] <= 0 {
		delete(l.pending, f)
	}
	if crashed {
		l.record(Item{Kind: KindCrashed, Fingerprint: f, Server: server}, at, "", now)
	}
	l.updateActive()
}

// Served records a complete response to a request. It reports whether that is new information,
// which clears a suspected request.
func (l *Ledger) Served(f Fingerprint, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h := l.histories[f]
	if h == nil && l.pending[f] == 0 {
		return false
	}
	if h != nil && h.served.isSet() && now.Sub(h.served.at) < servedTTL/2 {
		return false
	}
	return l.record(Item{Kind: KindServed, Fingerprint: f}, now, "", now)
}

// ApplyStored records the requests that are quarantined in the shared store.
func (l *Ledger) ApplyStored(stored []Fingerprint, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, f := range stored {
		h := l.histories[f]
		if h == nil || !h.quarantined.isSet() || now.Sub(h.quarantined.at) > QuarantineDuration/2 {
			l.record(Item{Kind: KindQuarantined, Fingerprint: f}, now, "", now)
		}
	}
}

// record adds an observation made at a given time, and reports whether it was new. The caller
// must hold the mutex.
func (l *Ledger) record(item Item, at time.Time, peer string, now time.Time) bool {
	l.expire(now)
	h := l.histories[item.Fingerprint]
	if h == nil {
		h = &history{crashes: map[uint64]observation{}}
	}
	if !l.merge(h, item, observation{at: at, place: l.place + 1, peer: peer}) {
		return false
	}
	l.place++
	if l.histories[item.Fingerprint] == nil {
		l.evict()
		l.histories[item.Fingerprint] = h
	}
	l.updateActive()
	if l.Changed != nil {
		l.Changed()
	}
	return true
}

// merge adds an observation to a history, and reports whether it was new. The result does not
// depend on the order of observations.
func (l *Ledger) merge(h *history, item Item, new observation) bool {
	// cleared reports whether a known complete response overrides an observation at a given time.
	cleared := func(at time.Time) bool { return h.served.isSet() && h.served.at.Add(servedTTL).After(at) }
	switch item.Kind {
	case KindCrashed:
		if h.crashes[item.Server].isSet() || cleared(new.at) {
			return false
		}
		if len(h.crashes) >= maxCrashesPerRequest {
			l.evictOldestCrash(item.Fingerprint, h)
		}
		h.crashes[item.Server] = new
		l.requestsAt(item.Server)[item.Fingerprint] = true
	case KindServed:
		if h.served.isSet() && !new.at.After(h.served.at) {
			return false
		}
		h.served = new
		for server, crash := range h.crashes {
			if cleared(crash.at) {
				l.removeCrash(item.Fingerprint, h, server)
			}
		}
		if cleared(h.quarantined.at) {
			h.quarantined = observation{}
		}
	case KindQuarantined:
		if h.quarantined.isSet() && !new.at.After(h.quarantined.at) || cleared(new.at) {
			return false
		}
		h.quarantined = new
	default:
		return false
	}
	return true
}

func (l *Ledger) requestsAt(server uint64) map[Fingerprint]bool {
	requests := l.byServer[server]
	if requests == nil {
		requests = map[Fingerprint]bool{}
		l.byServer[server] = requests
	}
	return requests
}

func (l *Ledger) removeCrash(f Fingerprint, h *history, server uint64) {
	delete(h.crashes, server)
	delete(l.byServer[server], f)
	if len(l.byServer[server]) == 0 {
		delete(l.byServer, server)
	}
}

func (l *Ledger) evictOldestCrash(f Fingerprint, h *history) {
	var oldest uint64
	var oldestCrash observation
	for server, crash := range h.crashes {
		if !oldestCrash.isSet() || crash.at.Before(oldestCrash.at) {
			oldest, oldestCrash = server, crash
		}
	}
	l.removeCrash(f, h, oldest)
}

// expire removes expired observations.
func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.expiredAt) < expiryInterval {
		return
	}
	l.expiredAt = now
	for f, h := range l.histories {
		for server, crash := range h.crashes {
			if now.Sub(crash.at) > crashTTL {
				l.removeCrash(f, h, server)
			}
		}
		if now.Sub(h.quarantined.at) > QuarantineDuration {
			h.quarantined = observation{}
		}
		// Complete responses are kept for twice their TTL, to recognize delayed observations that
		// they override.
		if now.Sub(h.served.at) > 2*servedTTL {
			h.served = observation{}
		}
		if len(h.crashes) == 0 && !h.quarantined.isSet() && !h.served.isSet() {
			delete(l.histories, f)
		}
	}
	l.updateActive()
}

// evict removes the least important requests if too many are remembered: those with the fewest
// crashes, and among these the least recently observed. It evicts many at once, since each call
// sorts all requests.
func (l *Ledger) evict() {
	if len(l.histories) < maxRequests {
		return
	}
	ranked := slices.Collect(maps.Keys(l.histories))
	slices.SortFunc(ranked, func(a, b Fingerprint) int { return l.histories[a].comparePriority(l.histories[b]) })
	for _, f := range ranked[:maxRequests/evictionDivisor] {
		h := l.histories[f]
		for server := range h.crashes {
			l.removeCrash(f, h, server)
		}
		delete(l.histories, f)
	}
}

// comparePriority orders histories by importance for eviction, the least important first.
func (h *history) comparePriority(other *history) int {
	if h.quarantined.isSet() != other.quarantined.isSet() {
		if h.quarantined.isSet() {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(h.crashes), len(other.crashes)), cmp.Compare(h.latestObservation().place, other.latestObservation().place))
}

// latestObservation returns the most recently recorded observation.
func (h *history) latestObservation() observation {
	last := h.served
	if h.quarantined.place > last.place {
		last = h.quarantined
	}
	for _, crash := range h.crashes {
		if crash.place > last.place {
			last = crash
		}
	}
	return last
}

func (l *Ledger) updateActive() { l.active.Store(int64(len(l.histories) + len(l.pending))) }
