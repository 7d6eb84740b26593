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
	// PropagationTime is the time until all nodes know of a crash: they wait half a second for a
	// sign of life of the server, and observations reach all nodes in less than a second.
	PropagationTime = 1500 * time.Millisecond
	// soloConfirmDelay is the minimum age of a crash to count as solo (no other suspect on the
	// server) for a request that also has shared crashes. Busy nodes are slow to report what else
	// ran on the server.
	soloConfirmDelay = 1200 * time.Millisecond
	// crashGroupThreshold is the number of separate PropagationTime intervals with crashes that it
	// takes to quarantine a request with only shared crashes: within the first one no node could
	// isolate it from the others. With crashes in more intervals the quarantine is no longer
	// ambiguous.
	crashGroupThreshold = 2
	// minAmbiguousDuration is the minimum quarantine of a request with only shared crashes; the
	// maximum is twice that. What the first such request to return does is known to all nodes
	// before most others return.
	minAmbiguousDuration = 2 * PropagationTime
	// pendingSuspicionDuration is how long a request that has returned from an ambiguous quarantine
	// is rejected while a suspicion of another crash is unresolved.
	pendingSuspicionDuration = time.Second
	// QuarantineDuration is how long a request is quarantined after its last crash. It is the
	// longest lease in the shared store. A server that takes 10 s to restart is then unavailable
	// for at most 2% of the time.
	QuarantineDuration = 10 * time.Minute
	// minTrialDelay is the time from the last crash of a part to the first trial of whether its servers were mended.
	// Each failed trial doubles it, up to QuarantineDuration. A server that takes 10 s to restart is then
	// unavailable for at most a sixth of the first minutes, and 2% of the time later.
	minTrialDelay = time.Minute
	// minUncontrastedTrialDelay is the same while the node sees the service answer nothing at all, so that the part may
	// only be what all its requests share.
	minUncontrastedTrialDelay = 10 * time.Second
	// maxPartCrashes is the number of crashes of a part in more than one PropagationTime interval, some of them without
	// another suspect, that suffice for its quarantine whatever else ran on the servers. It is also the minimum number of
	// crashes for a quarantine because of separate crashes within one interval.
	maxPartCrashes = 5
	// maxPartGroupWeight is the maximum weight of the crashes of a part within one PropagationTime interval: one more
	// crash in a later interval suffices for its quarantine.
	maxPartGroupWeight = crashThreshold - 1.0
	// minCrashSeparation is the time between a crash and the sending of a request under which another server crashes, from
	// which on one event cannot have caused both: nodes see the crashes of one event that much apart at most.
	minCrashSeparation = 50 * time.Millisecond
	// maxAmbiguousTrials is the number of requests with a part on probation that may crash servers beside other suspects
	// before requests with it are rejected for a while. One such crash may be that of another part on probation.
	maxAmbiguousTrials = 2
	// partExcuseDivisor is the share of a part's crashes, one in partExcuseDivisor, that another suspect must have to be
	// to blame for one of them. What runs beside two parts that crash servers equally often has twice their crashes, and
	// what runs beside one by chance a small share of them.
	partExcuseDivisor = 3
	// isolationThreshold is the weight of crashes from which on a request is isolated from others. A single
	// crash may be unrelated and affects every request on the server; their retries are best served where
	// their prompts are cached.
	isolationThreshold = 2
	// crashTTL is how long a crash counts. It exceeds QuarantineDuration, so that a released
	// request is quarantined again after a single further crash.
	crashTTL = time.Hour
	// servedTTL is how long a complete response clears a request, even if further servers crash
	// under it. It is many times the propagation time of an observation, which is under a second.
	servedTTL = 30 * time.Second
	// partServedInterval is the minimum time between two complete responses that are recorded for a part and clear no
	// crash of it, so that a popular part takes few messages however many nodes serve it.
	partServedInterval = PropagationTime
	// maxSuspects bounds the remembered suspects. It is the number of requests that become suspect at once when a
	// zone of 250 servers with 16 requests each is lost, and as many parts that they share.
	maxSuspects = 8192
	// evictionDivisor sets the share of suspects that is evicted at the bound: one in
	// evictionDivisor.
	evictionDivisor = 4
	// maxCrashesPerSuspect bounds the remembered crashes of a suspect. It exceeds the number of
	// crashes within PropagationTime, so that the shared crashes of two suspects remain known for
	// both.
	maxCrashesPerSuspect = 32
	// expiryInterval is the minimum time between scans for expired observations.
	expiryInterval = time.Second
)

