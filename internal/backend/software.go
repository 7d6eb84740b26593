package backend

import (
	"maps"
	"slices"
	"time"
)

// SoftwareRetention is how long after its last server left the list a software version still counts
// as one that may have begun a stream. Callers' tries of one stream end sooner.
const SoftwareRetention = 2 * time.Minute

// otherProcessRetention is how long a server that reported another start time than its entry counts as replaced.
const otherProcessRetention = time.Second

// SoftwareVersions holds the software versions of each service. A version is unknown, "", if the
// node that reported the server does not pass it on.
type SoftwareVersions map[string][]string

// softwareUse is the use of one software version by the servers of one service.
type softwareUse struct {
	listed int
	// lastListedAt is when the last listed server left the list.
	lastListedAt time.Time
}

// softwareHistory holds the software versions of the servers of each service that are listed, or were
// within SoftwareRetention.
type softwareHistory struct {
	services map[string]map[string]*softwareUse
	// completeAt is when the history covers SoftwareRetention; zero before the first list.
	completeAt time.Time
	// changed has an element after a version was added, or the record turned out not to be complete.
	changed chan struct{}
	// unrecorded has an element after a version was listed that is not recorded, or the record turned out not to be
	// complete.
	unrecorded chan struct{}
	// record is the latest record that this node could read, or that of a malformed entry if it knows no other; nil if
	// it knows none.
	record *SoftwareRecord
	// unreadable is that of the malformed entry that has replaced record in the store, or nil.
	unreadable *SoftwareRecord
}

func newSoftwareHistory() softwareHistory {
	return softwareHistory{services: map[string]map[string]*softwareUse{}, changed: make(chan struct{}, 1), unrecorded: make(chan struct{}, 1)}
}

// signal adds an element to a channel that has none.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (h *softwareHistory) use(service, software string) *softwareUse {
	versions := h.services[service]
	if versions == nil {
		versions = map[string]*softwareUse{}
		h.services[service] = versions
	}
	if versions[software] == nil {
		versions[software] = &softwareUse{}
		signal(h.changed)
	}
	return versions[software]
}

// change replaces the listed server before, if any, by after, if any.
func (h *softwareHistory) change(before, after *Server, now time.Time) {
	if h.completeAt.IsZero() {
		// Until then this node may not have known a version that is not listed any more.
		h.completeAt = now.Add(SoftwareRetention)
	}
	if after != nil {
		h.use(after.Service, after.Software).listed++
		if !h.mayBegin(after.Service, after.Software) {
			signal(h.unrecorded)
		}
	}
	if before != nil {
		use := h.use(before.Service, before.Software)
		use.listed--
		use.lastListedAt = now
		if before.Software == "" && after != nil && after.Software != "" && use.listed == 0 {
			// The unknown version has become known.
			delete(h.services[before.Service], "")
		}
	}
}

// versions returns the versions of a service, sorted.
func (h *softwareHistory) versions(service string, now time.Time) []string {
	used := h.services[service]
	for software, use := range used {
		if use.listed == 0 && now.Sub(use.lastListedAt) > SoftwareRetention {
			delete(used, software)
		}
	}
	return slices.Sorted(maps.Keys(used))
}

// MixesSoftware reports whether servers of several software versions, or of unknown ones, may have
// begun streams that are still going on.
func (set *Set) MixesSoftware(service string, now time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	versions := set.software.versions(service, now)
	return len(versions) > 1 || slices.Contains(versions, "")
}

// RequiresOrigins reports whether what began a stream of a service can be told only by a record of the stream, at
// some node at least.
func (set *Set) RequiresOrigins(service string, now time.Time) bool {
	return set.MixesSoftware(service, now) || set.LacksCompleteRecord()
}

// ServicesRequiringOrigins returns the services of which RequiresOrigins is true.
func (set *Set) ServicesRequiringOrigins(now time.Time) map[string]bool {
	services := set.MixedServices(now)
	if set.LacksCompleteRecord() {
		set.mutex.Lock()
		defer set.mutex.Unlock()
		for service := range set.software.services {
			services[service] = true
		}
	}
	return services
}

// SoftwareAdded returns a channel that has an element after a software version was added, or the record turned out
// not to be complete. It is for one receiver.
func (set *Set) SoftwareAdded() <-chan struct{} { return set.software.changed }

// MixedServices returns the services of which MixesSoftware is true.
func (set *Set) MixedServices(now time.Time) map[string]bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	mixed := map[string]bool{}
	for service := range set.software.services {
		if versions := set.software.versions(service, now); len(versions) > 1 || slices.Contains(versions, "") {
			mixed[service] = true
		}
	}
	return mixed
}

