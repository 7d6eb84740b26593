package backend

import (
	"encoding/json"
	"reflect"
	"slices"
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
// changed. With a record, the history is complete.
func (set *Set) SetSoftwareRecord(record SoftwareRecord, now time.Time) (changed bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	h := &set.software
	if h.record != nil && record.AsOf.Before(h.record.AsOf) {
		return false
	}
	former := h.record
	h.record = &record
	if h.completeAt.IsZero() || h.completeAt.After(now) {
		h.completeAt = now
	}
	if former != nil && reflect.DeepEqual(former.Versions, record.Versions) {
		return false
	}
	for service, versions := range record.Versions {
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

// SoftwareRecord returns the record that this node knows, or nil.
func (set *Set) SoftwareRecord() *SoftwareRecord {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.software.record
}

// SoftwareUnrecorded returns a channel that has an element after a software version was listed that is not
// recorded. It is for one receiver.
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

// ListsUnrecordedSoftware reports whether a service lists a software version that is not recorded.
func (set *Set) ListsUnrecordedSoftware(service string) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.software.listsUnrecorded(service)
}

func (h *softwareHistory) listsUnrecorded(service string) bool {
	for software, use := range h.services[service] {
		if use.listed > 0 && !h.mayBegin(service, software) {
			return true
		}
	}
	return false
}

// mayBegin reports whether servers of a software version may begin streams. An unknown version is that
// of an entry that a node of a former build has passed on; its streams have no known origin.
func (h *softwareHistory) mayBegin(service, software string) bool {
	return software == "" || h.record != nil && h.record.contains(service, software)
}
