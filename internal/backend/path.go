package backend

import "time"

const (
	// isolationQuorum is the number of servers to which connections must fail, without one that
	// succeeds elsewhere, for the node to count as isolated. A single server may have crashed.
	isolationQuorum = 2
	// detourRetryInterval is how long a server counts as unreachable after no other node reached it
	// either, and for how long all servers with broken paths do after no other node was available.
	detourRetryInterval = time.Second
	// minPathProbeInterval and maxPathProbeInterval bound the time between two probes of a broken
	// path. It doubles from one to the next.
	minPathProbeInterval = 500 * time.Millisecond
	maxPathProbeInterval = 1500 * time.Millisecond
	// minRestoreInterval is the minimum time between two restorations of a path, so that it changes its state at most
	// once a second.
	minRestoreInterval = 2 * time.Second
	// probeRounds is the number of rounds of probes in which all broken paths are probed once.
	probeRounds = 8
	// unansweredLimit is how long a server may leave this node without a response until a probe must
	// tell whether the path to it is intact, and unansweredByPeersLimit the same while it answers other
	// nodes.
	unansweredLimit        = time.Second
	unansweredByPeersLimit = 500 * time.Millisecond
	// peerEvidenceMargin is by how much a reported response must be later than an event to prove
	// that it came after it: reports take some time to arrive.
	peerEvidenceMargin = 100 * time.Millisecond
)

// path is the state of this node's own connections to a server. The zero value is intact.
type path struct {
	// brokenSince is when the first of the connections that failed was begun; zero while the path is
	// intact.
	brokenSince time.Time
	// refused is set if connections could not be established, and not if they ended without a response.
	refused bool
	// detour is set once attempts go through other nodes.
	detour bool
	// unreachableUntil is until when the server counts as unreachable for all nodes.
	unreachableUntil time.Time
	// suspectedAt is when a probe was requested, since attempts on established connections have failed;
	// zero if none is to be sent. probedAt is when one that was requested was sent; zero once it has a result.
	suspectedAt time.Time
	probedAt    time.Time
	// suspectedWithAll is set if that probe was requested only since this node may reach no server.
	suspectedWithAll bool
	// restoredAt is when the path was last restored. Connections that were begun before say nothing of it.
	restoredAt time.Time
	// lapsedAt is when the last probe was begun that got no response within unansweredLimit although the server has responded on
	// other connections since.
	lapsedAt time.Time
	// checkedAt is when the path was last restored, or a probe of it was sent on suspicion, and recheckAt when it may be
	// probed again for the failure of an attempt that was sent later.
	checkedAt time.Time
	recheckAt time.Time
	// probeAt is when the next probe is due, and probeInterval the time from the last one to it.
	probeAt       time.Time
	probeInterval time.Duration
}

// PathChange is a change of the state of this node's paths to servers.
type PathChange struct {
	// Server is the server whose path broke or was restored, and Broken which of these it was. It is
	// "" if no path changed. BrokenFor is how long a restored path was broken.
	Server    string
	Broken    bool
	BrokenFor time.Duration
	// IsolationChanged reports that Isolated changed. BrokenPaths is the number of broken paths.
	IsolationChanged bool
	Isolated         bool
	BrokenPaths      int
}

// Any reports whether anything changed.
func (c PathChange) Any() bool { return c.Server != "" || c.IsolationChanged }

