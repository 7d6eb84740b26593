package quarantine

import (
	"cmp"
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
	// Suspect is the request's fingerprint or that of the part for which it is quarantined, and Part which of these
	// it is.
	Suspect Fingerprint
	Part    bool
	// Crashes is the number of servers known to have crashed while running the request, or requests with the part,
	// and Weight their total weight.
	Crashes int
	Weight  float64
	// Stored reports that the quarantine comes from the shared store, independently of the
	// observations of this node.
	Stored bool
	// Ambiguous reports that another suspect ran on each of the crashed servers.
	Ambiguous bool
	// Until is the end of the quarantine, or for a part the time from which one request may be tried.
	Until time.Time
	// TrialDue reports that one request with the quarantined part may be tried, by a node that claims the trial.
	TrialDue bool
	// OnProbation is the part of the request that only one request of the fleet may be sent with at a time; 0 if there is
	// none. So many servers have crashed under it that the next crash may decide, and nothing shows yet that it is sound.
	// Of parts that crashed a server together while on probation, it names the same one for all, so that the next crash
	// tells them apart.
	OnProbation Fingerprint
	// Trials is the number of requests with that part that crashed servers while it was on probation, also where that is
	// not confirmed.
	Trials int
}

// Evaluate returns the verdict on a request. Crashes are ignored for which unconfirmed returns
// true: the server may not have crashed, or for a reason that other nodes have not reported yet.
//
// Of several suspects that are quarantined, the verdict names the one whose quarantine ends last, and of parts that
// always came together the last one in the prompt. If none is, it names the one whose crashes weigh most.
func (l *Ledger) Evaluate(suspects Suspects, unconfirmed Unconfirmed, now time.Time) Verdict {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	var worst Verdict
	onProbation, mostCrashes := Fingerprint(0), 0
	for f, part := range suspects.all {
		h := l.histories[f]
		if h == nil {
			continue
		}
		h.part = h.part || part
		// Of the parts on probation, the one with the most crashes is the likely cause, and of those that always came
		// together the last one in the prompt.
		if crashes := h.probationCrashes(now); part && crashes > 0 && crashes >= mostCrashes {
			onProbation, mostCrashes = f, crashes
		}
		v := l.evaluateSuspect(f, h, suspects, unconfirmed, now)
		if worst.Suspect == 0 || v.worseThan(worst) {
			worst = v
		}
	}
	if !worst.Quarantined && onProbation != 0 {
		worst.OnProbation, worst.Trials = l.probationGroup(onProbation, now)
	}
	return worst
}

// probationGroup returns the lowest of the parts on probation that ran on a server with a given one when it crashed, if both
// were on probation then, and the number of such crashes of the given one.
func (l *Ledger) probationGroup(f Fingerprint, now time.Time) (lowest Fingerprint, trials int) {
	lowest, h := f, l.histories[f]
	times := crashTimes(h)
	if len(times) <= maxPartCrashes {
		return f, 0
	}
	slices.SortFunc(times, time.Time.Compare)
	since := probationBegin(times)
	for server, crash := range h.crashes {
		if !crash.sentAt().After(since) {
			continue
		}
		trials++
		for other := range l.byServer[server] {
			if l.histories[other].probationCrashes(now) > 0 {
				lowest = min(lowest, other)
			}
		}
	}
	return lowest, trials
}

// probationBegin returns when all nodes know that a part is on probation, by the times of its crashes, in order.
func probationBegin(crashes []time.Time) time.Time {
	return crashes[maxPartCrashes-1].Add(PropagationTime)
}

// probationCrashes returns the number of servers that have crashed under a part, those included whose crash is not
// confirmed yet, or 0 if the part is not on probation.
func (h *history) probationCrashes(now time.Time) int {
	if !h.part || len(h.crashes) < maxPartCrashes {
		return 0
	}
	count := 0
	for _, crash := range h.crashes {
		if now.Sub(crash.at) > crashTTL {
			continue
		}
		if !crash.at.Before(h.progressed) {
			count++
		}
	}
	if count < maxPartCrashes {
		return 0
	}
	return count
}

