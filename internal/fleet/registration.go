package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// nodeInfo is what a node registers: its address, its zone and its processor time in cores.
type nodeInfo struct {
	address string
	zone    string
	cores   float64
}

// String returns the registered form.
func (info nodeInfo) String() string {
	return strings.Join([]string{info.address, info.zone, strconv.FormatFloat(info.cores, 'g', -1, 64)}, " ")
}

// maxCores is the processor time, in cores, above which a registration is not believed.
const maxCores = 1 << 16

// parseNodeInfo parses the registered form. Missing fields stay empty: a node whose processor
// time cannot be parsed, or is absurd, does not count as large.
func parseNodeInfo(text string) nodeInfo {
	info := nodeInfo{}
	address, rest, _ := strings.Cut(text, " ")
	zone, cores, _ := strings.Cut(rest, " ")
	info.address, info.zone = address, zone
	if parsed, err := strconv.ParseFloat(cores, 64); err == nil && parsed > 0 && parsed <= maxCores {
		info.cores = parsed
	}
	return info
}

// Run keeps this node registered, registers it again if the registration is lost, and
// deregisters it when the context ends. What an outage of the store prevents is repeated when the
// outage ends.
func (r *Registry) Run(ctx context.Context) {
	lease := int64(0)
	for ctx.Err() == nil {
		var registered bool
		lease, registered = r.renew(ctx, lease)
		if r.publishIfChanged(ctx) && registered {
			r.awaitRenewal(ctx)
		} else {
			r.Outage.AwaitRetry(ctx)
		}
	}
	r.deregister(lease)
}

// awaitRenewal waits until the registration must be renewed. After a restore of the store all
// nodes must register again at the same time: they spread this over a renewal interval, so that
// 1,000 nodes make 170 writes a second.
func (r *Registry) awaitRenewal(ctx context.Context) {
	changed := r.Eras.NextChange()
	if era, _ := r.Eras.State(); era == r.registeredEra || !r.registeredEra.IsKnown() {
		timer := time.NewTimer(registrationTTL / renewalsPerTTL)
		defer timer.Stop()
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	pause.For(ctx, time.Duration(rand.Int64N(int64(registrationTTL/renewalsPerTTL))))
}

func (r *Registry) deregister(lease int64) {
	r.mutex.Lock()
	r.standing.end(boottime.Now())
	r.deregistered = true
	r.mutex.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = r.Store.Revoke(ctx, lease)
}

// renew renews the registration or registers the node again. It returns the lease of the
// registration, or 0 if there is none, and whether the node is registered.
func (r *Registry) renew(ctx context.Context, lease int64) (currentLease int64, registered bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := boottime.Now()
	lease, registered = r.renewOrRegister(ctx, lease)
	if registered {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.standing.renew(sentAt, boottime.Now())
	}
	return lease, registered
}

// renewOrRegister makes the calls of renew.
func (r *Registry) renewOrRegister(ctx context.Context, lease int64) (currentLease int64, registered bool) {
	// A lease of another era is gone, or belongs to another client.
	if era, _ := r.Eras.State(); lease != 0 && era == r.leaseEra {
		alive, err := r.Store.Renew(ctx, lease)
		if err != nil {
			return lease, false
		}
		if alive {
			return lease, r.registered || r.register(ctx, lease)
		}
	}
	granted, err := r.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return 0, false
	}
	r.leaseEra, _ = r.Eras.State()
	r.registered = false
	return granted.ID, r.register(ctx, granted.ID)
}

// register writes the registration under a lease, and returns whether it is written. An unanswered write is
// repeated under the same lease: done late, one under another lease would end the registration with that.
func (r *Registry) register(ctx context.Context, lease int64) bool {
	// The key may exist already, under a lease from the restored backup that no node renews.
	written, err := r.Store.Write(ctx, r.registrationKey(), []byte(r.ownInfo().String()), lease)
	r.registered = err == nil && written
	if r.registered {
		r.registeredEra = r.leaseEra
	}
	return r.registered
}

// withPreRestoreEntries adds to the observed entries those of nodes that were registered before
// a restore of the store and may not have registered again yet. If they counted as lost, the
// registered nodes would claim their shares of fleet-wide budgets.
func (r *Registry) withPreRestoreEntries(entries []coordination.Entry, now time.Time) []coordination.Entry {
	_, restoredAt := r.Eras.State()
	if restoredAt.IsZero() || now.Sub(restoredAt) > registrationTTL {
		return entries
	}
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[r.nodeName(entry.Key)] = true
	}
	entries = slices.Clone(entries)
	for name, entry := range r.formerEntries {
		if !present[name] {
			entries = append(entries, entry)
		}
	}
	return entries
}

// ownInfo returns this node's own info.
func (r *Registry) ownInfo() nodeInfo {
	return nodeInfo{address: r.Address, zone: r.Zone, cores: r.Cores}
}

// nodeName returns the name of the node that a key registers.
func (r *Registry) nodeName(key string) string {
	name, _ := r.parseKey(key)
	return name
}

// parseKey returns the name and the incarnation of the node that a key registers. The part of
// the key before them only determines the key order.
func (r *Registry) parseKey(key string) (name, incarnation string) {
	parts := strings.Split(strings.TrimPrefix(key, r.Prefix), "/")
	if len(parts) < 2 {
		return parts[0], ""
	}
	return parts[len(parts)-2], parts[len(parts)-1]
}

// maxMilliCores is the processor time, in thousandths of a core, above which nodes sort alike
// in key order.
const maxMilliCores = 999_999

// registrationKey returns this node's registration key. In key order, nodes with more processor
// time come first, and equal ones are ordered by a hash, so that the first page of a long list
// contains the relays.
func (r *Registry) registrationKey() string {
	milliCores := min(maxMilliCores, int(1000*r.Cores))
	return fmt.Sprintf("%s%06d-%016x/%s/%s", r.Prefix, maxMilliCores-milliCores, uint64(prefix.HashName(r.Name)), r.Name, r.Incarnation)
}
