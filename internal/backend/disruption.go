package backend

import "time"

// ReregistrationTime is how long after a disruption of the store the list may lack servers that live: their
// entries have expired meanwhile, and are written again.
const ReregistrationTime = 5 * time.Second

// ObserveMissingEntries records that the list may lack servers that live until a time, since the store was
// disrupted, could not be read or was restored from an older copy.
func (set *Set) ObserveMissingEntries(until time.Time) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if until.After(set.entriesMissingUntil) {
		set.entriesMissingUntil = until
	}
}

// EntriesMissingUntil returns until when the list may lack servers that live; it may have passed.
func (set *Set) EntriesMissingUntil() time.Time {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return set.entriesMissingUntil
}

// mayMissEntries reports whether the list may lack servers that live.
func (set *Set) mayMissEntries(now time.Time) bool { return now.Before(set.entriesMissingUntil) }

// mayServeUnlisted reports whether a server that is not listed may serve as a last resort. One that a sound
// store has shown as gone may not: it ends soon, with what it runs.
func (set *Set) mayServeUnlisted(e *entry, now time.Time) bool {
	return e.mayReturn && !e.isDraining() && set.mayMissEntries(now)
}