// worseThan reports whether a verdict replaces the one on an earlier suspect of the same request.
func (v Verdict) worseThan(other Verdict) bool {
	if v.Quarantined {
		return !other.Quarantined || !v.Until.Before(other.Until)
	}
	return !other.Quarantined && v.Weight > other.Weight
}

// evaluateSuspect returns the verdict on one suspect of a request, from observations and the store.
func (l *Ledger) evaluateSuspect(f Fingerprint, h *history, suspects Suspects, unconfirmed Unconfirmed, now time.Time) Verdict {
	if h.part && len(h.crashes) < crashThreshold && !h.quarantined.isSet() {
		return Verdict{Suspect: f, Part: true}
	}
	v := l.evaluate(f, h, suspects, unconfirmed, now)
	// If this node knows the crashes, it relies on them rather than on the store: some of the
	// servers may have answered since.
	if !h.quarantined.isSet() || len(h.crashes) >= crashThreshold {
		return v
	}
	until := h.quarantined.at.Add(QuarantineDuration)
	if h.part {
		until = trialAt(append(crashTimes(h), h.quarantined.at), minTrialDelay)
	}
	if h.part || until.After(now) {
		v.Quarantined, v.Stored, v.Until, v.TrialDue = true, true, until, !until.After(now)
	}
	return v
}

func crashTimes(h *history) []time.Time {
	times := make([]time.Time, 0, len(h.crashes)+1)
	for _, crash := range h.crashes {
		times = append(times, crash.at)
	}
	return times
}

// confirmedCrash is a confirmed crash of a suspect.
type confirmedCrash struct {
	at     time.Time
	server uint64
	// request is a request with the part that ran on the server; 0 if unknown and for requests.
	request Fingerprint
	// sentAt is when the latest request with the part was sent to the server; zero if unknown.
	sentAt time.Time
	// shared is set if another suspect ran on the server that may be to blame.
	shared bool
}

func (c confirmedCrash) weight() float64 {
	if c.shared {
		return sharedWeight
	}
	return 1
}

// evidence summarizes the crashes of a suspect.
type evidence struct {
	// crashes holds the confirmed crashes, in order.
	crashes []confirmedCrash
	// crashWeight is their total weight.
	crashWeight float64
	// shared counts the crashes with another suspect on the server, and soloAt is the time
	// of the first crash without one.
	shared int
	soloAt time.Time
	// lastUnconfirmed is the time of the last unconfirmed crash.
	lastUnconfirmed time.Time
	// probationCrashes is the number of crashes under requests that were sent while the part was on probation, and
	// failedProbation is set if nothing else that ran at one of them explains as many crashes.
	probationCrashes int
	failedProbation  bool
}

// times returns the times of the confirmed crashes, in order.
func (e *evidence) times() []time.Time {
	times := make([]time.Time, len(e.crashes))
	for i, c := range e.crashes {
		times[i] = c.at
	}
	return times
}

// collectEvidence summarizes the crashes in a history, as evidence against a request with the given suspects.
func (l *Ledger) collectEvidence(f Fingerprint, h *history, suspects Suspects, unconfirmed Unconfirmed, now time.Time) evidence {
	var e evidence
	for server, observed := range h.crashes {
		switch {
		case now.Sub(observed.at) > crashTTL:
		case unconfirmed(server, observed.at):
			e.lastUnconfirmed = later(e.lastUnconfirmed, observed.at)
		default:
			e.crashes = append(e.crashes, confirmedCrash{at: observed.at, server: server, request: observed.request, sentAt: observed.sentAt()})
		}
	}
	slices.SortFunc(e.crashes, func(a, b confirmedCrash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.server, b.server))
	})
	if h.part {
		e.crashes = distinctRequests(e.crashes)
	}
	l.weigh(&e, f, h, suspects)
	if h.part {
		l.judgeProbation(&e, f, h, suspects)
	}
	return e
}

// judgeProbation determines whether crashes of a part, in order, ended requests that were sent once every node knew that
// the part was on probation.
func (l *Ledger) judgeProbation(e *evidence, f Fingerprint, h *history, suspects Suspects) {
	if len(e.crashes) <= maxPartCrashes {
		return
	}
	since := probationBegin(e.times())
	for _, c := range e.crashes {
		if c.sentAt.After(since) && !l.isAccompanied(f, h, suspects, c.server) {
			e.probationCrashes++
			e.failedProbation = e.failedProbation || !l.isShared(f, suspects, c.server, len(h.crashes))
		}
	}
}

