package quarantine

import (
	"context"
	"sync"
	"time"
)

const (
	// trialLease is how long a claim of a trial excludes others: the trial's result is known to all nodes before it
	// ends, unless the response takes longer.
	trialLease = 15 * time.Second
	// maxClaimWait bounds the time that a request waits for the claim of a trial.
	maxClaimWait = 250 * time.Millisecond
	// failedClaimDelay is how long after a failed call the store is called again for the same part.
	failedClaimDelay = time.Second
	// maxClaims bounds the remembered claims. When it is reached, all are forgotten; the store still excludes others.
	maxClaims = 1024
)

// Trials claims trials of quarantined parts in the shared store, so that one request of the whole fleet is tried, however
// many nodes get requests with the part. Without the store there are no trials.
type Trials struct {
	Store Store
	// Prefix is the key prefix; the fingerprint follows.
	Prefix string
	// Now returns the current time.
	Now func() time.Time

	mutex sync.Mutex
	// nextClaim is when this node may next claim the trial of a part. Until then another node, or an earlier request,
	// has it.
	nextClaim map[Fingerprint]time.Time
}

// Claim reports whether the calling request is the one to be tried. It calls the store at most once in trialLease for
// each part unless the call fails, and waits at most maxClaimWait for it. The error is that of the store.
func (t *Trials) Claim(ctx context.Context, part Fingerprint) (claimed bool, err error) {
	if !t.begin(part) {
		return false, nil
	}
	defer func() {
		if err != nil {
			t.retryAfter(part, failedClaimDelay)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, maxClaimWait)
	defer cancel()
	lease, err := t.Store.Grant(ctx, trialLease)
	if err != nil {
		return false, err
	}
	_, claimed, err = t.Store.Create(ctx, t.Prefix+part.String(), []byte(partValue), lease.ID)
	return claimed && err == nil, err
}

// retryAfter allows this node to call the store for the trial of a part after a delay.
func (t *Trials) retryAfter(part Fingerprint, delay time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.nextClaim[part] = t.Now().Add(delay)
}

// begin reports whether this node may call the store for the trial of a part now.
func (t *Trials) begin(part Fingerprint) bool {
	now := t.Now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now.Before(t.nextClaim[part]) {
		return false
	}
	if t.nextClaim == nil || len(t.nextClaim) >= maxClaims {
		t.nextClaim = map[Fingerprint]time.Time{}
	}
	t.nextClaim[part] = now.Add(trialLease)
	return true
}