// observation is a fact about a suspect, observed at a given time.
type observation struct {
	at time.Time
	// request is a request with the part that ran on the crashed server; 0 if unknown and for requests.
	request Fingerprint
	// runTime is the time from sending the latest request with the part to the server until the crash; 0 if unknown.
	runTime time.Duration
	// place is the position in the sequence of observations of this ledger, starting at 1.
	place int64
	// peer is the node that reported the observation, or empty if this node made it.
	peer string
}

func (o observation) isSet() bool { return o.place != 0 }

// sentAt returns when the latest request with the part was sent to the crashed server; zero if unknown.
func (o observation) sentAt() time.Time {
	if o.runTime <= 0 {
		return time.Time{}
	}
	return o.at.Add(-o.runTime)
}

// history holds the observations of one suspect.
type history struct {
	// part is set if the suspect is known to be a part of prompts.
	part bool
	// crashes holds the incarnations that crashed while running the request, or one with the part.
	crashes map[uint64]observation
	// served is the latest known complete response. For a part, its time is when the request was sent.
	served observation
	// quarantined is when the shared store was last seen to contain the suspect.
	quarantined observation
	// progressed is when the latest request of this node with the part was sent whose response has gone on for
	// longer than servers last under a part that crashes them.
	progressed time.Time
}

// serviceState is what this node has seen of a service.
type serviceState struct {
	// servedSentAt is when the latest request was sent that got a complete response, and crashedAt the time of the
	// latest crash.
	servedSentAt time.Time
	crashedAt    time.Time
}

// cleared reports whether a known complete response overrides a crash at a given time. The next request with a part
// may be the first that a change of the servers makes deadly, so that a response speaks for a part only up to when the
// request was sent. A request that has been served is the same when it is sent again.
func (h *history) cleared(at time.Time) bool {
	until := h.served.at
	if !h.part {
		until = until.Add(servedTTL)
	}
	return h.served.isSet() && until.After(at)
}

// crashedBefore reports whether a crash before a given time counts.
func (h *history) crashedBefore(at time.Time) bool {
	for _, crash := range h.crashes {
		if crash.at.Before(at) {
			return true
		}
	}
	return false
}

// Ledger records observations of requests and derives verdicts from them. It is safe for
// concurrent use.
type Ledger struct {
	// Changed, if set, is called after each new observation. It must not block.
	Changed func()

	// active is the number of remembered suspects plus that of suspects with pending suspicions.
	active atomic.Int64

	mutex     sync.Mutex
	histories map[Fingerprint]*history
	// byServer maps each crashed incarnation to the suspects that it was running.
	byServer map[uint64]map[Fingerprint]bool
	// pending counts the unresolved suspicions of each suspect.
	pending map[Fingerprint]int
	// services holds what this node has seen of each service while there were suspects.
	services map[string]serviceState
	// place is the position of the latest observation, and expiredAt the time of the last scan for
	// expired ones.
	place     int64
	expiredAt time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		histories: map[Fingerprint]*history{}, byServer: map[uint64]map[Fingerprint]bool{}, pending: map[Fingerprint]int{}, services: map[string]serviceState{},
	}
}

// Active reports whether anything is remembered or suspected. Otherwise requests need no
// fingerprints.
func (l *Ledger) Active() bool { return l.active.Load() > 0 }

// Suspect records that a server may have crashed while running a request. A call of Resolve must
// follow.
func (l *Ledger) Suspect(suspects Suspects) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for f := range suspects.all {
		l.pending[f]++
	}
	l.updateActive()
}

// Resolve resolves a suspicion that a server crashed at a given time.
func (l *Ledger) Resolve(suspects Suspects, server uint64, at time.Time, crashed bool, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for f, part := range suspects.all {
		if l.pending[f]--; l.pending[f] <= 0 {
			delete(l.pending, f)
		}
		if !crashed {
			continue
		}
		item := Item{Kind: KindCrashed, Fingerprint: f, Server: server, Part: part}
		if part {
			item.Request, item.RunTime = suspects.Request, suspects.ranUntil(at)
		}
		l.record(item, at, "", now)
	}
	if crashed && suspects.Service != "" {
		state := l.services[suspects.Service]
		state.crashedAt = later(state.crashedAt, at)
		l.services[suspects.Service] = state
	}
	l.updateActive()
}

// Served records a complete response to a request that was sent at a given time. It returns the suspects that it
// clears.
func (l *Ledger) Served(suspects Suspects, sentAt, now time.Time) []Fingerprint {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if suspects.Service != "" {
		state := l.services[suspects.Service]
		state.servedSentAt = later(state.servedSentAt, sentAt)
		l.services[suspects.Service] = state
	}
	var cleared []Fingerprint
	for f, part := range suspects.all {
		at := now
		if part {
			at = sentAt
		}
		if l.clears(f, part, at) && l.record(Item{Kind: KindServed, Fingerprint: f, Part: part}, at, "", now) {
			cleared = append(cleared, f)
		}
	}
	return cleared
}