// isAccompanied reports whether the request with a part that ran on a server when it crashed had another part that may be to
// blame, and which the request in question does not contain.
func (l *Ledger) isAccompanied(f Fingerprint, h *history, suspects Suspects, server uint64) bool {
	request := h.crashes[server].request
	for other := range l.byServer[server] {
		sibling := l.histories[other]
		if other != f && sibling.part && request != 0 && sibling.crashes[server].request == request && len(sibling.crashes) >= maxPartCrashes && !suspects.contains(other) {
			return true
		}
	}
	return false
}

// distinctRequests returns the first crash of each request with a part. A request that crashes servers by itself, however
// often it is sent, says nothing of the parts of its prompt.
func distinctRequests(crashes []confirmedCrash) []confirmedCrash {
	seen := map[Fingerprint]bool{}
	return slices.DeleteFunc(crashes, func(c confirmedCrash) bool {
		repeated := c.request != 0 && seen[c.request]
		seen[c.request] = true
		return repeated
	})
}

// weigh determines which crashes are shared with other suspects.
func (l *Ledger) weigh(e *evidence, f Fingerprint, h *history, suspects Suspects) {
	// What runs beside several crashing suspects has more crashes than each of them.
	limit := min(len(h.crashes), crashThreshold)
	weightLimit := len(h.crashes)
	if h.part {
		limit = max(min(len(e.crashes), crashThreshold), len(e.crashes)/partExcuseDivisor)
		weightLimit = limit
	}
	for i := range e.crashes {
		c := &e.crashes[i]
		c.shared = l.isShared(f, suspects, c.server, weightLimit)
		e.crashWeight += c.weight()
		if c.shared || l.isShared(f, suspects, c.server, limit) {
			e.shared++
		} else if e.soloAt.IsZero() {
			e.soloAt = c.at
		}
	}
}

// crashedAlone reports whether the suspect is known to have crashed a server without another
// suspect on it.
func (e *evidence) crashedAlone(now time.Time) bool {
	return !e.soloAt.IsZero() && (e.shared == 0 || now.Sub(e.soloAt) >= soloConfirmDelay)
}

// partCrashedAlone reports whether a part is known to have crashed servers without another suspect on them that the
// request in question does not contain. Of many requests that share a part, some run alone on a server that
// crashes for another reason, so that one crash is not enough.
func (e *evidence) partCrashedAlone() bool {
	alone := slices.DeleteFunc(slices.Clone(e.crashes), func(c confirmedCrash) bool { return c.shared })
	weight, _ := groupedCrashWeight(alone, true)
	return weight >= isolationThreshold
}

// weighRequest returns the weight of the crashes of a request, and whether other suspects may be to blame for all of them.
func (e *evidence) weighRequest(now time.Time) (weight float64, ambiguous bool) {
	if e.crashedAlone(now) {
		return e.crashWeight, false
	}
	grouped, groups := groupedCrashWeight(e.crashes, false)
	// A request that crashed another server after it was isolated and returned at a time of its
	// own was not a bystander by chance.
	return min(e.crashWeight, grouped), groups <= crashGroupThreshold
}

// weighPart returns the same for a part.
func (e *evidence) weighPart(now time.Time) (weight float64, ambiguous bool) {
	weight, groups := groupedCrashWeight(e.crashes, true)
	if e.failedProbation {
		return max(weight, crashThreshold), false
	}
	if !e.partCrashedAlone() {
		return weight, true
	}
	if len(e.crashes) >= maxPartCrashes && (groups > 1 || separateCrashWeight(e.crashes, now) >= crashThreshold) {
		weight = max(weight, crashThreshold)
	}
	return weight, false
}

// separateCrashWeight returns the weight of the crashes of a part, in order, that no common event explains, however close
// they are: each of them ended a request that was sent after the previous one. They count from PropagationTime on: a node that
// reports late what else ran on the servers makes sound parts look as if they alone had.
func separateCrashWeight(crashes []confirmedCrash, now time.Time) float64 {
	weight := 0.0
	var last time.Time
	for _, c := range crashes {
		if now.Sub(c.at) < PropagationTime {
			break
		}
		if last.IsZero() || !c.sentAt.IsZero() && c.sentAt.Sub(last) >= minCrashSeparation {
			weight += c.weight()
			last = c.at
		}
	}
	return weight
}

