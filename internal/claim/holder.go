package claim

import "time"

// Holder keeps claims in memory. A new process does not know what an earlier one
// granted at its address; until it has recovered, it abstains from every key that
// the earlier one could have granted.
type Holder struct {
	config    Config
	started   time.Time
	recovered bool
	// joined is false from a roster change until the previous holders have reported
	// what they granted. Until then the holder grants no key.
	joined bool
	// observedRosterChange is set if this process was running when the roster
	// changed, so that it knows everything that it granted under the new one.
	witnessed bool
	records   map[Key]Record
	// released holds owners that gave up their claims, so that a claim from one of
	// them that arrives late is not recorded.
	released map[string]time.Time
	ages     []Record
}

// NewHolder returns a holder for a process that started at the given time.
func NewHolder(config Config, started time.Time) *Holder {
	return &Holder{config: config, started: started, joined: true, records: map[Key]Record{}, released: map[string]time.Time{}}
}

// Claim requests a key on behalf of an owner. It is idempotent.
func (holder *Holder) Claim(now time.Time, key Key, owner string) Answer {
	holder.expire(now)
	if known, found := holder.records[key]; found && known.Status != Released {
		if known.Owner == owner {
			return Answer{Verdict: Granted, Status: known.Status}
		}
		return Answer{Verdict: Taken, Status: known.Status}
	}
	if _, gaveUp := holder.released[owner]; gaveUp {
		return Answer{Verdict: Taken, Status: Released}
	}
	if !holder.remembers(now, key) {
		return Answer{Verdict: Abstained}
	}
	holder.store(Record{Key: key, Owner: owner, At: now})
	return Answer{Verdict: Granted}
}

// hasHistoryFor reports whether the holder would know of any earlier claim of the
// key.
func (holder *Holder) remembers(now time.Time, key Key) bool {
	if !holder.joined {
		return false
	}
	if holder.recovered || now.Sub(holder.started) >= holder.config.Window {
		return true
	}
	// An earlier process at this address cannot have granted a key that was created
	// after this process started.
	minted, ordered := key.MintedAt()
	return ordered && minted.After(holder.started.Add(holder.config.ClockSkew))
}

// Conclude records the final status of a claim. It has no effect on a claim of
// another owner.
func (holder *Holder) Conclude(now time.Time, key Key, owner string, status Status) {
	if status == Released {
		holder.released[owner] = now
	}
	known, found := holder.records[key]
	if !found || known.Owner != owner {
		return
	}
	if status == Released {
		delete(holder.records, key)
		return
	}
	known.Status = status
	holder.records[key] = known
}

// Complete reports whether the holder knows all claims of the last window, so
// that others may recover from it.
func (holder *Holder) Complete(now time.Time) bool {
	return holder.joined && holder.KnowsEarlier(now)
}

// KnowsEarlier reports whether the holder knows all claims that it, or earlier
// processes at its address, granted under the previous roster.
func (holder *Holder) KnowsEarlier(now time.Time) bool {
	return holder.recovered || now.Sub(holder.started) >= holder.config.Window
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
	return !holder.Complete(now) && now.Sub(holder.started) >= 2*holder.config.RoundLimit
}

// Recover adds the claims of all other holders of the roster. It must be called
// only if each of them was complete: any majority that decided without this
// process then includes one of them.
func (holder *Holder) Recover(_ time.Time, records []Record) {
	holder.take(records)
	holder.recovered = true
}

func (holder *Holder) take(records []Record) {
	for _, record := range records {
		if _, found := holder.records[record.Key]; !found {
			holder.store(record)
		}
	}
}

// ChangeRoster records that the roster changed while this process was running.
func (holder *Holder) ChangeRoster() {
	holder.joined = false
	holder.witnessed = true
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
	holder.take(records)
	holder.joined = true
	if complete {
		holder.recovered = holder.recovered || holder.witnessed
		return
	}
	holder.Restart(now)
}

// CompleteRosterChange ends a roster change after most holders have joined. A
// holder that has not joined continues as a new process, since the old roster can
// no longer decide anything.
func (holder *Holder) Settle(now time.Time) {
	if !holder.joined {
		holder.joined = true
		holder.Restart(now)
	}
}

// Reset treats the process as new, as after a pause during which its claims may
// have expired, or after it missed a roster change.
func (holder *Holder) Restart(now time.Time) {
	holder.started = now
	holder.recovered = false
	holder.witnessed = false
}

func (holder *Holder) store(record Record) {
	holder.records[record.Key] = record
	holder.ages = append(holder.ages, record)
}

func (holder *Holder) expire(now time.Time) {
	horizon := now.Add(-holder.config.Window)
	for len(holder.ages) > 0 && holder.ages[0].At.Before(horizon) {
		oldest := holder.ages[0]
		holder.ages = holder.ages[1:]
		if known, found := holder.records[oldest.Key]; found && known.Owner == oldest.Owner {
			delete(holder.records, oldest.Key)
		}
	}
	for owner, at := range holder.released {
		if now.Sub(at) > 4*holder.config.RoundLimit {
			delete(holder.released, owner)
		}
	}
}

// SetConfig applies a change of the declared times.
func (holder *Holder) Reconfigure(config Config) { holder.config = config }

// StartedAt returns the start time of this process, or of its last reset.
func (holder *Holder) Started() time.Time { return holder.started }