// ObserveConnect records that a connection to an address, begun at startedAt, has brought a response of
// the server, or could not be established. A failure breaks the path to the server. A response restores
// it. If connections could not be established, one on an older connection does not: that may outlast a
// partition. The end of a handshake is no evidence, since gateways and full backlogs accept first.
func (set *Set) ObserveConnect(address string, answered bool, startedAt, now time.Time) PathChange {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if !answered {
		return set.breakPaths(address, true, startedAt, now)
	}
	if startedAt.After(set.connectedAt) {
		set.connectedAt = startedAt
	}
	set.heardAt = now
	for e := range set.suspectedPaths {
		if e.server.Address == address && startedAt.After(e.path.suspectedAt) {
			e.path.suspectedAt = time.Time{}
			delete(set.suspectedPaths, e)
		}
	}
	set.endProbe(address, startedAt)
	change := PathChange{}
	for e := range set.brokenPaths {
		if e.server.Address == address && e.listed && (!e.path.refused || startedAt.After(e.path.brokenSince)) && !now.Before(e.path.restorableAt()) {
			change.Server, change.BrokenFor = e.name, now.Sub(e.path.brokenSince)
			set.restorePath(e, now)
		}
	}
	set.updateIsolation(&change, now)
	if change.Any() {
		// The cause of the other broken paths may have ended too.
		set.noDetourUntil = time.Time{}
		for e := range set.brokenPaths {
			e.path.probeAt, e.path.probeInterval = later(now, e.path.restorableAt()), minPathProbeInterval
		}
	}
	return change
}

// restorableAt returns from when on a broken path may be restored.
func (p *path) restorableAt() time.Time {
	if p.restoredAt.IsZero() {
		return time.Time{}
	}
	return p.restoredAt.Add(minRestoreInterval)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ObserveUnanswered records that a probe of the path to an address, begun at startedAt, was connected and got
// no response. It breaks the path, unless the server has meanwhile responded on another connection: a server
// that has too many connections resets new ones.
func (set *Set) ObserveUnanswered(address string, startedAt, now time.Time) PathChange {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.breakPaths(address, false, startedAt, now)
}

// breakPaths breaks the path to the server at an address.
func (set *Set) breakPaths(address string, refused bool, startedAt, now time.Time) PathChange {
	change := PathChange{}
	for e := range set.withLocalState {
		if e.server.Address != address || !e.listed || startedAt.Before(e.path.restoredAt) {
			continue
		}
		switch {
		case !refused && e.heardAt.After(startedAt):
			if now.Sub(startedAt) >= unansweredLimit {
				e.path.lapsedAt = startedAt
			}
		case e.path.brokenSince.IsZero():
			change.Server, change.Broken = e.name, true
			e.path.brokenSince, e.path.refused, e.path.suspectedAt = startedAt, refused, time.Time{}
			e.path.probeAt, e.path.probeInterval = later(now.Add(minPathProbeInterval), e.path.restorableAt()), minPathProbeInterval
			set.brokenPaths[e] = true
		}
	}
	set.endProbe(address, startedAt)
	set.updateIsolation(&change, now)
	return change
}

// endProbe records that a probe of the path to an address that was requested has a result, if the connection of the result
// was begun after it was sent.
func (set *Set) endProbe(address string, startedAt time.Time) {
	for e := range set.probedPaths {
		if e.server.Address == address && !startedAt.Before(e.path.probedAt) {
			e.path.probedAt = time.Time{}
			delete(set.probedPaths, e)
		}
	}
}

// updateIsolation records in a change whether this node has become isolated, or no longer is.
func (set *Set) updateIsolation(change *PathChange, now time.Time) {
	change.Isolated = set.isIsolated()
	change.IsolationChanged = change.Isolated != !set.isolatedSince.IsZero()
	switch {
	case !change.Isolated:
		set.isolatedSince = time.Time{}
	case change.IsolationChanged:
		set.isolatedSince = now
	}
	change.BrokenPaths = len(set.brokenPaths)
}

// restorePath records that a path is intact again. The failures that were observed on it say nothing of the
// server. Only the failure of an attempt that was sent later is evidence against it at once: others may have failed
// before.
func (set *Set) restorePath(e *entry, now time.Time) {
	e.resetFailures()
	e.path = path{restoredAt: now, lapsedAt: e.path.lapsedAt, probeAt: now.Add(maxPathProbeInterval), checkedAt: now, recheckAt: now}
	delete(set.brokenPaths, e)
}

// resetFailures forgets the failures of attempts on the server.
func (local *localState) resetFailures() {
	local.breaker.Succeeded()
	local.failures = failureRate{}
	local.lastConnectFailureAt = time.Time{}
}

// Isolated reports whether this node seems to be partitioned from all servers: connections to
// isolationQuorum of them, or to all if there are fewer, have failed since the last one that brought a
// response.
func (set *Set) Isolated() bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.isIsolated()
}

