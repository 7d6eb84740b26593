package quarantine

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/pause"
)

const (
	// persistInterval is the time between comparisons with the store, and callTimeout bounds one
	// store call.
	persistInterval = 250 * time.Millisecond
	callTimeout     = time.Second
	// persistRetryDelay is the delay before another attempt to write or remove a key that is still
	// out of date.
	persistRetryDelay = 2 * time.Second
	// fingerprintBase is the number base of fingerprints in store keys.
	fingerprintBase = 16
)

// Store is the subset of the shared store that the Persister uses.
type Store interface {
	Grant(ctx context.Context, life time.Duration) (coordination.Lease, error)
	Create(ctx context.Context, key string, value []byte, lease int64) (at coordination.Position, created bool, err error)
	Remove(ctx context.Context, key string) error
}

// Recorder receives the results of writes. Its methods must not block.
type Recorder interface {
	// QuarantinePersisted records an attempt to write the quarantine of a request to the store, or
	// to remove it if held is false; err is nil if it succeeded.
	QuarantinePersisted(f Fingerprint, held bool, err error)
}

// Persister writes quarantined requests to the shared store, each under a lease. Without it, a
// fleet whose nodes are all replaced at once would let the same requests crash servers again.
type Persister struct {
	Store    Store
	Ledger   *Ledger
	Recorder Recorder
	// Prefix is the key prefix; the fingerprint follows.
	Prefix string
	// Unconfirmed is passed to the methods of Ledger.
	Unconfirmed Unconfirmed
	// Eligible reports whether this node may write. WriteDelay is how long it leaves a write to
	// other nodes first, so that usually only one node writes.
	Eligible   func() bool
	WriteDelay func() time.Duration
	// Now returns the current time.
	Now func() time.Time

	mutex sync.Mutex
	// stored holds the requests that were in the store when it was last read.
	stored map[Fingerprint]bool
	// writeAt is when this node next writes or removes the key of a request.
	writeAt map[Fingerprint]time.Time
}

// Observe takes the entries below the prefix as just read from the store.
func (k *Persister) Observe(entries []coordination.Entry) {
	stored := make(map[Fingerprint]bool, len(entries))
	var fingerprints []Fingerprint
	for _, entry := range entries {
		number, err := strconv.ParseUint(strings.TrimPrefix(entry.Key, k.Prefix), fingerprintBase, 64)
		if err == nil {
			stored[Fingerprint(number)] = true
			fingerprints = append(fingerprints, Fingerprint(number))
		}
	}
	k.mutex.Lock()
	k.stored = stored
	k.mutex.Unlock()
	k.Ledger.ApplyStored(fingerprints, k.Now())
}

// Run updates the store until the context is done.
func (k *Persister) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if k.Ledger.Active() && k.Eligible() {
			k.reconcile(ctx)
		}
		pause.For(ctx, persistInterval)
	}
}

// reconcile writes missing keys to the store and removes those of cleared requests.
func (k *Persister) reconcile(ctx context.Context) {
	now := k.Now()
	missing, cleared := k.diff(now)
	for _, f := range missing {
		k.Recorder.QuarantinePersisted(f, true, k.write(ctx, f))
	}
	for _, f := range cleared {
		k.Recorder.QuarantinePersisted(f, false, k.remove(ctx, f))
	}
}

// diff returns the requests whose keys are missing in the store and due to be written by this
// node, and those whose keys should be removed.
func (k *Persister) diff(now time.Time) (missing, cleared []Fingerprint) {
	quarantined := k.Ledger.QuarantinedRequests(k.Unconfirmed, now)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	due := map[Fingerprint]time.Time{}
	for _, f := range quarantined {
		if k.stored[f] {
			continue
		}
		at, scheduled := k.writeAt[f]
		if !scheduled {
			at = now.Add(k.WriteDelay())
		}
		if !now.Before(at) {
			missing = append(missing, f)
			at = now.Add(persistRetryDelay)
		}
		due[f] = at
	}
	for f := range k.stored {
		if !k.Ledger.Cleared(f, k.Unconfirmed, now) {
			continue
		}
		if at := k.writeAt[f]; now.Before(at) {
			due[f] = at
			continue
		}
		cleared = append(cleared, f)
		due[f] = now.Add(persistRetryDelay)
	}
	k.writeAt = due
	return missing, cleared
}

func (k *Persister) key(f Fingerprint) string { return k.Prefix + f.String() }

// write creates the key of a request. If another node has already created it, write succeeds.
func (k *Persister) write(ctx context.Context, f Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := k.Store.Grant(ctx, QuarantineDuration)
	if err != nil {
		return err
	}
	_, _, err = k.Store.Create(ctx, k.key(f), []byte("held"), lease.ID)
	return err
}

func (k *Persister) remove(ctx context.Context, f Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Store.Remove(ctx, k.key(f))
}
