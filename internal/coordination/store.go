// Package coordination defines the interface of the shared key-value store: conditional writes,
// leases and linearizable reads.
package coordination

import (
	"context"
	"time"
)

// Entry is one stored value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the last change, and Era the era in which the entry was read. The
	// store's revisions only grow within an era.
	Revision int64
	Era      Era
}

// Position returns where the entry was written, in the era in which it was read.
func (e Entry) Position() Position { return Position{Era: e.Era, Revision: e.Revision} }

// Lease bounds the lifetime of the keys that are attached to it.
type Lease struct {
	ID int64
	// TTL counts from the arrival of the call that granted or renewed the lease.
	TTL time.Duration
}

// Store is the shared key-value store. After an error of a write it is unknown whether the write
// took effect, unless the error is a failure.Failure with the outcome NotRun.
type Store interface {
	// Grant creates a lease.
	Grant(ctx context.Context, life time.Duration) (Lease, error)
	// Renew renews a lease and reports whether it still existed.
	Renew(ctx context.Context, lease int64) (bool, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
	// Create writes a key if it does not exist, and returns whether and at which position it
	// did so.
	Create(ctx context.Context, key string, value []byte, lease int64) (at Position, created bool, err error)
	// Write writes a key unconditionally, and reports whether the lease still existed.
	Write(ctx context.Context, key string, value []byte, lease int64) (written bool, err error)
	// WriteGuarded writes a key without a lease if the key and the guard key are still at the given
	// positions; the revision 0 means that the key does not exist. It returns where the key was written.
	// A call that is done late therefore never undoes a later write.
	WriteGuarded(ctx context.Context, key string, value []byte, at Position, guard string, guardAt Position) (writtenAt Position, written bool, err error)
	// Read returns the current entry of a key, and whether it exists.
	Read(ctx context.Context, key string) (Entry, bool, error)
}
