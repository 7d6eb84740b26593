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
	None Fault = iota
	// FaultUnavailable returns an error without executing the call.
	Refused
	// FaultLostResponse executes the call and returns an error.
	Lost
)

var errFault = errors.New("store did not respond")

// lease is a lease with its time to live and expiry.
type lease struct {
	life  time.Duration
	until time.Time
}

// Store is an in-memory store whose clock is supplied by the caller.
type Store struct {
	mutex    sync.Mutex
	now      func() time.Time
	fault    func(call string) Fault
	era      int64
	revision int64
	leases   map[int64]*lease
	entries  map[string]entry
}

type entry struct {
	coordination.Entry
	lease int64
}

// New returns an empty store. It calls faultOf to choose the fault of each call; nil
// means that no call fails.
func New(now func() time.Time, fault func(call string) Fault) *Store {
	if fault == nil {
		fault = func(string) Fault { return None }
	}
	return &Store{now: now, fault: fault, era: 1, leases: map[int64]*lease{}, entries: map[string]entry{}}
}

// Era returns the current era of the store.
func (store *Store) Era() int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.era
}

// Snapshot is the content of a store at some time.
type Copy struct {
	revision int64
	leases   map[int64]lease
	entries  map[string]entry
}

// Snapshot returns the current content of the store.
func (store *Store) Copy() Copy {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	c := Copy{revision: store.revision, leases: map[int64]lease{}, entries: maps.Clone(store.entries)}
	for id, held := range store.leases {
		c.leases[id] = *held
	}
	return c
}

// Restore replaces the content of the store by a snapshot and starts the next era. The
// leases of the snapshot are renewed.
func (store *Store) GoBack(c Copy) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.era++
	store.revision, store.entries, store.leases = c.revision, maps.Clone(c.entries), map[int64]*lease{}
	for id, held := range c.leases {
		store.leases[id] = &lease{life: held.life, until: store.now().Add(held.life)}
	}
}

// call executes an operation subject to the fault chosen for it.
func (store *Store) run(call string, perform func()) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	fault := store.fault(call)
	if fault == Refused {
		return errFault
	}
	store.expire()
	perform()
	if fault == Lost {
		return errFault
	}
	return nil
}

// expire removes expired leases with their keys.
func (store *Store) expire() {
	for id, held := range store.leases {
		if !store.now().Before(held.until) {
			store.drop(id)
		}
	}
}

func (store *Store) drop(id int64) {
	delete(store.leases, id)
	for key, known := range store.entries {
		if known.lease == id {
			delete(store.entries, key)
			store.revision++
		}
	}
}

// Grant creates a lease.
func (store *Store) Grant(_ context.Context, life time.Duration) (granted coordination.Lease, err error) {
	err = store.run("grant", func() {
		store.revision++
		store.leases[store.revision] = &lease{life: life, until: store.now().Add(life)}
		granted = coordination.Lease{ID: store.revision, Life: life}
	})
	return granted, err
}

// Renew extends a lease and reports whether it still existed.
func (store *Store) Renew(_ context.Context, id int64) (alive bool, err error) {
	err = store.run("renew", func() {
		held := store.leases[id]
		if alive = held != nil; alive {
			held.until = store.now().Add(held.life)
		}
	})
	return alive, err
}

// Revoke removes a lease with its keys.
func (store *Store) End(_ context.Context, id int64) error {
	return store.run("end", func() { store.drop(id) })
}

// Create writes a key under a lease if the key does not exist and the lease does.
func (store *Store) Create(_ context.Context, key string, value []byte, leaseID int64) (at coordination.Position, created bool, err error) {
	err = store.run("create", func() {
		_, exists := store.entries[key]
		if created = !exists && store.leases[leaseID] != nil; created {
			at = store.put(key, value, leaseID)
		}
	})
	return at, created, err
}

func (store *Store) put(key string, value []byte, leaseID int64) coordination.Position {
	store.revision++
	written := coordination.Entry{Key: key, Value: value, Revision: store.revision, Era: store.era}
	store.entries[key] = entry{Entry: written, lease: leaseID}
	return written.Position()
}

// Write writes a key unconditionally if its lease exists.
func (store *Store) Write(_ context.Context, key string, value []byte, leaseID int64) (written bool, err error) {
	err = store.run("write", func() {
		if written = store.leases[leaseID] != nil; written {
			store.put(key, value, leaseID)
		}
	})
	return written, err
}

// WriteGuarded writes a key if the guard key is still at the given position.
func (store *Store) WriteGuarded(_ context.Context, key string, value []byte, guard string, at coordination.Position) (written bool, err error) {
	err = store.run("write", func() {
		if written = store.entries[guard].Position() == at; written {
			store.put(key, value, 0)
		}
	})
	return written, err
}

// Read returns the current entry of a key.
func (store *Store) Read(_ context.Context, key string) (found coordination.Entry, exists bool, err error) {
	err = store.run("read", func() {
		known, present := store.entries[key]
		found, exists = known.Entry, present
	})
	return found, exists, err
}

// Entries returns all entries whose key has the prefix.
func (store *Store) Entries(prefix string) []coordination.Entry {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.expire()
	entries := []coordination.Entry{}
	for key, known := range store.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, known.Entry)
		}
	}
	return entries
}
