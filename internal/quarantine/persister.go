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
	// out of date, and failureRetryDelay the same after a call that failed.
	persistRetryDelay = 2 * time.Second
	failureRetryDelay = 500 * time.Millisecond
	// fingerprintBase is the number base of fingerprints in store keys.
	fingerprintBase = 16
	// requestValue and partValue are the values of the keys of requests and parts.
	requestValue = "held"
	partValue    = "part"
)

// Store is the subset of the shared store that the Persister uses.
type Store interface {
	Grant(ctx context.Context, life time.Duration) (coordination.Lease, error)
	Create(ctx context.Context, key string, value []byte, lease int64) (at coordination.Position, created bool, err error)
	Remove(ctx context.Context, key string) error
}

// Recorder receives the results of writes. Its methods must not block.
type Recorder interface {
	// QuarantinePersisted records an attempt to write the quarantine of a suspect to the store, or
	// to remove it if held is false; err is nil if it succeeded.
	QuarantinePersisted(f Fingerprint, part, held bool, err error)
}

// Persister writes quarantined suspects to the shared store, each under a lease. Without it, a
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
	// stored holds the suspects that were in the store when it was last read.
	stored Suspected
	// writeAt is when this node next writes or removes the key of a suspect.
	writeAt map[Fingerprint]time.Time
}

// Observe takes the entries below the prefix as just read from the store.
func (p *Persister) Observe(entries []coordination.Entry) {
	stored := make(Suspected, len(entries))
	for _, entry := range entries {
		number, err := strconv.ParseUint(strings.TrimPrefix(entry.Key, p.Prefix), fingerprintBase, 64)
		if err == nil {
			stored[Fingerprint(number)] = string(entry.Value) == partValue
		}
	}
	p.mutex.Lock()
	p.stored = stored
	p.mutex.Unlock()
	p.Ledger.ApplyStored(stored, p.Now())
}

// Run updates the store until the context is done.
func (p *Persister) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if p.Ledger.Active() && p.Eligible() {
			p.reconcile(ctx)
		}
		pause.For(ctx, persistInterval)
	}
}

// reconcile writes missing keys to the store and removes those of cleared suspects.
func (p *Persister) reconcile(ctx context.Context) {
	now := p.Now()
	missing, cleared := p.diff(now)
	for f, part := range missing {
		err := p.write(ctx, f, part)
		p.Recorder.QuarantinePersisted(f, part, true, err)
		p.retryIfFailed(f, err)
	}
	for f, part := range cleared {
		err := p.remove(ctx, f)
		p.Recorder.QuarantinePersisted(f, part, false, err)
		p.retryIfFailed(f, err)
	}
}

// retryIfFailed makes a call that failed due again soon: the outage of the store may be over.
func (p *Persister) retryIfFailed(f Fingerprint, err error) {
	if err == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.writeAt[f] = p.Now().Add(failureRetryDelay)
}

// diff returns the suspects whose keys are missing in the store and due to be written by this
// node, and those whose keys should be removed.
func (p *Persister) diff(now time.Time) (missing, cleared Suspected) {
	quarantined := p.Ledger.Quarantined(p.Unconfirmed, now)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	missing, cleared = Suspected{}, Suspected{}
	due := map[Fingerprint]time.Time{}
	for f, part := range quarantined {
		if _, found := p.stored[f]; found {
			continue
		}
		at, scheduled := p.writeAt[f]
		if !scheduled {
			at = now.Add(p.WriteDelay())
		}
		if !now.Before(at) {
			missing[f] = part
			at = now.Add(persistRetryDelay)
		}
		due[f] = at
	}
	for f, part := range p.stored {
		if !p.Ledger.Cleared(f, p.Unconfirmed, now) {
			continue
		}
		if at := p.writeAt[f]; now.Before(at) {
			due[f] = at
			continue
		}
		cleared[f] = part
		due[f] = now.Add(persistRetryDelay)
	}
	p.writeAt = due
	return missing, cleared
}

func (p *Persister) key(f Fingerprint) string { return p.Prefix + f.String() }

// write creates the key of a suspect. If another node has already created it, write succeeds.
func (p *Persister) write(ctx context.Context, f Fingerprint, part bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := p.Store.Grant(ctx, QuarantineDuration)
	if err != nil {
		return err
	}
	value := requestValue
	if part {
		value = partValue
	}
	_, _, err = p.Store.Create(ctx, p.key(f), []byte(value), lease.ID)
	return err
}

func (p *Persister) remove(ctx context.Context, f Fingerprint) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.Store.Remove(ctx, p.key(f))
}
