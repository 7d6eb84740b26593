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

// place is where a node is reached, and the processor time that it has, in cores.
type place struct {
	address string
	zone    string
	room    float64
}

// String is the place as it is registered.
func (p place) String() string {
	return strings.Join([]string{p.address, p.zone, strconv.FormatFloat(p.room, 'g', -1, 64)}, " ")
}

// parsePlace reads a registered place. What is missing in it stays empty: a node whose
// room cannot be read is one without room.
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

// Run keeps this node's key alive, writes it anew if it was lost, and takes it
// back when the context ends.
func (r *Registry) Run(ctx context.Context) {
	lease := int64(0)
	for ctx.Err() == nil {
		lease = r.renew(ctx, lease)
		r.publish(ctx)
		r.rest(ctx)
	}
	r.leave(lease)
}

// rest waits until the registration is to be renewed. After the store has gone back it is to
// be written again, by all nodes in the same moment: they spread that over the time between two
// renewals, so that 1,000 nodes write 170 times a second.
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

// renew returns the lease that keeps the node's key, or 0 if there is none.
func (r *Registry) renew(ctx context.Context, lease int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A lease of another era is gone, or somebody else's.
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
	// The key may be there, under a lease of the store's copy that nobody renews.
	if written, err := r.Store.Write(ctx, r.key(), []byte(r.place().String()), granted.ID); err != nil || !written {
		return 0
	}
	r.registered = era
	return granted.ID
}

// withLost adds to the observed entries those of nodes that were there when the store went back
// and have not had the time to register again. Were they taken for lost, those that have would
// take their parts of what the fleet may do.
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

// place is this node's own.
func (r *Registry) place() place { return place{address: r.Address, zone: r.Zone, room: r.Room} }

// nameOf returns the name of the node that a key registers.
func (r *Registry) nameOf(key string) string {
	name, _ := r.parseKey(key)
	return name
}

// parseKey returns the name of the node that a key registers, and that of its life. What
// comes before them in the key only gives it its place among all.
func (r *Registry) parseKey(key string) (name, life string) {
	parts := strings.Split(strings.TrimPrefix(key, r.Prefix), "/")
	if len(parts) < 2 {
		return parts[0], ""
	}
	return parts[len(parts)-2], parts[len(parts)-1]
}

// mostRoom is the processor time, in thousandths of a core, above which nodes are alike in
// the order of keys.
const mostRoom = 999_999

// key registers this node. In the order of keys those with the most room come first, and
// among equals a hash decides: the first page of a long list shows who the relays are.
func (r *Registry) key() string {
	room := min(mostRoom, int(1000*r.Room))
	return fmt.Sprintf("%s%06d-%016x/%s/%s", r.Prefix, mostRoom-room, uint64(prefix.KeyOf(r.Name)), r.Name, r.Life)
}
