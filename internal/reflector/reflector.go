// Package reflector keeps a node's copy of what the shared store says: the
// declaration, the named weights, the list of servers and the fleet.
//
// Every node reads the store once what it knows has reached an age: the first reader
// soonest, the readers that stand in for it later, then the relays and at last all
// others. Relays ask the readers and the others ask the relays, so that while all is
// well only the first reader reads: at fixed intervals, whatever the store forgets, and
// at once when a watch tells of a change. When it is lost, the next one is due.
package reflector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// Observation is what one reading found.
type Observation struct {
	Declared catalog.Reading
	// Whole says that Servers is the whole list. Otherwise it is what has changed in it
	// since the reading before, and Gone names those that have vanished since.
	Whole   bool
	Servers []backend.Server
	Gone    []string
	// At is up to where all this reaches in the store.
	At coordination.Position
	// Duties holds the entries of the duties that nodes hold, and Nodes those of the
	// nodes, which is nil if they are as they were.
	Duties []coordination.Entry
	Nodes  []coordination.Entry
	// Held holds the entries of requests that are held off.
	Held []coordination.Entry
}

// Source reads the store. Its readings are linearizable unless it is said otherwise.
// It is safe for concurrent use.
type Source interface {
	// Observe reads all that has changed since it was called last.
	Observe(ctx context.Context) (Observation, error)
	// Declared reads only what operators wrote.
	Declared(ctx context.Context) (catalog.Reading, error)
	// Nodes reads only the entries of the nodes, in the order of their keys, and of many
	// the first ones: all says that there are no more. If they may be old, seconds old, the
	// reading costs a tenth.
	Nodes(ctx context.Context, old bool) (entries []coordination.Entry, all bool, err error)
	// View reads what a first node has published of the fleet, as it may have been seconds
	// before, or nil. It costs a tenth.
	View(ctx context.Context) ([]byte, error)
	// AwaitDeclared waits for a change of what operators wrote after a position. It returns
	// whether there was one, and the position to wait on from.
	AwaitDeclared(ctx context.Context, after coordination.Position, wait time.Duration) (changed bool, at coordination.Position, err error)
}

// Peers asks other nodes for what they know.
type Peers interface {
	Ask(ctx context.Context, address string, question Question) (Delta, error)
	// Group asks a relay for the work of its group, itself and the nodes that ask it,
	// and for what it heard since.
	Group(ctx context.Context, address string, since GroupQuestion) (Group, error)
}

// Recorder hears of what a reading changes. Its methods must not block.
type Recorder interface {
	// Read hears of each reading, of how long it took, and of its failure, if any.
	Read(took time.Duration, err error)
	// Declared hears of a change of the belief.
	Declared(before, after *catalog.Belief)
	// Listed hears of changes to the list of servers.
	Listed(changes []backend.Change)
	// Follows hears which node this one asks, and why it left the one before.
	Follows(node string, left error)
	// Garbled hears of news of cached parts that cannot be read.
	Garbled(node string, err error)
}

const (
	// readTimeout bounds one reading, which may take several calls in a large fleet.
	readTimeout = 4 * time.Second
	// soonPause is a reader's wait after a reading that failed, and laterPause that of all
	// others: a store that is back is heard of through the readers, and one that is down
	// or overloaded is not asked ten times a second by hundreds of nodes.
	soonPause  = 100 * time.Millisecond
	laterPause = 400 * time.Millisecond
	// nodesInterval is the time between readings of the nodes' entries where these cost
	// a call of their own. A node that died is listed for longer than that anyway.
	nodesInterval = 4 * time.Second
	// enoughFailures in a row, with nothing heard of others for disturbedPart of the bound,
	// show that the store is not sound. By then all nodes were due to read.
	enoughFailures = 2
	disturbedPart  = followerPart
	// startPoll is the time between two looks at what a node has heard that has just
	// started, and settledPoll the longest time until the next look at whether a reading
	// is due, or whether this node's part in the fleet has changed.
	startPoll   = 25 * time.Millisecond
	settledPoll = 500 * time.Millisecond
	// watchWait is how long one watch waits for a change, and watchPause the wait after
	// one that failed.
	watchWait  = 15 * time.Second
	watchPause = time.Second
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
	// TakeReport takes what all other nodes have under way and use. It must not block.
	TakeReport func(others workshare.Report, now time.Time)
	Kept       *residency.Hearer
	// Quarantine is what requests have done to servers.
	Quarantine *quarantine.Ledger
	// TakeHeld takes the requests that the store holds off. It must not block.
	TakeHeld func(held []coordination.Entry)
	Recorder Recorder
	// Eras follows the era of the store, which others may hear of before this node does.
	Eras *coordination.Eras
	// Bound is the age that what a node knows must never reach.
	Bound time.Duration

	// advancing is held while the belief is replaced.
	advancing sync.Mutex
	// nodesAt is when the nodes' entries were read or heard last, and listedAt when the
	// list of servers was read that this node has.
	nodesAt  atomicTime
	listedAt atomicTime
	// observing is held while all is read: a reading goes on from the one before. listing is
	// held while the list of servers is changed, in the feed and in the set alike.
	observing sync.Mutex
	listing   sync.Mutex
	// failures counts the readings that have failed in a row.
	failures atomic.Int64
	// readUpTo is where the store was at the last reading of the declaration.
	readUpTo atomic.Pointer[coordination.Position]
	// upstream is the address of the node that is followed.
	upstream atomic.Pointer[string]
}