// IsolatedSince reports whether this node may have been isolated from all servers at a given time: it is now, and
// has got no response on a connection that was begun later. Connections to several servers do not break at quite the same
// time.
func (set *Set) IsolatedSince(at time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.isIsolated() && !set.connectedAt.After(at.Add(peerEvidenceMargin))
}

// IsolatedFor returns for how long this node has been isolated, or 0 if it is not.
func (set *Set) IsolatedFor(now time.Time) time.Duration {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if set.isolatedSince.IsZero() || !set.isIsolated() {
		return 0
	}
	return now.Sub(set.isolatedSince)
}

func (set *Set) isIsolated() bool {
	failed := 0
	for e := range set.brokenPaths {
		if e.listed && e.path.brokenSince.After(set.connectedAt) {
			failed++
		}
	}
	return failed > 0 && failed >= min(isolationQuorum, len(set.servers)-len(set.unlisted))
}

// mayBeIsolated reports whether this node is isolated, or has heard no server since a path broke.
func (set *Set) mayBeIsolated() bool {
	for e := range set.brokenPaths {
		if e.listed && e.path.brokenSince.After(set.heardAt) {
			return true
		}
	}
	return set.isIsolated()
}

// NeedsDetour reports whether an attempt on a server must go through another node: the path to it is
// broken, while other nodes are answered by it or this node reaches no server at all.
func (set *Set) NeedsDetour(name string) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	return e != nil && set.needsDetour(e)
}

func (set *Set) needsDetour(e *entry) bool {
	local := e.local()
	if local.path.brokenSince.IsZero() || !e.listed {
		return false
	}
	if !local.path.detour && set.failsByPath(e) {
		// The failures so far were those of the path.
		local.path.detour = true
		local.resetFailures()
	}
	return local.path.detour
}

// failsByPath reports whether connections to a server fail because of this node's path to it, as far as is known now. Detours
// last longer than that: two servers that crash at a time look like an isolated node until a probe is answered.
func (set *Set) failsByPath(e *entry) bool {
	return !e.local().path.brokenSince.IsZero() && (e.answeredPeersSince(e.path.brokenSince) || set.isIsolated())
}

// FailsByPath reports whether failed connections to a server show nothing of it, since this node's path to it has failed as
// far as is known.
func (set *Set) FailsByPath(name string) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	return e != nil && e.listed && set.failsByPath(e)
}

// PathBroken reports whether the path to a server is broken.
func (set *Set) PathBroken(name string) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	return e != nil && !e.local().path.brokenSince.IsZero()
}

// PathVerdict is what is known of the path on which an attempt has failed.
type PathVerdict int

const (
	// PathNotFailed means that nothing shows that the path has failed, and not the server.
	PathNotFailed PathVerdict = iota
	// PathPending means that a probe that may show it is to be sent or in flight.
	PathPending
	// PathFailed means that the path has failed while the server runs, as far as known, or that this node is isolated.
	PathFailed
)

// PathVerdict returns what is known of the path on which an attempt on a server failed at a given time. While this node may
// be isolated, the probes of all paths decide. Another incarnation shows that the server has terminated.
func (set *Set) PathVerdict(name string, failedAt, now time.Time) PathVerdict {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	if e == nil || !e.listed || !e.local().replacedUntil.IsZero() {
		return PathNotFailed
	}
	path := e.local().path
	switch broken := !path.brokenSince.IsZero(); {
	case path.restoredAt.After(failedAt) || set.needsDetour(e):
		return PathFailed
	case path.undecided(now) || broken && set.mayBeIsolated() && set.awaitsProbes(now):
		return PathPending
	default:
		return PathNotFailed
	}
}

