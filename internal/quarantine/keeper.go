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
	// keepTick is the time between two looks at what is to be written, and callTimeout
	// bounds one call of the store.
	keepTick    = 250 * time.Millisecond
	callTimeout = time.Second
	// keepRest follows a call that failed or that did nothing.
	keepRest = 2 * time.Second
	// fingerprintBase is the base in which keys of the store name fingerprints.
	fingerprintBase = 16
)

// Store is what the keeper needs of the shared store.
type Store interface {
	Grant(ctx context.Context, life time.Duration) (coordination.Lease, error)
	Create(ctx context.Context, key string, value []byte, lease int64) (at coordination.Position, created bool, err error)
	Remove(ctx context.Context, key string) error
}

// Recorder hears of what is written. Its methods must not block.
type Recorder interface {
	// Kept hears that a request is held off, or is not any more, in the shared store, or
	// that this failed.
	Kept(f Fingerprint, held bool, err error)
}

// Keeper writes requests that are held off into the shared store, each under a lease, so
// that a fleet of which all nodes are replaced at once does not let them end servers anew.
type Keeper struct {
	Store    Store
	Ledger   *Ledger
	Recorder Recorder
	// Prefix begins the keys; the fingerprint follows.
	Prefix string
	// Unsure is what Ledger.Judge asks.
	Unsure Unsure
	// Eligible reports whether this node is among those that write; Turn is how long it
	// lets others go first, so that mostly one writes.
	Eligible func() bool
	Turn     func() time.Duration
	// Now is the present time.
	Now func() time.Time

	mutex sync.Mutex
	// stored are the requests that the store was last seen to hold off.
	stored map[Fingerprint]bool
	// due is when this node writes a request that is not in the store.
	due map[Fingerprint]time.Time
}

// Observe takes the keys below the prefix as the store was just seen to hold them.
func (k *Keeper) Observe(entries []coordination.Entry) {
	stored := make(map[Fingerprint]bool, len(entries))
	var held []Fingerprint
	for _, entry := range entries {
		number, err := strconv.ParseUint(strings.TrimPrefix(entry.Key, k.Prefix), fingerprintBase, 64)
		if err == nil {
			stored[Fingerprint(number)] = true
			held = append(held, Fingerprint(number))
		}
	}
	k.mutex.Lock()
	k.stored = stored
	k.mutex.Unlock()
	k.Ledger.TakeStored(held, k.Now())
}

// Run writes until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if k.Ledger.Active() && k.Eligible() {
			k.settle(ctx)
		}
		pause.For(ctx, keepTick)
	}
}

// settle writes what is missing in the store and removes what was cleared.
func (k *Keeper) settle(ctx context.Context) {
	now := k.Now()
	missing, cleared := k.differences(now)
	for _, f := range missing {
		k.Recorder.Kept(f, true, k.write(ctx, f))
	}
	for _, f := range cleared {
		k.Recorder.Kept(f, false, k.remove(ctx, f))
	}
}

// differences returns the requests whose keys are missing in the store, as far as it is
// this node's turn to write them, and those whose keys should go.
func (k *Keeper) differences(now time.Time) (missing, cleared []Fingerprint) {
	held := k.Ledger.HeldOff(k.Unsure, now)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	due := map[Fingerprint]time.Time{}
	for _, f := range held {
		if k.stored[f] {
			continue
		}
		at, known := k.due[f]
		if !known {
			at = now.Add(k.Turn())
		}
		if !now.Before(at) {
			missing = append(missing, f)
			at = now.Add(keepRest)
		}
		due[f] = at
	}
	for f := range k.stored {
		if !k.Ledger.Cleared(f, k.Unsure, now) {
			continue
		}
		if at := k.due[f]; now.Before(at) {
			due[f] = at
			continue
		}
		cleared = append(cleared, f)
		due[f] = now.Add(keepRest)
	}
	k.due = due
	return missing, cleared
}

func (k *Keeper) key(f Fingerprint) string { return k.Prefix + f.String() }

// write creates the request's key. That another node has done so is as good.
func (k *Keeper) write(ctx context.Context, f Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := k.Store.Grant(ctx, HoldLife)
	if err != nil {
		return err
	}
	_, _, err = k.Store.Create(ctx, k.key(f), []byte("held"), lease.ID)
	return err
}

func (k *Keeper) remove(ctx context.Context, f Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Store.Remove(ctx, k.key(f))
}
