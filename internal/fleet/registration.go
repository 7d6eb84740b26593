package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// nodeInfo is what a node registers: its address, its zone and its processor time in cores.
type place struct {
	address string
	zone    string
	room    float64
}

// String returns the registered form.
func (p place) String() string {
	return strings.Join([]string{p.address, p.zone, strconv.FormatFloat(p.room, 'g', -1, 64)}, " ")
}

// parseNodeInfo parses the registered form. Missing fields stay empty: a node whose processor
// time cannot be parsed does not count as large.
func parsePlace(text string) place {
	p := place{}
	address, rest, _ := strings.Cut(text, " ")
	zone, room, _ := strings.Cut(rest, " ")
	p.address, p.zone = address, zone
	if cores, err := strconv.ParseFloat(room, 64); err == nil {
		p.room = cores
	}
	return p
}

// Run keeps this node registered, registers it again if the registration is lost, and
// deregisters it when the context ends.
func (r *Registry) Run(ctx context.Context) {
	lease := int64(0)
	for ctx.Err() == nil {
		lease = r.renew(ctx, lease)
		r.publish(ctx)
		r.rest(ctx)
	}
	r.leave(lease)
}

// awaitRenewal waits until the registration must be renewed. After a restore of the store all
// nodes must register again at the same time: they spread this over a renewal interval, so that
// 1,000 nodes make 170 writes a second.
func (r *Registry) rest(ctx context.Context) {
	changed := r.Eras.Next()
	if era, _ := r.Eras.State(); era == r.registered || r.registered == 0 {
		timer := time.NewTimer(registrationLife / renewals)
		defer timer.Stop()
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	pause.For(ctx, time.Duration(rand.Int64N(int64(registrationLife/renewals))))
}

func (r *Registry) leave(lease int64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = r.Store.End(ctx, lease)
}

// renew renews the registration or registers the node again, and returns the lease of the
// registration, or 0 if there is none.
func (r *Registry) renew(ctx context.Context, lease int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A lease of another era is gone, or belongs to another client.
	if era, _ := r.Eras.State(); lease != 0 && era == r.registered {
		alive, err := r.Store.Renew(ctx, lease)
		if err != nil || alive {
			return lease
		}
	}
	granted, err := r.Store.Grant(ctx, registrationLife)
	if err != nil {
		return 0
	}
	era, _ := r.Eras.State()
	// The key may exist already, under a lease from the restored backup that no node renews.
	if written, err := r.Store.Write(ctx, r.key(), []byte(r.place().String()), granted.ID); err != nil || !written {
		return 0
	}
	r.registered = era
	return granted.ID
}

// withUnregistered adds to the observed entries those of nodes that were registered before a
// restore of the store and may not have registered again yet. If they were taken for lost, the
// registered nodes would claim their shares of fleet-wide budgets.
func (r *Registry) withLost(entries []coordination.Entry, now time.Time) []coordination.Entry {
	_, since := r.Eras.State()
	if since.IsZero() || now.Sub(since) > registrationLife {
		return entries
	}
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[r.nameOf(entry.Key)] = true
	}
	entries = slices.Clone(entries)
	for name, entry := range r.entries {
		if !present[name] {
			entries = append(entries, entry)
		}
	}
	return entries
}

// ownInfo returns this node's own info.
func (r *Registry) place() place { return place{address: r.Address, zone: r.Zone, room: r.Room} }

// nodeName returns the name of the node that a key registers.
func (r *Registry) nameOf(key string) string {
	name, _ := r.parseKey(key)
	return name
}

// parseKey returns the name and the incarnation of the node that a key registers. The part of
// the key before them only determines the key order.
func (r *Registry) parseKey(key string) (name, life string) {
	parts := strings.Split(strings.TrimPrefix(key, r.Prefix), "/")
	if len(parts) < 2 {
		return parts[0], ""
	}
	return parts[len(parts)-2], parts[len(parts)-1]
}

// maxMilliCores is the processor time, in thousandths of a core, above which nodes sort alike
// in key order.
const mostRoom = 999_999

// registrationKey returns this node's registration key. In key order, nodes with more processor
// time come first, and equal ones are ordered by a hash, so that the first page of a long list
// contains the relays.
func (r *Registry) key() string {
	room := min(mostRoom, int(1000*r.Room))
	return fmt.Sprintf("%s%06d-%016x/%s/%s", r.Prefix, mostRoom-room, uint64(prefix.KeyOf(r.Name)), r.Name, r.Life)
}