// PathLapsed reports whether the path to a server had failed for a while after a time, which only some of the connections have
// outlasted.
func (set *Set) PathLapsed(name string, since time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	return e != nil && e.listed && e.local().replacedUntil.IsZero() && e.local().path.lapsedAt.After(since)
}

// SentOnBrokenPath reports whether an attempt on a server was sent at a time at which the path was already broken, as a probe
// that got no response has shown, and still is. The failure of such an attempt says nothing of the server.
func (set *Set) SentOnBrokenPath(name string, sentAt time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	if e == nil || !e.listed || !e.local().replacedUntil.IsZero() {
		return false
	}
	path := e.local().path
	return !path.refused && !path.brokenSince.IsZero() && sentAt.After(path.brokenSince)
}

// undecided reports whether a probe of the path that was requested has no result yet.
func (p *path) undecided(now time.Time) bool {
	return !p.suspectedAt.IsZero() || !p.probedAt.IsZero() && now.Before(p.probeAt)
}

// awaitsProbes reports whether the path to any server in use is yet to be probed, or being probed.
func (set *Set) awaitsProbes(now time.Time) bool {
	for e := range set.withLocalState {
		if e.listed && e.path.brokenSince.IsZero() && (e.path.undecided(now) || !now.Before(e.path.probeAt)) {
			return true
		}
	}
	return false
}

// SuspendDetours records that no other node is available for attempts on servers with broken paths.
func (set *Set) SuspendDetours(now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	set.noDetourUntil = now.Add(detourRetryInterval)
}

// unreachableFor returns for how long neither this node nor, as far as known, another one reaches the
// server.
func (set *Set) unreachableFor(local *localState, now time.Time) time.Duration {
	until := local.path.unreachableUntil
	if local.path.detour && set.noDetourUntil.After(until) {
		until = set.noDetourUntil
	}
	return max(0, until.Sub(now))
}

// answeredPeersSince reports whether the server has responded to other nodes since a time.
func (entry *entry) answeredPeersSince(since time.Time) bool {
	return entry.peers != nil && entry.peers.answeredAt.After(since)
}

// AnsweredPeersSince reports whether a server has responded to other nodes since the failure of a connection to it at a given
// time.
func (set *Set) AnsweredPeersSince(key uint64, failedAt time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.byKey[key]
	return e != nil && e.answeredPeersSince(failedAt.Add(peerEvidenceMargin))
}

// PartitionedFrom reports whether there is evidence that the failure of a connection to a server at
// a given time was that of this node's path: the server has answered other nodes since, or this node
// is isolated and has such evidence of another server.
func (set *Set) PartitionedFrom(key uint64, failedAt time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.byKey[key]
	if e == nil {
		return false
	}
	if e.answeredPeersSince(failedAt.Add(peerEvidenceMargin)) {
		return true
	}
	if !set.isIsolated() {
		return false
	}
	for other := range set.brokenPaths {
		if other.answeredPeersSince(other.path.brokenSince.Add(peerEvidenceMargin)) {
			return true
		}
	}
	return false
}

// SuspectPath requests a probe of the path to a server, after attempts on established connections
// have failed.
func (set *Set) SuspectPath(name string, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if e := set.servers[name]; e != nil && e.listed {
		set.ensureLocalState(e)
		set.suspectPath(e, now)
	}
}

// SuspectPathSince is like SuspectPath after an attempt has failed that was sent at sentAt. The probe does not wait as long
// as after other evidence if the path was restored or probed before that.
func (set *Set) SuspectPathSince(name string, sentAt, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	if e == nil || !e.listed {
		return
	}
	set.ensureLocalState(e)
	set.suspectPath(e, now)
	if e.path.brokenSince.IsZero() && sentAt.After(e.path.checkedAt) && e.path.recheckAt.Before(e.path.probeAt) {
		e.path.probeAt = later(now, e.path.recheckAt)
	}
}

// suspectPath requests a probe of a path for a reason of its own.
func (set *Set) suspectPath(e *entry, now time.Time) {
	e.path.suspectedWithAll = false
	set.requestProbe(e, now)
}