// Progressed records that the response to a request that was sent at a given time goes on, longer than servers last under
// a part that crashes them. It ends the probation of its parts at this node, and clears nothing.
func (l *Ledger) Progressed(suspects Suspects, sentAt time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, f := range suspects.Parts {
		if h := l.histories[f]; h != nil {
			h.progressed = later(h.progressed, sentAt)
		}
	}
}

// clears reports whether a complete response at a given time is new information about a suspect.
func (l *Ledger) clears(f Fingerprint, part bool, at time.Time) bool {
	h := l.histories[f]
	if h == nil {
		return l.pending[f] > 0
	}
	if !part {
		return !h.served.isSet() || at.Sub(h.served.at) >= servedTTL/2
	}
	return h.crashedBefore(at) || l.pending[f] > 0 || h.quarantined.isSet()
}

// ApplyStored records the suspects that are quarantined in the shared store.
func (l *Ledger) ApplyStored(stored Suspected, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for f, part := range stored {
		h := l.histories[f]
		if h == nil || !h.quarantined.isSet() || now.Sub(h.quarantined.at) > QuarantineDuration/2 {
			l.record(Item{Kind: KindQuarantined, Fingerprint: f, Part: part}, now, "", now)
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
	h.part = h.part || item.Part
	if !l.merge(h, item, observation{at: at, request: item.Request, runTime: item.RunTime, place: l.place + 1, peer: peer}) {
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
// depend on the order of observations, except that of complete responses to a part within partServedInterval that clear
// no crash.
func (l *Ledger) merge(h *history, item Item, new observation) bool {
	switch item.Kind {
	case KindCrashed:
		if known := h.crashes[item.Server]; known.isSet() {
			// Several nodes may have sent requests with the part to the server.
			known.request = min(known.request, new.request)
			// All nodes must know the shortest run to reach the same verdict.
			shortest := shorterRun(known.runTime, new.runTime)
			shorter := shortest != known.runTime
			if known.runTime = shortest; shorter {
				known.place, known.peer = new.place, new.peer
			}
			h.crashes[item.Server] = known
			return shorter
		}
		if h.cleared(new.at) {
			return false
		}
		if len(h.crashes) >= maxCrashesPerSuspect {
			l.evictOldestCrash(item.Fingerprint, h)
		}
		h.crashes[item.Server] = new
		l.suspectsAt(item.Server)[item.Fingerprint] = true
	case KindServed:
		newest := h.served.at
		if h.part && !h.crashedBefore(new.at) {
			newest = newest.Add(partServedInterval)
		}
		if h.served.isSet() && !new.at.After(newest) {
			return false
		}
		h.served = new
		for server, crash := range h.crashes {
			if h.cleared(crash.at) {
				l.removeCrash(item.Fingerprint, h, server)
			}
		}
		if h.releasedInStore(h.quarantined.at) {
			h.quarantined = observation{}
		}
	case KindQuarantined:
		if h.quarantined.isSet() && !new.at.After(h.quarantined.at) || h.releasedInStore(new.at) {
			return false
		}
		h.quarantined = new
	default:
		return false
	}
	return true
}

// shorterRun returns the smaller of two run times, of which 0 is unknown.
func shorterRun(one, other time.Duration) time.Duration {
	if one <= 0 || other <= 0 {
		return max(one, other)
	}
	return min(one, other)
}

// releasedInStore reports whether a known complete response overrides an entry that the store had at a given time. It
// takes some time until such an entry is removed.
func (h *history) releasedInStore(at time.Time) bool {
	return h.served.isSet() && h.served.at.Add(servedTTL).After(at)
}

func (l *Ledger) suspectsAt(server uint64) map[Fingerprint]bool {
	suspects := l.byServer[server]
	if suspects == nil {
		suspects = map[Fingerprint]bool{}
		l.byServer[server] = suspects
	}
	return suspects
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
	maps.DeleteFunc(l.services, func(_ string, s serviceState) bool {
		return now.Sub(later(s.servedSentAt, s.crashedAt)) > crashTTL
	})
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

// evict removes the least important suspects if too many are remembered: those with the fewest
// crashes, and among these the least recently observed. It evicts many at once, since each call
// sorts all suspects.
func (l *Ledger) evict() {
	if len(l.histories) < maxSuspects {
		return
	}
	ranked := slices.Collect(maps.Keys(l.histories))
	slices.SortFunc(ranked, func(a, b Fingerprint) int { return l.histories[a].comparePriority(l.histories[b]) })
	for _, f := range ranked[:maxSuspects/evictionDivisor] {
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
