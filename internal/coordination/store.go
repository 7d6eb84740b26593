// Package coordination says what nodes need of the key-value store that they
// share: conditional writes, leases, and reads that are current.
package coordination

import (
	"context"
	"time"
)

// Entry is one stored value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the last change, and Era the one in which it was read. Revisions of
	// the whole store only grow within one.
	Revision int64
	Era      int64
}

// Position is where the entry was written, as of the era in which it was read.
func (e Entry) Position() Position { return Position{Era: e.Era, Revision: e.Revision} }

// Lease is a promise of the store to keep keys for a time.
type Lease struct {
	ID int64
	// Life is how long the lease lasts from the arrival of the call that granted or
	// renewed it.
	Life time.Duration
}

// Store is the shared key-value store. An error of a write leaves open whether
// it was done, unless it is a failure.Failure with the outcome NotRun.
type Store interface {
	// Grant opens a lease.
	Grant(ctx context.Context, life time.Duration) (Lease, error)
	// Renew keeps a lease and reports whether it still lives.
	Renew(ctx context.Context, lease int64) (bool, error)
	// End gives a lease back; its keys go with it.
	End(ctx context.Context, lease int64) error
	// Create writes a key that does not exist and reports whether it did, and where.
	Create(ctx context.Context, key string, value []byte, lease int64) (at Position, created bool, err error)
	// Write writes a key, whatever it holds, and reports whether the lease still lives.
	Write(ctx context.Context, key string, value []byte, lease int64) (written bool, err error)
	// WriteGuarded writes a key if the guard is still where it was written, in the same era.
	WriteGuarded(ctx context.Context, key string, value []byte, guard string, at Position) (written bool, err error)
	// Read returns the current entry of a key.
	Read(ctx context.Context, key string) (Entry, bool, error)
}