// evaluate returns the verdict on a suspect of a request from the observations in its history.
func (l *Ledger) evaluate(f Fingerprint, h *history, suspects Suspects, unconfirmed Unconfirmed, now time.Time) Verdict {
	e := l.collectEvidence(f, h, suspects, unconfirmed, now)
	if len(e.crashes) == 0 {
		return Verdict{Suspect: f, Part: h.part}
	}
	v := Verdict{Suspect: f, Part: h.part, Crashes: len(e.crashes)}
	if h.part {
		v.Weight, v.Ambiguous = e.weighPart(now)
	} else {
		v.Weight, v.Ambiguous = e.weighRequest(now)
	}
	last := e.crashes[len(e.crashes)-1].at
	switch {
	case v.Ambiguous:
		v.Until = later(last.Add(ambiguousDuration(f)), l.pendingUntil(f, e, now))
	case h.part:
		v.Until = trialAt(e.times(), l.trialDelay(suspects.Service, e.crashes[0].at))
	default:
		v.Until = last.Add(QuarantineDuration)
	}
	v.Quarantined = v.Weight >= crashThreshold && (v.Until.After(now) || h.part && !v.Ambiguous)
	if h.part && v.Ambiguous && e.probationCrashes < maxAmbiguousTrials {
		v.Quarantined = false
	}
	v.TrialDue = v.Quarantined && !v.Until.After(now)
	if !v.Quarantined {
		v.Until = time.Time{}
	}
	return v
}

// trialDelay returns how long a part is quarantined before its first trial. If this node's requests to the service have
// crashed servers and none that was sent since the part's first crash has been served, the service may crash under any
// request.
func (l *Ledger) trialDelay(service string, firstCrash time.Time) time.Duration {
	if seen := l.services[service]; seen.crashedAt.IsZero() || seen.servedSentAt.After(firstCrash) {
		return minTrialDelay
	}
	return minUncontrastedTrialDelay
}

// trialAt returns when a part with crashes at the given times may be tried. The delay doubles with each crash that came
// so long after the previous one that it must have been a trial.
func trialAt(crashes []time.Time, delay time.Duration) time.Time {
	slices.SortFunc(crashes, time.Time.Compare)
	gap := delay / 2
	for i := 1; i < len(crashes); i++ {
		if crashes[i].Sub(crashes[i-1]) >= gap {
			delay = min(2*delay, QuarantineDuration)
		}
	}
	return crashes[len(crashes)-1].Add(delay)
}

// pendingUntil returns until when the result of the last attempt of a suspect remains unknown.
// After an ambiguous quarantine, a single attempt is decisive.
func (l *Ledger) pendingUntil(f Fingerprint, e evidence, now time.Time) time.Time {
	if l.pending[f] > 0 {
		return now.Add(pendingSuspicionDuration)
	}
	return e.lastUnconfirmed.Add(PropagationTime)
}

