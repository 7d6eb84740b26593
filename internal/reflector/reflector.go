// Package reflector keeps a node's copy of what the shared store says: the
// declaration, the named weights, the list of servers and the fleet. It reads
// at fixed intervals, so that whatever the store forgets or whoever was cut off,
// the copy is right again after one reading.
package reflector

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
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
	Observe(ctx context.Context) (Observation, error)
}

// Recorder hears of what a reading changes. Its methods must not block.
type Recorder interface {
	// Read hears of each reading, of how long it took, and of its failure, if any.
	Read(took time.Duration, err error)
	// Declared hears of a change of the belief.
	Declared(before, after *catalog.Belief)
	// Listed hears of changes to the list of servers.
	Listed(changes []backend.Change)
}

const (
	// callTimeout bounds one reading.
	callTimeout = time.Second
	// failurePause is the wait after a reading that failed.
	failurePause = 100 * time.Millisecond
)

// Reflector reads the store.
type Reflector struct {
	Source   Source
	Belief   *catalog.Holder
	Set      *backend.Set
	Registry *fleet.Registry
	Recorder Recorder
	// Interval is the time between readings.
	Interval time.Duration
}

// Run reads until the context ends, and soon again after a failure.
func (reflector *Reflector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		pause := reflector.Interval
		if err := reflector.read(ctx); err != nil {
			pause = failurePause
		}
		select {
		case <-time.After(pause - time.Since(begun)):
		case <-ctx.Done():
		}
	}
}

func (reflector *Reflector) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	observation, err := reflector.Source.Observe(ctx)
	reflector.Recorder.Read(time.Since(begun), err)
	before := reflector.Belief.Load()
	if err != nil {
		reflector.Belief.Store(catalog.Disturb(before, time.Now()))
		return err
	}
	after := catalog.Advance(before, observation.Declared)
	reflector.Belief.Store(after)
	reflector.Recorder.Declared(before, after)
	now := time.Now()
	reflector.Recorder.Listed(reflector.Set.Update(observation.Servers, now))
	reflector.Registry.Observe(observation.Fleet, now)
	return nil
}