func (set *Set) requestProbe(e *entry, now time.Time) {
	if !e.path.suspectedAt.IsZero() || !e.path.brokenSince.IsZero() {
		return
	}
	// A server is not probed more often than a broken path.
	if e.path.suspectedAt = now; e.path.probeAt.Before(now) {
		e.path.probeAt = now
	}
	set.suspectedPaths[e] = true
}

// suspectPathsInUse requests probes of the paths to all servers in use. What has partitioned this node from some
// of them may have done so from all, and each would cost requests.
func (set *Set) suspectPathsInUse(now time.Time) {
	for e := range set.withLocalState {
		if e.listed && e.path.suspectedAt.IsZero() && e.path.brokenSince.IsZero() && !now.Before(e.path.probeAt) {
			e.path.suspectedWithAll = true
			set.requestProbe(e, now)
		}
	}
}

// clearGeneralSuspicion drops the requests of suspectPathsInUse, since this node reaches some server.
func (set *Set) clearGeneralSuspicion() {
	for e := range set.suspectedPaths {
		if e.path.suspectedWithAll {
			e.path.suspectedAt, e.path.suspectedWithAll = time.Time{}, false
			delete(set.suspectedPaths, e)
		}
	}
}

// DuePathProbes returns the addresses of some servers whose paths are to be probed now: at most limit or
// a probeRounds-th of the broken paths, and one more while this node is isolated. The result of each
// probe must be passed to ObserveConnect or ObserveUnanswered.
func (set *Set) DuePathProbes(limit int, now time.Time) []string {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	set.suspectSilentPaths(now)
	if set.mayBeIsolated() {
		set.suspectPathsInUse(now)
	} else {
		set.clearGeneralSuspicion()
	}
	limit = max(limit, len(set.brokenPaths)/probeRounds)
	var due []string
	for e := range set.suspectedPaths {
		if len(due) == limit {
			return due
		}
		if now.Before(e.path.probeAt) {
			continue
		}
		delete(set.suspectedPaths, e)
		if !e.path.suspectedAt.IsZero() && e.listed {
			e.path.suspectedAt, e.path.probedAt, e.path.probeAt = time.Time{}, now, now.Add(maxPathProbeInterval)
			e.path.checkedAt, e.path.recheckAt = now, now.Add(minPathProbeInterval)
			set.probedPaths[e] = true
			due = append(due, e.server.Address)
		}
	}
	probed := len(due)
	for e := range set.brokenPaths {
		switch {
		case !e.listed:
			e.path = path{}
			delete(set.brokenPaths, e)
		case len(due) < limit && !now.Before(e.path.probeAt):
			e.path.probeInterval = min(2*e.path.probeInterval, maxPathProbeInterval)
			e.path.probeAt = now.Add(e.path.probeInterval)
			due = append(due, e.server.Address)
		}
	}
	if len(due) > probed && set.isIsolated() {
		due = append(due, set.intactPath()...)
	}
	return due
}

// suspectSilentPaths requests probes of the paths to servers that do not answer this node: attempts on
// connections that were open before a partition stay silent.
func (set *Set) suspectSilentPaths(now time.Time) {
	for e := range set.withLocalState {
		since := e.unansweredSince
		if since.IsZero() || !e.listed || !e.path.brokenSince.IsZero() || now.Before(e.path.probeAt) {
			continue
		}
		limit := unansweredLimit
		if e.answeredPeersSince(since.Add(peerEvidenceMargin)) {
			limit = unansweredByPeersLimit
		}
		if now.Sub(since) >= limit {
			set.suspectPath(e, now)
		}
	}
}

// intactPath returns the address of any listed server whose path is not known to be broken, if there
// is one. While it responds, this node is not isolated.
func (set *Set) intactPath() []string {
	for _, e := range set.servers {
		if e.listed && !set.brokenPaths[e] {
			return []string{e.server.Address}
		}
	}
	return nil
}

// BrokenPaths returns the number of listed servers to which the path is broken.
func (set *Set) BrokenPaths() int {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return len(set.brokenPaths)
}
