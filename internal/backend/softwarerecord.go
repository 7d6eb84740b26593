package backend

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// SoftwareRecord is what the shared store holds of the software versions of each service, for nodes that
// start. A version begins streams only while it is in the record, so that nodes that start know all
// versions that may have begun one, also after the loss of all other nodes.
type SoftwareRecord struct {
	Versions SoftwareVersions
	// Revision is that of the entry in the store; 0 if there is none.
	Revision int64
	// AsOf is the position of the store at which the entry was read.
	AsOf coordination.Position
}

// WireSoftwareRecord is the gob encoding of a SoftwareRecord.
type WireSoftwareRecord struct {
	Versions SoftwareVersions
	Revision int64
	AsOf     coordination.WirePosition
}

// Wire returns the encoding of the record.
func (r *SoftwareRecord) Wire() *WireSoftwareRecord {
	if r == nil {
		return nil
	}
	return &WireSoftwareRecord{Versions: r.Versions, Revision: r.Revision, AsOf: r.AsOf.Wire()}
}

// Record returns the decoded record.
func (w *WireSoftwareRecord) Record() *SoftwareRecord {
	if w == nil {
		return nil
	}
	return &SoftwareRecord{Versions: w.Versions, Revision: w.Revision, AsOf: w.AsOf.Position()}
}

// completeEraField is the field of a record that names the eras of the store in which a node knew that the record is
// complete. No service has that name, so that builds without the field take it for a service without servers. Such
// builds keep former eras beside the latest for a time.
const completeEraField = ""

// unreadableEra stands in the field of eras of a record that was malformed, or that has replaced one. It is the name of
// no era, so that builds that do not know it do not take the record for a complete one either.
const unreadableEra = "unreadable"

// UnreadableSoftwareRecord returns what a malformed entry, read at a position, means: it names no version, and may lack
// some.
func UnreadableSoftwareRecord(revision int64, asOf coordination.Position) SoftwareRecord {
	return SoftwareRecord{Versions: SoftwareVersions{completeEraField: {unreadableEra}}, Revision: revision, AsOf: asOf}
}

// Unreadable reports whether the record is that of a malformed entry.
func (r *SoftwareRecord) Unreadable() bool {
	return len(r.Versions) == 1 && slices.Equal(r.Versions[completeEraField], []string{unreadableEra})
}

// wasUnreadable reports whether the record is that of a malformed entry, or has replaced one.
func (r *SoftwareRecord) wasUnreadable() bool {
	return slices.Contains(r.Versions[completeEraField], unreadableEra)
}

// maxRecordGap is the longest time without the list of servers after which a node still knows all versions that were
// recorded before the store was restored, or before the record became malformed.
const maxRecordGap = 2 * time.Second

// Complete reports whether all versions that may have begun a stream are in the record: after a restore of the
// store, the entry may be one that lacks some, and one that has replaced a malformed entry may, too.
func (r *SoftwareRecord) Complete() bool {
	if eras := r.Versions[completeEraField]; len(eras) > 0 {
		return slices.Contains(eras, r.era())
	}
	return !r.AsOf.MayFollowRestore()
}

// era returns the name of the era in which the record was read. A store that sends no era is never restored: its
// records name the era 0.
func (r *SoftwareRecord) era() string {
	number, _ := r.AsOf.Era.Number()
	return strconv.FormatInt(number, 10)
}

// Services returns the recorded versions of each service.
func (r *SoftwareRecord) Services() SoftwareVersions {
	services := maps.Clone(r.Versions)
	delete(services, completeEraField)
	return services
}

// Replacement returns what is to be written instead of the record's versions, by a node that knows other versions.
// Complete reports that it knows all.
func (r *SoftwareRecord) Replacement(versions SoftwareVersions, complete bool) SoftwareVersions {
	if len(versions) == 0 && len(r.Services()) == 0 {
		return r.Versions
	}
	replacement := maps.Clone(versions)
	eras, found := r.Versions[completeEraField]
	switch {
	case complete && !slices.Contains(eras, r.era()):
		replacement[completeEraField] = []string{r.era()}
	case found:
		replacement[completeEraField] = eras
	}
	return replacement
}

// contains reports whether a version of a service is recorded.
func (r *SoftwareRecord) contains(service, software string) bool {
	return slices.Contains(r.Versions[service], software)
}

// Digests of records. Builds that do not pass on records send none.
const (
	// NoSoftwareDigest is that of a node that knows no record.
	NoSoftwareDigest uint64 = 1
	// minSoftwareDigest is the lowest digest of a record.
	minSoftwareDigest uint64 = 2
)

