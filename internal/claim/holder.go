package claim

import "time"

// Holder keeps claims in memory. A process that starts has forgotten what an
// earlier one granted under its address; until it has recovered it abstains
// from every key that the earlier one could have granted.
type Holder struct {
	config    Config
	started   time.Time
	recovered bool
	// joined is false while the roster has changed and the holders before have not
	// yet told what they granted. Nothing is granted then, whatever the key.
	joined bool
	// witnessed says that this process was there when the roster changed, so it
	// knows all that it granted under the new one.
	witnessed bool
	records   map[Key]Record
	// released remembers owners that gave up, so that a claim of theirs which
	// arrives late is not kept for nobody.
	released map[string]time.Time
	ages     []Record
}

// NewHolder returns the holder of a process that started at the given time.
func NewHolder(config Config, started time.Time) *Holder {
	return &Holder{config: config, started: started, joined: true, records: map[Key]Record{}, released: map[string]time.Time{}}
}

// Claim asks for a key on behalf of an owner. Asking again is harmless.
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

// remembers reports whether the holder would know of an earlier claim.
func (holder *Holder) remembers(now time.Time, key Key) bool {
	if !holder.joined {
		return false
	}
	if holder.recovered || now.Sub(holder.started) >= holder.config.Window {
		return true
	}
	// A key minted after this process started cannot have been granted by an
	// earlier process at this address.
	minted, ordered := key.MintedAt()
	return ordered && minted.After(holder.started.Add(holder.config.ClockSkew))
}

// Conclude notes how a claim ended. Only its owner concludes it.
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

// Complete reports whether the holder knows all claims of the last window, and
// may therefore help others to recover.
func (holder *Holder) Complete(now time.Time) bool {
	return holder.joined && holder.KnowsEarlier(now)
}

// KnowsEarlier reports whether the holder knows all claims that it, or earlier
// processes at its address, granted under the roster before.
func (holder *Holder) KnowsEarlier(now time.Time) bool {
	return holder.recovered || now.Sub(holder.started) >= holder.config.Window
}

// Records lists the claims held.
func (holder *Holder) Records(now time.Time) []Record {
	holder.expire(now)
	records := make([]Record, 0, len(holder.records))
	for _, record := range holder.records {
		records = append(records, record)
	}
	return records
}

// RecoveryDue reports whether the holder may start to recover. Rounds that an
// earlier process took part in are over by then, so whatever they decided is
// stored at the other holders.
func (holder *Holder) RecoveryDue(now time.Time) bool {
	return !holder.Complete(now) && now.Sub(holder.started) >= 2*holder.config.RoundLimit
}

// Recover takes the claims of all other holders of the roster. It must be
// called only when each of them was complete itself: a majority that decided
// without this process then has a member among them.
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

// ChangeRoster notes that the roster has changed under this process.
func (holder *Holder) ChangeRoster() {
	holder.joined = false
	holder.witnessed = true
}

// AwaitJoin notes that this process started while a change of the roster was
// under way.
func (holder *Holder) AwaitJoin() { holder.joined = false }

// Joined reports whether the holder knows what the holders before granted.
func (holder *Holder) Joined() bool { return holder.joined }

// Join takes the claims of the holders before. It must be called only when all
// of them but one have adopted the new roster: none of those grants under the old
// one any more, so no majority of it can form from now on. Complete says that
// those heard also know all that they granted, so that whatever a majority
// decided stands with one of them; without it the process counts as new.
func (holder *Holder) Join(now time.Time, records []Record, complete bool) {
	holder.take(records)
	holder.joined = true
	if complete {
		holder.recovered = holder.recovered || holder.witnessed
		return
	}
	holder.Restart(now)
}

// Settle ends a change of the roster that most holders have joined. One that has
// not starts over as a new process: the old roster can decide nothing any more.
func (holder *Holder) Settle(now time.Time) {
	if !holder.joined {
		holder.joined = true
		holder.Restart(now)
	}
}

// Restart treats the process as new, as after a pause during which its claims
// may have expired, or when a change of the roster passed it by.
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

// Reconfigure follows a change of the declared times.
func (holder *Holder) Reconfigure(config Config) { holder.config = config }

// Started is when this process, or its last restart, began.
func (holder *Holder) Started() time.Time { return holder.started }