// atomicTime is a time that goroutines share. It keeps its steady reading: an age must not
// jump with the time of day.
type atomicTime struct{ at atomic.Pointer[time.Time] }

func (t *atomicTime) load() time.Time {
	if at := t.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (t *atomicTime) store(at time.Time) { t.at.Store(&at) }

// Run reads until the context ends, and soon again after a failure.
func (r *Reflector) Run(ctx context.Context) {
	go r.follow(ctx)
	go r.shareWork(ctx)
	go r.watch(ctx)
	r.gather(ctx)
	r.awaitRelay(ctx)
	for ctx.Err() == nil {
		switch {
		case !r.due(boottime.Now()):
			pause.For(ctx, r.untilDue(boottime.Now()))
		case r.read(ctx) != nil:
			pause.For(ctx, r.failurePause())
		default:
			// The store may hold no declaration yet.
			pause.For(ctx, r.age(firstReadPart)/2)
		}
	}
}

// failurePause is the wait after a reading that failed.
func (r *Reflector) failurePause() time.Duration {
	if r.Reads() {
		return soonPause
	}
	return laterPause
}

// leads reports whether this node is the first reader.
func (r *Reflector) leads() bool { return r.Registry.Settled() && r.Registry.Rank() == 0 }

// Reads reports whether this node is a reader.
func (r *Reflector) Reads() bool { return r.Registry.Settled() && r.Registry.Reading() }

// Relays reports whether this node tells others what it knows.
func (r *Reflector) Relays() bool { return r.Registry.Settled() && r.Registry.Relaying() }

// bounded runs one reading within its time, and tells of its end.
func (r *Reflector) bounded(ctx context.Context, read func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := boottime.Now()
	err := read(ctx)
	r.Recorder.Read(boottime.Since(begun), err)
	r.judge(err, boottime.Now())
	return err
}

// judge decides after a reading whether the store is sound. One that fails may say more
// about this node, which may be slow, stopped for a while or cut off: only if several
// have failed, and no other node has told anything recent either, the store, or the
// way to it, is not sound.
func (r *Reflector) judge(err error, now time.Time) {
	// A store that only limits the rate is sound.
	if err == nil || failure.Is(err, failure.KindRateLimited) {
		r.failures.Store(0)
		return
	}
	if r.failures.Add(1) >= enoughFailures && !r.knows(r.age(disturbedPart), now) {
		r.disturb(now)
	}
}

// read reads what this node's part in the fleet asks for.
func (r *Reflector) read(ctx context.Context) error {
	if r.Relays() {
		return r.bounded(ctx, r.observe)
	}
	return r.bounded(ctx, r.readAlone)
}

// observe reads all that has changed.
func (r *Reflector) observe(ctx context.Context) error {
	r.observing.Lock()
	defer r.observing.Unlock()
	begun := boottime.Now()
	observation, err := r.Source.Observe(ctx)
	if err != nil {
		return err
	}
	r.takeServers(listing{
		whole: observation.Whole, changed: observation.Servers, gone: observation.Gone,
		at: observation.At, readAt: begun,
	})
	r.Registry.ObserveDuties(observation.Duties, boottime.Now())
	r.TakeHeld(observation.Held)
	if observation.Nodes != nil {
		r.Registry.ObserveNodes(observation.Nodes, boottime.Now())
	}
	r.nodesAt.store(begun)
	r.advance(observation.Declared)
	return nil
}

// takeServers takes what was read or heard of the list of servers, and passes it on.
func (r *Reflector) takeServers(l listing) {
	r.listing.Lock()
	defer r.listing.Unlock()
	changed, gone := r.Feed.take(l)
	// Also without a change, servers that vanished long ago are forgotten.
	r.Recorder.Listed(r.Set.Apply(changed, gone, boottime.Now()))
	_, readAt := r.Feed.place()
	r.listedAt.store(readAt)
}

// readAlone reads what a node needs that hears nothing recent from others.
func (r *Reflector) readAlone(ctx context.Context) error {
	declared, err := r.Source.Declared(ctx)
	if err != nil {
		return err
	}
	r.advance(declared)
	if boottime.Since(r.nodesAt.load()) < nodesInterval {
		return nil
	}
	return r.readNodes(ctx, false)
}

// watch lets the first reader read what operators wrote as soon as it has changed. What
// a watch misses is found by the next reading.
func (r *Reflector) watch(ctx context.Context) {
	after := coordination.Position{}
	for ctx.Err() == nil {
		if read := r.readUpTo.Load(); after.IsZero() && read != nil {
			after = *read
		}
		if !r.leads() || after.IsZero() {
			after = coordination.Position{}
			pause.For(ctx, settledPoll)
			continue
		}
		changed, at, err := r.awaitDeclared(ctx, after)
		after = at
		if err == nil && changed {
			err = r.bounded(ctx, r.observe)
		}
		if err != nil {
			after = coordination.Position{}
			pause.For(ctx, watchPause)
		}
	}
}

func (r *Reflector) awaitDeclared(ctx context.Context, after coordination.Position) (changed bool, at coordination.Position, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
	defer cancel()
	return r.Source.AwaitDeclared(ctx, after, watchWait)
}

// advance takes a reading, this node's or one that another node passed on.
func (r *Reflector) advance(reading catalog.Reading) {
	r.advancing.Lock()
	defer r.advancing.Unlock()
	before := r.Belief.Load()
	after := catalog.Advance(before, reading)
	r.Belief.Store(after)
	if read := r.readUpTo.Load(); read == nil || read.Before(reading.At) {
		r.readUpTo.Store(&reading.At)
	}
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
