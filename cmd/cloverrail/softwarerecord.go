package main

import (
	"context"
	"reflect"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
)

const (
	// softwareCheckInterval is the interval at which a node checks the record of software versions. A
	// version that was not recorded before makes it check at once.
	softwareCheckInterval = 250 * time.Millisecond
	// recordDelayPerRank is how long a relay waits, for each node of a better rank, before it writes a
	// record that such a node should have written.
	recordDelayPerRank = 300 * time.Millisecond
	// recordReadDelay is how long a node that knows servers waits for another node to send the record of
	// their versions, before it reads the record itself. Nodes of former builds send none.
	recordReadDelay = time.Second
	// recordRepairInterval is the shortest time between two replacements of malformed records by a node. The store
	// allows few writes, and another writer may spoil the record again and again.
	recordRepairInterval = time.Second
)

// softwareRecorder keeps the record of software versions in the store.
type softwareRecorder struct {
	process *process
	// dueSince is since when the record differs from the versions that this node knows, and missingSince
	// since when this node lacks a record of listed versions; zero if neither is the case.
	dueSince     time.Time
	missingSince time.Time
	// unreadable is the revision of the malformed record to be replaced, 0 if there is none, and repairedAt when this
	// node last replaced one.
	unreadable int64
	repairedAt time.Time
}

// keepSoftwareRecord records the software versions for nodes that start, until the context ends.
func (process *process) keepSoftwareRecord(ctx context.Context) {
	recorder := &softwareRecorder{process: process}
	for ctx.Err() == nil {
		if !recorder.step(ctx, boottime.Now()) {
			process.outage.AwaitRetry(ctx)
			continue
		}
		select {
		case <-process.serverSet.SoftwareUnrecorded():
		case <-time.After(softwareCheckInterval):
		case <-ctx.Done():
		}
	}
}

// step writes or reads the record if that is due. It returns false if the store did not answer.
func (r *softwareRecorder) step(ctx context.Context, now time.Time) bool {
	set := r.process.serverSet
	record := set.StoredSoftwareRecord()
	versions, complete := set.Software(now)
	var replacement backend.SoftwareVersions
	if record != nil {
		replacement = record.Replacement(versions, complete)
	}
	differs := record != nil && !set.LacksSoftware() && !reflect.DeepEqual(replacement, record.Versions)
	if r.observeUnreadable(record) && !set.SoftwareRecord().Unreadable() {
		// A relay of a better rank replaces each malformed record first. A node that knows no other record does not
		// wait again: it may not hear of what that relay writes.
		r.dueSince = time.Time{}
	}
	r.dueSince = since(r.dueSince, differs, now)
	r.missingSince = since(r.missingSince, len(versions) > 0 && (record == nil || len(set.UnrecordedSoftware()) > 0), now)
	delay := time.Duration(r.process.registry.Rank()) * recordDelayPerRank
	switch {
	case differs && r.process.reflector.Relays() && now.Sub(r.dueSince) >= delay && r.mayRepair(now):
		if r.unreadable != 0 {
			return r.repair(ctx)
		}
		return r.write(ctx, replacement, *record)
	case !r.missingSince.IsZero() && now.Sub(r.missingSince) >= recordReadDelay:
		r.missingSince = now
		return r.read(ctx)
	default:
		return true
	}
}

// observeUnreadable reports whether the record is malformed, and another write than the last one that was.
func (r *softwareRecorder) observeUnreadable(record *backend.SoftwareRecord) bool {
	former := r.unreadable
	r.unreadable = 0
	if record != nil && record.Unreadable() {
		r.unreadable = record.Revision
	}
	return r.unreadable != 0 && r.unreadable != former
}

// mayRepair reports whether the record may be replaced now as far as malformed ones are concerned.
func (r *softwareRecorder) mayRepair(now time.Time) bool {
	if r.unreadable == 0 {
		return true
	}
	if now.Sub(r.repairedAt) < recordRepairInterval {
		return false
	}
	r.repairedAt = now
	return true
}

// since returns since when a condition holds, or zero if it does not.
func since(former time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case former.IsZero():
		return now
	default:
		return former
	}
}

// write replaces the record. If another node has changed it meanwhile, it reads what that node wrote.
func (r *softwareRecorder) write(ctx context.Context, versions backend.SoftwareVersions, former backend.SoftwareRecord) bool {
	record, written, err := r.process.source.WriteSoftware(ctx, versions, former)
	r.process.recorder.SoftwareRecordWritten(versions, written, err)
	if written {
		r.process.reflector.ApplySoftware(record)
		return true
	}
	// The write may have been done although it was not answered.
	return r.read(ctx)
}

// repair replaces a malformed record. It reads the entry first, since another writer may have spoilt it again after this
// node observed it.
func (r *softwareRecorder) repair(ctx context.Context) bool {
	if !r.read(ctx) {
		return false
	}
	set := r.process.serverSet
	record := set.StoredSoftwareRecord()
	if !record.Unreadable() {
		return true
	}
	versions, complete := set.Software(boottime.Now())
	return r.write(ctx, record.Replacement(versions, complete), *record)
}

func (r *softwareRecorder) read(ctx context.Context) bool {
	record, err := r.process.source.ReadSoftware(ctx)
	r.process.recorder.SoftwareRecordRead(err)
	if err != nil {
		return false
	}
	r.process.reflector.ApplySoftware(record)
	return true
}
