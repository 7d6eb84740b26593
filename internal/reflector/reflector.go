// Package reflector keeps a node's copy of what the shared store says: the
// declaration, the named weights, the list of servers and the fleet. It reads
// at fixed intervals, so that whatever the store forgets or whoever was cut off,
// the copy is right again after one reading.
package reflector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// Observation is all that one reading found.
type Observation struct {
	Declared catalog.Reading
	Servers  []backend.Server
	// Fleet holds what the nodes keep in the store themselves.
	Fleet []coordination.Entry
}

// Source reads the store. Its readings are linearizable.
type Source interface {
	// Observe reads all.
	Observe(ctx context.Context) (Observation, error)
	// Declared reads only what operators wrote.
	Declared(ctx context.Context) (catalog.Reading, error)
	// Fleet reads only what the nodes keep in the store themselves.
	Fleet(ctx context.Context) ([]coordination.Entry, error)
}

// Peers asks other nodes for what they know.
type Peers interface {
	Ask(ctx context.Context, address string, question Question) (Delta, error)
	// Group asks a reader for the work of its group, itself and the nodes that ask it,
	// and for its news of cached parts since a place.
	Group(ctx context.Context, address string, since residency.Place) (Group, error)
}

// Recorder hears of what a reading changes. Its methods must not block.
type Recorder interface {
	// Read hears of each reading, of how long it took, and of its failure, if any.
	Read(took time.Duration, err error)
	// Declared hears of a change of the belief.
	Declared(before, after *catalog.Belief)
	// Listed hears of changes to the list of servers.
	Listed(changes []backend.Change)
	// Follows hears from which node the list of servers is taken.
	Follows(reader string)
	// Garbled hears of news of cached parts that cannot be read.
	Garbled(node string, err error)
}

const (
	// readTimeout bounds one reading, which may take several calls in a large fleet.
	readTimeout = 4 * time.Second
	// soonPause is the wait after a reading that failed.
	soonPause = 100 * time.Millisecond
	// gatherPause is the wait between readings while the fleet gathers.
	gatherPause = 250 * time.Millisecond
	// fleetInterval is the time between a follower's readings of the fleet.
	fleetInterval = 4 * time.Second
	// Readers is how many nodes read the list of servers from the store. In a
	// larger fleet the others take it from them: the store could not send it to
	// all.
	Readers = 10
)

// Reflector reads the store.
type Reflector struct {
	Source   Source
	Peers    Peers
	Belief   *catalog.Holder
	Set      *backend.Set
	Registry *fleet.Registry
	Feed     *Feed
	Work     *workshare.Board
	Kept     *residency.Hearer
	Recorder Recorder
	// Interval is the time between readings.
	Interval time.Duration

	// advancing is held while the belief is replaced.
	advancing sync.Mutex
	fleetAt   atomicTime
	// reader is the address of the node that is followed.
	reader atomic.Pointer[string]
}

// atomicTime is a time that goroutines share.
type atomicTime struct{ nanoseconds atomic.Int64 }

func (t *atomicTime) load() time.Time { return time.Unix(0, t.nanoseconds.Load()) }

func (t *atomicTime) store(at time.Time) { t.nanoseconds.Store(at.UnixNano()) }

// Run reads until the context ends, and soon again after a failure.
func (r *Reflector) Run(ctx context.Context) {
	go r.followReaders(ctx)
	go r.shareWork(ctx)
	for ctx.Err() == nil {
		begun := time.Now()
		rest := r.Interval
		err := r.read(ctx)
		switch {
		case err != nil:
			rest = soonPause
		case !r.Registry.Settled():
			rest = gatherPause
		}
		pause.For(ctx, rest-time.Since(begun))
	}
}

// Reads reports whether this node reads the list of servers from the store.
func (r *Reflector) Reads() bool {
	return r.Registry.Settled() && r.Registry.Rank() < Readers
}

func (r *Reflector) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := time.Now()
	observation, err := r.observe(ctx, begun)
	r.Recorder.Read(time.Since(begun), err)
	if err != nil {
		// A store that only limits the rate is sound.
		if !failure.Is(err, failure.KindRateLimited) {
			r.disturb(time.Now())
		}
		return err
	}
	if !observation.Declared.SentAt.IsZero() {
		r.advance(observation.Declared)
	}
	return nil
}

// advance takes a reading, this node's or one that a reader passed on.
func (r *Reflector) advance(reading catalog.Reading) {
	r.advancing.Lock()
	defer r.advancing.Unlock()
	before := r.Belief.Load()
	after := catalog.Advance(before, reading)
	r.Belief.Store(after)
	r.Recorder.Declared(before, after)
	if before == nil || before.Snapshot != after.Snapshot || !before.SameWeights(after) {
		r.Feed.Wake()
	}
}

// disturb notes that the shared store, or the way to it, was not sound at a time.
func (r *Reflector) disturb(at time.Time) {
	r.advancing.Lock()
	defer r.advancing.Unlock()
	r.Belief.Store(catalog.Disturb(r.Belief.Load(), at))
}

// heardWithin reports whether the belief is no older than a time, so that a
// follower need not read the store itself.
func (r *Reflector) heardWithin(age time.Duration, now time.Time) bool {
	belief := r.Belief.Load()
	return belief != nil && belief.Snapshot != nil && belief.Fresh(now, age)
}

// observe reads what this node's part in the fleet asks for.
func (r *Reflector) observe(ctx context.Context, now time.Time) (Observation, error) {
	if !r.Registry.Settled() {
		if err := r.readFleet(ctx, now); err != nil || !r.Registry.Settled() {
			// Nothing that operators wrote was read: the belief is as old as before.
			return Observation{}, err
		}
	}
	if !r.Reads() {
		if r.heardWithin(r.Interval*3/2, now) {
			return Observation{}, nil
		}
		declared, err := r.Source.Declared(ctx)
		if err == nil && now.Sub(r.fleetAt.load()) >= fleetInterval {
			err = r.readFleet(ctx, now)
		}
		return Observation{Declared: declared}, err
	}
	observation, err := r.Source.Observe(ctx)
	if err != nil {
		return observation, err
	}
	r.Recorder.Listed(r.Set.Update(observation.Servers, time.Now()))
	r.Registry.Observe(observation.Fleet, time.Now())
	r.Feed.Take(observation.Servers, time.Now())
	r.fleetAt.store(now)
	return observation, nil
}

func (r *Reflector) readFleet(ctx context.Context, now time.Time) error {
	entries, err := r.Source.Fleet(ctx)
	if err != nil {
		return err
	}
	r.Registry.Observe(entries, time.Now())
	r.fleetAt.store(now)
	return nil
}
