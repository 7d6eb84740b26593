// Package storestub implements an in-memory stub of the store through which nodes
// coordinate. Its calls can be made to fail, with or without taking effect.
package storestub

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/coordination"
)

// Fault is a fault that the stub injects into a call.
type Fault int

// The faults.
const (
	// FaultNone executes the call normally.
	FaultNone Fault = iota
	// FaultUnavailable returns an error without executing the call.
	FaultUnavailable
	// FaultLostResponse executes the call and returns an error.
	FaultLostResponse
	// FaultLate returns an error, and executes the call lateDelay later.
	FaultLate
)

// lateDelay is longer than callers repeat a call.
const lateDelay = 2 * time.Second

var errUnavailable = errors.New("store did not respond")

// lease is a lease with its time to live and expiry.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is an in-memory store whose clock is supplied by the caller.
type Store struct {
	mutex    sync.Mutex
	now      func() time.Time
	faultOf  func(call string) Fault
	era      int64
	revision int64
	leases   map[int64]*lease
	entries  map[string]entry
	// writtenAt holds when each revision was written.
	writtenAt map[int64]time.Time
}

type entry struct {
	coordination.Entry
	lease int64
}

// New returns an empty store in era 1. It calls faultOf to choose the fault of each call; nil
// means that no call fails.
func New(now func() time.Time, faultOf func(call string) Fault) *Store {
	return NewInEra(now, 1, faultOf)
}

// NewInEra returns a store like New whose first era is another one.
func NewInEra(now func() time.Time, firstEra int64, faultOf func(call string) Fault) *Store {
	if faultOf == nil {
		faultOf = func(string) Fault { return FaultNone }
	}
	return &Store{now: now, faultOf: faultOf, era: firstEra, leases: map[int64]*lease{}, entries: map[string]entry{}, writtenAt: map[int64]time.Time{}}
}

// Era returns the current era of the store.
func (store *Store) Era() coordination.Era {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return coordination.EraOf(store.era)
}

// Snapshot is the content of a store at some time.
type Snapshot struct {
	revision int64
	leases   map[int64]lease
	entries  map[string]entry
}

// Snapshot returns the current content of the store.
func (store *Store) Snapshot() Snapshot {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	snapshot := Snapshot{revision: store.revision, leases: map[int64]lease{}, entries: maps.Clone(store.entries)}
	for id, current := range store.leases {
		snapshot.leases[id] = *current
	}
	return snapshot
}

// Restore replaces the content of the store by a snapshot and starts the next era. The
// leases of the snapshot are renewed.
func (store *Store) Restore(snapshot Snapshot) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.era++
	store.revision, store.entries, store.leases = snapshot.revision, maps.Clone(snapshot.entries), map[int64]*lease{}
	for id, saved := range snapshot.leases {
		store.leases[id] = &lease{ttl: saved.ttl, expiresAt: store.now().Add(saved.ttl)}
	}
}

// call executes an operation subject to the fault chosen for it.
func (store *Store) call(operation string, perform func()) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	fault := store.faultOf(operation)
	switch fault {
	case FaultUnavailable:
		return errUnavailable
	case FaultLate:
		time.AfterFunc(lateDelay, func() {
			store.mutex.Lock()
			defer store.mutex.Unlock()
			store.expire()
			perform()
		})
		return errUnavailable
	}
	store.expire()
	perform()
	if fault == FaultLostResponse {
		return errUnavailable
	}
	return nil
}

// expire removes expired leases with their keys.
func (store *Store) expire() {
	for id, current := range store.leases {
		if !store.now().Before(current.expiresAt) {
			store.revoke(id)
		}
	}
}

// ExpireLeases ends all leases at once.
func (store *Store) ExpireLeases() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for id := range store.leases {
		store.revoke(id)
	}
}

func (store *Store) revoke(id int64) {
	delete(store.leases, id)
	for key, current := range store.entries {
		if current.lease == id {
			delete(store.entries, key)
			store.revision++
		}
	}
}

// Grant creates a lease.
func (store *Store) Grant(_ context.Context, ttl time.Duration) (granted coordination.Lease, err error) {
	err = store.call("grant", func() {
		store.revision++
		store.leases[store.revision] = &lease{ttl: ttl, expiresAt: store.now().Add(ttl)}
		granted = coordination.Lease{ID: store.revision, TTL: ttl}
	})
	return granted, err
}

// Renew extends a lease and reports whether it still existed.
func (store *Store) Renew(_ context.Context, id int64) (alive bool, err error) {
	err = store.call("renew", func() {
		current := store.leases[id]
		if alive = current != nil; alive {
			current.expiresAt = store.now().Add(current.ttl)
		}
	})
	return alive, err
}

// Revoke removes a lease with its keys.
func (store *Store) Revoke(_ context.Context, id int64) error {
	return store.call("end", func() { store.revoke(id) })
}

// Create writes a key under a lease if the key does not exist and the lease does.
func (store *Store) Create(_ context.Context, key string, value []byte, leaseID int64) (at coordination.Position, created bool, err error) {
	err = store.call("create", func() {
		_, exists := store.entries[key]
		if created = !exists && store.leases[leaseID] != nil; created {
			at = store.put(key, value, leaseID)
		}
	})
	return at, created, err
}

func (store *Store) put(key string, value []byte, leaseID int64) coordination.Position {
	store.revision++
	store.writtenAt[store.revision] = store.now()
	written := coordination.Entry{Key: key, Value: value, Revision: store.revision, Era: coordination.EraOf(store.era)}
	store.entries[key] = entry{Entry: written, lease: leaseID}
	return written.Position()
}

// Write writes a key unconditionally if its lease exists.
func (store *Store) Write(_ context.Context, key string, value []byte, leaseID int64) (written bool, err error) {
	err = store.call("write", func() {
		if written = store.leases[leaseID] != nil; written {
			store.put(key, value, leaseID)
		}
	})
	return written, err
}

// WriteGuarded writes a key if the key and the guard key are still at the given positions.
func (store *Store) WriteGuarded(_ context.Context, key string, value []byte, at coordination.Position, guard string, guardAt coordination.Position) (writtenAt coordination.Position, written bool, err error) {
	err = store.call("write", func() {
		if written = store.entries[guard].Position() == guardAt && store.isAt(key, at); written {
			writtenAt = store.put(key, value, 0)
		}
	})
	return writtenAt, written, err
}

// WrittenAt returns when a revision of an entry was written.
func (store *Store) WrittenAt(revision int64) time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.writtenAt[revision]
}

// isAt reports whether a key is at a position; the revision 0 means that it does not exist.
func (store *Store) isAt(key string, at coordination.Position) bool {
	current, exists := store.entries[key]
	if at.Revision == 0 {
		return !exists
	}
	return exists && current.Revision == at.Revision && coordination.EraOf(store.era) == at.Era
}

// Read returns the current entry of a key.
func (store *Store) Read(_ context.Context, key string) (found coordination.Entry, exists bool, err error) {
	err = store.call("read", func() {
		current, present := store.entries[key]
		found, exists = current.Entry, present
	})
	return found, exists, err
}

// Entries returns all entries whose key has the prefix.
func (store *Store) Entries(prefix string) []coordination.Entry {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	entries := []coordination.Entry{}
	for key, current := range store.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, current.Entry)
		}
	}
	return entries
}