// Digest returns a hash by which nodes compare their records; NoSoftwareDigest for nil.
func (r *SoftwareRecord) Digest() uint64 {
	if r == nil {
		return NoSoftwareDigest
	}
	// Maps of strings always have an encoding, in key order.
	encoded, _ := json.Marshal(r.Versions)
	return max(minSoftwareDigest, uint64(prefix.HashName(string(encoded))))
}

// SetSoftwareRecord applies a record, unless a later one is known. It reports whether the record has
// changed. With a complete record, the history is complete. A node that was out of touch when the store was
// restored, or the entry malformed, may have missed versions. A malformed entry replaces no record that could be
// read: nodes that start know from it that they lack versions, so that those in the former record may go on
// beginning streams.
func (set *Set) SetSoftwareRecord(record SoftwareRecord, now time.Time) (changed bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	h := &set.software
	if h.record != nil && record.AsOf.Before(h.record.AsOf) {
		return false
	}
	former := h.record
	if record.Unreadable() && former != nil && !former.Unreadable() {
		set.noteUnreadable(record, now)
		return false
	}
	h.record = &record
	if h.unreadable != nil && !record.AsOf.Before(h.unreadable.AsOf) {
		h.unreadable = nil
	}
	complete := record.Complete()
	switch {
	case complete && (h.completeAt.IsZero() || h.completeAt.After(now)):
		h.completeAt = now
	case complete:
	case h.completeAt.IsZero(), former != nil && (former.AsOf.Era.Before(record.AsOf.Era) || record.wasUnreadable()) && now.Sub(set.listReadAt) > maxRecordGap:
		h.completeAt = now.Add(SoftwareRetention)
	}
	if former != nil && former.Complete() == complete && reflect.DeepEqual(former.Versions, record.Versions) {
		return false
	}
	if !complete {
		signal(h.changed)
		signal(h.unrecorded)
	}
	for service, versions := range record.Services() {
		for _, software := range versions {
			if former != nil && former.contains(service, software) {
				continue
			}
			if use := h.use(service, software); use.listed == 0 {
				use.lastListedAt = now
			}
		}
	}
	return true
}

// noteUnreadable remembers that the entry in the store has become malformed. The caller holds the mutex.
func (set *Set) noteUnreadable(record SoftwareRecord, now time.Time) {
	h := &set.software
	former := h.unreadable
	if former != nil && record.AsOf.Before(former.AsOf) {
		return
	}
	h.unreadable = &record
	if former != nil && former.AsOf.Era == record.AsOf.Era && former.Revision == record.Revision {
		return
	}
	if now.Sub(set.listReadAt) > maxRecordGap {
		h.completeAt = now.Add(SoftwareRetention)
	}
	signal(h.changed)
	signal(h.unrecorded)
}

// StoredSoftwareRecord returns the latest entry of the store that this node knows, or nil. It differs from
// SoftwareRecord if that entry is malformed.
func (set *Set) StoredSoftwareRecord() *SoftwareRecord {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if set.software.unreadable != nil {
		return set.software.unreadable
	}
	return set.software.record
}

// SoftwareRecord returns the latest record that this node could read. It is nil if this node knows no entry.
func (set *Set) SoftwareRecord() *SoftwareRecord {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.software.record
}

// LacksCompleteRecord reports whether the entry of the store may lack versions that have begun streams.
func (set *Set) LacksCompleteRecord() bool {
	record := set.StoredSoftwareRecord()
	return record != nil && !record.Complete()
}

// SoftwareUnrecorded returns a channel that has an element after a software version was listed that is not
// recorded, or the record turned out not to be complete. It is for one receiver.
func (set *Set) SoftwareUnrecorded() <-chan struct{} { return set.software.unrecorded }

// UnrecordedSoftware returns the services that list a software version which is not recorded.
func (set *Set) UnrecordedSoftware() (services []string) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for service := range set.software.services {
		if set.software.listsUnrecorded(service) {
			services = append(services, service)
		}
	}
	return services
}

// ListsUnrecordedSoftware reports whether a service lists a software version that is not recorded, or a server that
// has been replaced by another process, whose version is not listed yet.
func (set *Set) ListsUnrecordedSoftware(service string, now time.Time) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.software.listsUnrecorded(service) || slices.ContainsFunc(set.rings[service], func(e *entry) bool {
		return e.listed && now.Before(e.local().otherProcessUntil)
	})
}

func (h *softwareHistory) listsUnrecorded(service string) bool {
	if service == completeEraField {
		return false
	}
	for software, use := range h.services[service] {
		if use.listed > 0 && !h.mayBegin(service, software) {
			return true
		}
	}
	return false
}

// mayBegin reports whether servers of a software version may begin streams. An unknown version is that of a server
// whose restart its own answer has shown, or of an entry that a node of a former build has passed on.
func (h *softwareHistory) mayBegin(service, software string) bool {
	return software != "" && h.record != nil && h.record.contains(service, software)
}
