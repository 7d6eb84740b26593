package claim

import "time"

// Holder keeps claims in memory. A new process does not know what an earlier one
// granted at its address; until it has recovered, it abstains from every key that
// the earlier one could have granted.
type Holder struct {
	config    Config
	startedAt time.Time
	recovered bool
	// joined is false from a roster change until the previous holders have reported
	// what they granted. Until then the holder grants no key.
	joined bool
	// observedRosterChange is set if this process was running when the roster
	// changed, so that it knows everything that it granted under the new one.
	observedRosterChange bool
	records              map[Key]Record
	// released holds owners that gave up their claims, so that a claim from one of
	// them that arrives late is not recorded.
	released     map[string]time.Time
	recordsByAge []Record
}

// NewHolder returns a holder for a process that started at the given time.
func NewHolder(config Config, startedAt time.Time) *Holder {
	return &Holder{config: config, startedAt: startedAt, joined: true, records: map[Key]Record{}, released: map[string]time.Time{}}
}

// Claim requests a key on behalf of an owner. It is idempotent.
func (holder *Holder) Claim(now time.Time, key Key, owner string) Response {
	holder.expire(now)
	if existing, found := holder.records[key]; found && existing.Status != Released {
		if existing.Owner == owner {
			return Response{Verdict: Granted, Status: existing.Status}
		}
		return Response{Verdict: Taken, Status: existing.Status}
	}
	if _, released := holder.released[owner]; released {
		return Response{Verdict: Taken, Status: Released}
	}
	if !holder.hasHistoryFor(now, key) {
		return Response{Verdict: Abstained}
	}
	holder.store(Record{Key: key, Owner: owner, At: now})
	return Response{Verdict: Granted}
}

// hasHistoryFor reports whether the holder would know of any earlier claim of the
// key.
func (holder *Holder) hasHistoryFor(now time.Time, key Key) bool {
	if !holder.joined {
		return false
	}
	if holder.recovered || now.Sub(holder.startedAt) >= holder.config.Window {
		return true
	}
	// An earlier process at this address cannot have granted a key that was created
	// after this process started.
	created, timeOrdered := key.CreatedAt()
	return timeOrdered && created.After(holder.startedAt.Add(holder.config.ClockSkew))
}

// Conclude records the final status of a claim. It has no effect on a claim of
// another owner.
func (holder *Holder) Conclude(now time.Time, key Key, owner string, status Status) {
	if status == Released {
		holder.released[owner] = now
	}
	existing, found := holder.records[key]
	if !found || existing.Owner != owner {
		return
	}
	if status == Released {
		delete(holder.records, key)
		return
	}
	existing.Status = status
	holder.records[key] = existing
}

// Complete reports whether the holder knows all claims of the last window, so
// that others may recover from it.
func (holder *Holder) Complete(now time.Time) bool {
	return holder.joined && holder.KnowsEarlier(now)
}

// KnowsEarlier reports whether the holder knows all claims that it, or earlier
// processes at its address, granted under the previous roster.
func (holder *Holder) KnowsEarlier(now time.Time) bool {
	return holder.recovered || now.Sub(holder.startedAt) >= holder.config.Window
}

// Records returns the current claims.
func (holder *Holder) Records(now time.Time) []Record {
	holder.expire(now)
	records := make([]Record, 0, len(holder.records))
	for _, record := range holder.records {
		records = append(records, record)
	}
	return records
}

// RecoveryDue reports whether the holder needs to recover and may start. By then,
// all rounds in which an earlier process took part have ended, so their outcomes
// are stored at the other holders.
func (holder *Holder) RecoveryDue(now time.Time) bool {
	return !holder.Complete(now) && now.Sub(holder.startedAt) >= 2*holder.config.RoundTimeout
}

// Recover adds the claims of all other holders of the roster. It must be called
// only if each of them was complete: any majority that decided without this
// process then includes one of them.
func (holder *Holder) Recover(_ time.Time, records []Record) {
	holder.merge(records)
	holder.recovered = true
}

func (holder *Holder) merge(records []Record) {
	for _, record := range records {
		if _, found := holder.records[record.Key]; !found {
			holder.store(record)
		}
	}
}

// ChangeRoster records that the roster changed while this process was running.
func (holder *Holder) ChangeRoster() {
	holder.joined = false
	holder.observedRosterChange = true
}

// AwaitJoin records that this process started during a roster change.
func (holder *Holder) AwaitJoin() { holder.joined = false }

// Joined reports whether the holder knows what the previous holders granted.
func (holder *Holder) Joined() bool { return holder.joined }

// Join adds the claims of the previous holders. It must be called only after all
// but one of them have adopted the new roster: these no longer grant under the
// old one, so no majority of it can form. Complete states that the holders that
// responded know everything that they granted, so that one of them has the
// outcome of every majority; otherwise the process is treated as new.
func (holder *Holder) Join(now time.Time, records []Record, complete bool) {
	holder.merge(records)
	holder.joined = true
	if complete {
		holder.recovered = holder.recovered || holder.observedRosterChange
		return
	}
	holder.Reset(now)
}

// CompleteRosterChange ends a roster change after most holders have joined. A
// holder that has not joined continues as a new process, since the old roster can
// no longer decide anything.
func (holder *Holder) CompleteRosterChange(now time.Time) {
	if !holder.joined {
		holder.joined = true
		holder.Reset(now)
	}
}

// Reset treats the process as new, as after a pause during which its claims may
// have expired, or after it missed a roster change.
func (holder *Holder) Reset(now time.Time) {
	holder.startedAt = now
	holder.recovered = false
	holder.observedRosterChange = false
}

func (holder *Holder) store(record Record) {
	holder.records[record.Key] = record
	holder.recordsByAge = append(holder.recordsByAge, record)
}

func (holder *Holder) expire(now time.Time) {
	horizon := now.Add(-holder.config.Window)
	for len(holder.recordsByAge) > 0 && holder.recordsByAge[0].At.Before(horizon) {
		oldest := holder.recordsByAge[0]
		holder.recordsByAge = holder.recordsByAge[1:]
		if existing, found := holder.records[oldest.Key]; found && existing.Owner == oldest.Owner {
			delete(holder.records, oldest.Key)
		}
	}
	for owner, at := range holder.released {
		if now.Sub(at) > 4*holder.config.RoundTimeout {
			delete(holder.released, owner)
		}
	}
}

// SetConfig applies a change of the declared times.
func (holder *Holder) SetConfig(config Config) { holder.config = config }

// StartedAt returns the start time of this process, or of its last reset.
func (holder *Holder) StartedAt() time.Time { return holder.startedAt }