// OnlySoftware returns the software version that has begun all streams of a service that may still
// be going on, if this node knows that there is only one.
func (set *Set) OnlySoftware(service string, now time.Time) (software string, known bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	versions := set.software.versions(service, now)
	complete := !set.software.completeAt.IsZero() && !now.Before(set.software.completeAt)
	if !complete || len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}

// Software returns the software versions of all services that are listed, or were within
// SoftwareRetention. Complete reports that this node knows all of them.
func (set *Set) Software(now time.Time) (versions SoftwareVersions, complete bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	versions = SoftwareVersions{}
	for service := range set.software.services {
		if used := set.software.versions(service, now); len(used) > 0 {
			versions[service] = used
		}
	}
	return versions, !set.software.completeAt.IsZero() && !now.Before(set.software.completeAt)
}

// LacksSoftware reports whether the software version of a listed server is unknown.
func (set *Set) LacksSoftware() bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for _, versions := range set.software.services {
		if use := versions[""]; use != nil && use.listed > 0 {
			return true
		}
	}
	return false
}

// SetSoftware sets the software versions that are unknown to those of the same incarnations in a list
// of servers.
func (set *Set) SetSoftware(servers []Server, now time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for _, server := range servers {
		e := set.servers[server.Incarnation()]
		if e == nil || e.server.Software != "" {
			continue
		}
		before := e.listedServer()
		e.keepSoftware(server.Software)
		if before != nil {
			set.software.change(before, e.server, now)
		}
	}
}

// ListsSoftware reports whether a listed server of a service has a software version.
func (set *Set) ListsSoftware(service, software string) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	use := set.software.services[service][software]
	return use != nil && use.listed > 0
}

// SoftwareOf returns the software version of an incarnation; "" if it is not known, or if a later
// incarnation has replaced it.
func (set *Set) SoftwareOf(name string) string {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	if e == nil || set.latest[e.server.Instance] != e {
		return ""
	}
	return e.server.Software
}

// ObserveListRead records a time at which the list of servers was still current.
func (set *Set) ObserveListRead(at time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if at.After(set.listReadAt) {
		set.listReadAt = at
	}
}

// ListReadSince reports whether the list of servers was read after a time.
func (set *Set) ListReadSince(at time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.listReadAt.After(at)
}

// Server returns the description of an incarnation.
func (set *Set) Server(name string) (server Server, found bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	if e == nil {
		return Server{}, false
	}
	return *e.server, true
}

// ObserveBorn records the start time that a server itself reported in answer to a call sent at a time.
// It returns whether that is the start time of the incarnation. If it is not, the server begins no streams for
// otherProcessRetention, unless it is listed anew.
func (set *Set) ObserveBorn(name string, born int64, sentAt time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	if e == nil {
		return false
	}
	local := set.ensureLocalState(e)
	if e.server.Born != born {
		local.otherProcessUntil = sentAt.Add(otherProcessRetention)
		return false
	}
	local.otherProcessUntil = time.Time{}
	if sentAt.After(local.confirmedAt) {
		local.confirmedAt = sentAt
	}
	return true
}

// ObserveAnswer records that an attempt, sent at a time, was answered on a connection that was
// established earlier. If an incarnation certainly accepted that connection, it still ran then.
func (set *Set) ObserveAnswer(name string, connectedAt, sentAt time.Time, entryTTL time.Duration) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	if e == nil || e.server.Born == 0 || !set.isIncarnation(e, connectedAt, entryTTL) {
		return
	}
	if local := set.ensureLocalState(e); sentAt.After(local.confirmedAt) {
		local.confirmedAt = sentAt
	}
}

// IsIncarnation reports whether it is certain that an incarnation accepted a connection that was
// established at a time, and not one that has started since under the same instance ID and that the
// list lacks. Incarnations without a start time have instance IDs of their own. The entry of a former
// incarnation is replaced or has expired after entryTTL.
func (set *Set) IsIncarnation(name string, connectedAt time.Time, entryTTL time.Duration) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	e := set.servers[name]
	return e != nil && set.isIncarnation(e, connectedAt, entryTTL)
}

func (set *Set) isIncarnation(e *entry, connectedAt time.Time, entryTTL time.Duration) bool {
	switch {
	case set.latest[e.server.Instance] != e:
		return false
	case e.server.Born == 0:
		return true
	case connectedAt.IsZero():
		return false
	default:
		return !e.local().confirmedAt.Before(connectedAt) || e.listed && connectedAt.Add(entryTTL).Before(set.listReadAt)
	}
}
