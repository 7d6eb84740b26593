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
	// Work asks a reader for the work of its group: itself and the nodes that ask it.
	Work(ctx context.Context, address string) ([]backend.Work, error)
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
func (reflector *Reflector) Run(ctx context.Context) {
	go reflector.followReaders(ctx)
	go reflector.shareWork(ctx)
	for ctx.Err() == nil {
		begun := time.Now()
		pause := reflector.Interval
		err := reflector.read(ctx)
		switch {
		case err != nil:
			pause = soonPause
		case !reflector.Registry.Settled():
			pause = gatherPause
		}
		wait(ctx, pause-time.Since(begun))
	}
}

func wait(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// Reads reports whether this node reads the list of servers from the store.
func (reflector *Reflector) Reads() bool {
	return reflector.Registry.Settled() && reflector.Registry.Rank() < Readers
}

func (reflector *Reflector) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := time.Now()
	observation, err := reflector.observe(ctx, begun)
	reflector.Recorder.Read(time.Since(begun), err)
	if err != nil {
		// A store that only limits the rate is sound.
		if !failure.Is(err, failure.KindRateLimited) {
			reflector.disturb(time.Now())
		}
		return err
	}
	if !observation.Declared.SentAt.IsZero() {
		reflector.advance(observation.Declared)
	}
	return nil
}

// advance takes a reading, this node's or one that a reader passed on.
func (reflector *Reflector) advance(reading catalog.Reading) {
	reflector.advancing.Lock()
	defer reflector.advancing.Unlock()
	before := reflector.Belief.Load()
	after := catalog.Advance(before, reading)
	reflector.Belief.Store(after)
	reflector.Recorder.Declared(before, after)
	if before == nil || before.Snapshot != after.Snapshot || !before.SameWeights(after) {
		reflector.Feed.Wake()
	}
}

// disturb notes that the shared store, or the way to it, was not sound at a time.
func (reflector *Reflector) disturb(at time.Time) {
	reflector.advancing.Lock()
	defer reflector.advancing.Unlock()
	reflector.Belief.Store(catalog.Disturb(reflector.Belief.Load(), at))
}

// heardWithin reports whether the belief is no older than a time, so that a
// follower need not read the store itself.
func (reflector *Reflector) heardWithin(age time.Duration, now time.Time) bool {
	belief := reflector.Belief.Load()
	return belief != nil && belief.Snapshot != nil && belief.Fresh(now, age)
}

// observe reads what this node's part in the fleet asks for.
func (reflector *Reflector) observe(ctx context.Context, now time.Time) (Observation, error) {
	if !reflector.Registry.Settled() {
		if err := reflector.readFleet(ctx, now); err != nil || !reflector.Registry.Settled() {
			// Nothing that operators wrote was read: the belief is as old as before.
			return Observation{}, err
		}
	}
	if !reflector.Reads() {
		if reflector.heardWithin(reflector.Interval*3/2, now) {
			return Observation{}, nil
		}
		declared, err := reflector.Source.Declared(ctx)
		if err == nil && now.Sub(reflector.fleetAt.load()) >= fleetInterval {
			err = reflector.readFleet(ctx, now)
		}
		return Observation{Declared: declared}, err
	}
	observation, err := reflector.Source.Observe(ctx)
	if err != nil {
		return observation, err
	}
	reflector.Recorder.Listed(reflector.Set.Update(observation.Servers, time.Now()))
	reflector.Registry.Observe(observation.Fleet, time.Now())
	reflector.Feed.Take(observation.Servers, time.Now())
	reflector.fleetAt.store(now)
	return observation, nil
}

func (reflector *Reflector) readFleet(ctx context.Context, now time.Time) error {
	entries, err := reflector.Source.Fleet(ctx)
	if err != nil {
		return err
	}
	reflector.Registry.Observe(entries, time.Now())
	reflector.fleetAt.store(now)
	return nil
}
