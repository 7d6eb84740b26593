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
)

// Source reads the store.
type Source interface {
	// Declaration returns what operators declared. It is linearizable.
	Declaration(ctx context.Context) (catalog.Reading, error)
	// Servers returns the list of servers. It is linearizable.
	Servers(ctx context.Context) ([]backend.Server, error)
}

// Recorder hears of what a reading changes. Its methods must not block.
type Recorder interface {
	// Read hears of each reading, of how long it took, and of its failure, if any.
	Read(what string, took time.Duration, err error)
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
	Recorder Recorder
	// DeclarationInterval and ServersInterval are the times between readings.
	DeclarationInterval time.Duration
	ServersInterval     time.Duration
}

// Run reads until the context ends.
func (reflector *Reflector) Run(ctx context.Context) {
	go repeat(ctx, reflector.DeclarationInterval, reflector.readDeclaration)
	repeat(ctx, reflector.ServersInterval, reflector.readServers)
}

// repeat calls read at the interval, and soon again after a failure.
func repeat(ctx context.Context, interval time.Duration, read func(context.Context) error) {
	for ctx.Err() == nil {
		begun := time.Now()
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err := read(bounded)
		cancel()
		pause := interval - time.Since(begun)
		if err != nil {
			pause = failurePause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (reflector *Reflector) readDeclaration(ctx context.Context) error {
	begun := time.Now()
	reading, err := reflector.Source.Declaration(ctx)
	reflector.Recorder.Read("declaration", time.Since(begun), err)
	if err != nil {
		return err
	}
	before := reflector.Belief.Load()
	after := catalog.Advance(before, reading)
	reflector.Belief.Store(after)
	reflector.Recorder.Declared(before, after)
	return nil
}

func (reflector *Reflector) readServers(ctx context.Context) error {
	begun := time.Now()
	servers, err := reflector.Source.Servers(ctx)
	reflector.Recorder.Read("servers", time.Since(begun), err)
	if err != nil {
		return err
	}
	reflector.Recorder.Listed(reflector.Set.Update(servers, time.Now()))
	return nil
}