func later(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// isShared reports whether a suspect with at least the given number of crashes, which the request in question does not
// contain, ran on a server when it crashed. What the request contains cannot excuse it.
func (l *Ledger) isShared(f Fingerprint, suspects Suspects, server uint64, crashes int) bool {
	for other := range l.byServer[server] {
		if other != f && len(l.histories[other].crashes) >= crashes && !suspects.contains(other) {
			return true
		}
	}
	return false
}

// groupedCrashWeight returns the weight of a sequence of crashes, and the number of
// groups that are at least PropagationTime apart. Within a group no node can isolate suspects
// that ran together, and a failure of many servers is a single event, so a group counts for at most half of
// crashThreshold however many servers crash, or for maxPartGroupWeight. All crashes of a request count as shared.
func groupedCrashWeight(crashes []confirmedCrash, part bool) (weight float64, groups int) {
	groupWeight := 0.0
	var groupStart time.Time
	for _, c := range crashes {
		if c.at.Sub(groupStart) >= PropagationTime {
			groupStart, groupWeight = c.at, 0
			groups++
		}
		added, limit := sharedWeight, crashThreshold/2.0
		if part {
			added, limit = c.weight(), maxPartGroupWeight
		}
		added = min(added, limit-groupWeight)
		groupWeight += added
		weight += added
	}
	return weight, groups
}

// ambiguousDuration returns the quarantine duration of a suspect with only shared crashes. It
// depends on the fingerprint, so that such requests return at different times and the next
// attempt tells them apart.
func ambiguousDuration(f Fingerprint) time.Duration {
	fraction := float64(f) / math.MaxUint64
	return minAmbiguousDuration + time.Duration(fraction*float64(minAmbiguousDuration))
}

// IsolationKey returns the key of the server order of a request that is isolated from others, or 0 if it is not. All
// requests with the same suspected parts have the same order, so that they reach few servers.
func (l *Ledger) IsolationKey(suspects Suspects, now time.Time) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := uint64(0)
	for f, part := range suspects.all {
		if part && l.suspectedPart(f, suspects, now) {
			// Addition makes the key independent of the order of the parts.
			key += uint64(f)
		}
	}
	if key == 0 && l.suspectedCrashes(suspects.Request) >= isolationThreshold {
		key = uint64(suspects.Request)
	}
	return key
}

// SuspectedPart reports whether one of the parts of a request has so many crashes that the request should not be sent
// again by the node that has sent it.
func (l *Ledger) SuspectedPart(suspects Suspects, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.ContainsFunc(suspects.Parts, func(f Fingerprint) bool { return l.suspectedPart(f, suspects, now) })
}

// suspectedPart reports whether the crashes of a part, as far as they are not explained by suspects that the request does
// not contain, reach isolationThreshold.
func (l *Ledger) suspectedPart(f Fingerprint, suspects Suspects, now time.Time) bool {
	h := l.histories[f]
	if h == nil || len(h.crashes) < isolationThreshold {
		return false
	}
	e := l.collectEvidence(f, h, suspects, func(uint64, time.Time) bool { return false }, now)
	return e.crashWeight >= isolationThreshold
}

// suspectedCrashes returns the number of servers that have crashed while running a request,
// including unresolved suspicions of this node.
func (l *Ledger) suspectedCrashes(f Fingerprint) int {
	count := l.pending[f]
	if h := l.histories[f]; h != nil {
		count += len(h.crashes)
	}
	return count
}

// Quarantined returns the suspects that this node quarantines from its own observations,
// whatever the shared store contains. Ambiguous ones are omitted: the store would keep them for
// QuarantineDuration.
func (l *Ledger) Quarantined(unconfirmed Unconfirmed, now time.Time) Suspected {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	quarantined := Suspected{}
	for f, h := range l.histories {
		if len(h.crashes) < crashThreshold {
			continue
		}
		if v := l.evaluate(f, h, l.companions(f, h), unconfirmed, now); v.Quarantined && !v.Ambiguous {
			quarantined[f] = h.part
		}
	}
	return quarantined
}

// companions returns a suspect with the parts that were in the same requests as it when servers crashed. It stands for a
// request that contains the suspect, where none is being evaluated: what came along cannot excuse it.
func (l *Ledger) companions(f Fingerprint, h *history) Suspects {
	suspects := Suspects{Request: f}
	if h.part {
		suspects = Suspects{Parts: []Fingerprint{f}}
	}
	for server, observed := range h.crashes {
		request := f
		if h.part {
			request = observed.request
		}
		for other := range l.byServer[server] {
			sibling := l.histories[other]
			if request != 0 && sibling.part && sibling.crashes[server].request == request && !suspects.contains(other) {
				suspects.Parts = append(suspects.Parts, other)
			}
		}
	}
	return suspects
}

// Cleared reports whether a suspect is known not to need quarantine: a complete response overrides all its crashes,
// or enough of its crashed servers have answered since.
func (l *Ledger) Cleared(f Fingerprint, unconfirmed Unconfirmed, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	h := l.histories[f]
	if h == nil {
		return false
	}
	if h.served.isSet() && (!h.part || len(h.crashes) == 0) {
		return true
	}
	return len(h.crashes) >= crashThreshold && !l.evaluate(f, h, l.companions(f, h), unconfirmed, now).Quarantined
}
