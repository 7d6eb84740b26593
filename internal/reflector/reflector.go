// Package reflector keeps a node's replica of the shared store: the declaration, the
// released weight versions, the list of servers and the fleet.
//
// Every node reads the store itself once its replica has reached the age set for its role:
// the first reader at the lowest age, then the standby readers, then the relays and at last
// the followers. Relays poll the readers and followers poll the relays, so that in normal
// operation only the first reader reads the store: at fixed intervals, so that it does not
// depend on the history that the store keeps, and at once when a watch reports a change.
// When the first reader is lost, the next reader takes over by age alone.
package reflector

import (
	"context"
	"math/rand/v2"
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

// Observation is the result of one read of the store.
type Observation struct {
	// Declared holds what operators wrote: the declaration and the released weight versions.
	Declared catalog.ReadResult
	// Whole reports that Servers is the full list. Otherwise Servers holds what has changed
	// since the previous read, and Gone the instances that were removed since.
	Whole   bool
	Servers []backend.Server
	Gone    []string
	// At is the position of the store that the observation reflects.
	At coordination.Position
	// Duties holds the leader-election entries, and Nodes the node registrations, which
	// is nil if they have not changed.
	Duties []coordination.Entry
	Nodes  []coordination.Entry
	// Quarantined holds the entries of quarantined requests.
	Quarantined []coordination.Entry
	// Software is the record of software versions, or nil if it cannot be read.
	Software *backend.SoftwareRecord
}

// Source reads the store. Its reads are linearizable unless stated otherwise. It is safe
// for concurrent use.
type Source interface {
	// Observe reads everything that has changed since the last call.
	Observe(ctx context.Context) (Observation, error)
	// ReadDeclaration reads only the configuration that operators wrote.
	ReadDeclaration(ctx context.Context) (catalog.ReadResult, error)
	// ReadNodes reads the node registrations in key order, at most one page of them: all
	// reports that there are no more. If old is set, the result may be seconds old, and the
	// read costs the store a tenth of a linearizable one.
	ReadNodes(ctx context.Context, old bool) (entries []coordination.Entry, all bool, err error)
	// ReadView reads the view of the fleet that the node of rank 0 last published, or nil
	// if there is none. The result may be seconds old; the read costs a tenth of a
	// linearizable one.
	ReadView(ctx context.Context) ([]byte, error)
	// AwaitDeclaration waits for a change of the operators' configuration after a position.
	// It returns whether there was one, and the position from which to wait next.
	AwaitDeclaration(ctx context.Context, after coordination.Position, wait time.Duration) (changed bool, at coordination.Position, err error)
}

// Peers polls other nodes.
type Peers interface {
	Poll(ctx context.Context, address string, question PollRequest) (Delta, error)
	// Group polls a relay for the work of its group, which is the relay and its followers,
	// and for what else has changed since the request's cursors.
	Group(ctx context.Context, address string, since GroupRequest) (Group, error)
}

// Recorder is notified of reads and of the changes that they bring. Its methods must not block.
type Recorder interface {
	// ReadDone is called after each read of the store with its duration and error, if any.
	ReadDone(took time.Duration, err error)
	// ConfigurationChanged is called after each update of the replica.
	ConfigurationChanged(before, after *catalog.Replica)
	// ServersChanged is called with the changes to the list of servers.
	ServersChanged(changes []backend.Change)
	// UpstreamChanged is called with the node that is polled from now on, and with the
	// error for which the previous one was left.
	UpstreamChanged(node string, left error)
	// UpstreamsLost is called when a starting relay reads the store because none of its upstreams answers.
	UpstreamsLost()
	// SoftwareRecordChanged is called with the record of software versions when it has changed.
	SoftwareRecordChanged(record backend.SoftwareRecord)
	// CacheUpdatesRejected is called when a node's cache updates cannot be decoded.
	CacheUpdatesRejected(node string, err error)
}

const (
	// readTimeout bounds one read, which may take several calls in a large fleet.
	readTimeout = 4 * time.Second
	// readerRetryDelay is a reader's wait after a failed read, and retryDelay that of all
	// other nodes. These learn from the readers that the store is available again, and
	// hundreds of nodes must not retry ten times a second against a store that is down or
	// overloaded.
	readerRetryDelay = 100 * time.Millisecond
	retryDelay       = 400 * time.Millisecond
	// nodesReadInterval is the time between reads of the node registrations where these
	// take a separate call. A failed node stays registered for longer than that anyway.
	nodesReadInterval = 4 * time.Second
	// disruptionThreshold consecutive failed reads, while no other node has delivered
	// anything younger than disruptionFraction of MaxStaleness, indicate a disruption of the
	// store. By that age every node has become due to read.
	disruptionThreshold = 2
	disruptionFraction  = followerFraction
	// startupPollInterval is the interval at which a starting node checks whether it has
	// received its state, and roleCheckInterval the longest interval at which a node checks
	// whether a read is due or its role in the fleet has changed.
	startupPollInterval = 25 * time.Millisecond
	roleCheckInterval   = 500 * time.Millisecond
	// watchTimeout bounds the wait of one watch for a change, and watchRetryDelay is the
	// wait after a failed watch.
	watchTimeout    = 15 * time.Second
	watchRetryDelay = time.Second
)

// Reflector keeps this node's replica current, from the store or from other nodes.
type Reflector struct {
	Source   Source
	Peers    Peers
	Replica  *catalog.AtomicReplica
	Set      *backend.Set
	Registry *fleet.Registry
	Feed     *Feed
	Work     *workshare.Aggregator
	// OnReport receives the work in progress and the quota usage of all other nodes. It
	// must not block.
	OnReport func(others workshare.Report, now time.Time)
	// Kept receives other nodes' updates on cached pieces of prompts.
	Kept *residency.PeerReceiver
	// Quarantine tracks which requests have crashed servers.
	Quarantine *quarantine.Ledger
	// OnQuarantined receives the store's entries of quarantined requests. It must not block.
	OnQuarantined func(held []coordination.Entry)
	Recorder      Recorder
	// Eras tracks the era of the store. Other nodes may learn of a new one before this node
	// does.
	Eras *coordination.EraTracker
	// Outage tracks whether the store answers this node or others.
	Outage *coordination.Outage
	// Seeds are addresses of other nodes. A starting node polls them if the store does not show it any.
	Seeds []string
	// MaxStaleness is the age that this node's replica must never reach.
	MaxStaleness time.Duration

	// replicaMutex is held while the replica is replaced.
	replicaMutex sync.Mutex
	// nodesReadAt is when the node registrations were last read or received, and
	// serversReadAt when this node's list of servers was read from the store.
	nodesReadAt   atomicTime
	serversReadAt atomicTime
	// observeMutex serializes calls of Source.Observe, since each continues from the previous
	// one. serversMutex serializes changes of the list of servers, so that the feed and the
	// set apply them in the same order.
	observeMutex sync.Mutex
	serversMutex sync.Mutex
	// consecutiveFailures counts the failed reads since the last successful one.
	consecutiveFailures atomic.Int64
	// readNodeEntries holds the registrations that this node last read with Source.Observe, and
	// viewReceived reports that it has received another node's view since.
	readNodeEntries []coordination.Entry
	viewReceived    atomic.Bool
	// readFailedAt is when a read of the store last failed.
	readFailedAt atomicTime
	// declarationPosition is the store's position at the last read of the declaration.
	declarationPosition atomic.Pointer[coordination.Position]
	// startedAt is when the reflector was started.
	startedAt atomicTime
	// upstream is the address of the node that is polled, and upstreamsLost reports that none of the present upstreams
	// has answered its last poll.
	upstream      atomic.Pointer[string]
	upstreamsLost atomic.Bool
}

// atomicTime is a time shared by goroutines. It keeps its monotonic clock reading, so that
// ages do not jump when the wall clock is set.
type atomicTime struct{ at atomic.Pointer[time.Time] }

func (t *atomicTime) load() time.Time {
	if at := t.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (t *atomicTime) store(at time.Time) { t.at.Store(&at) }

// Run keeps the replica current until the context ends.
func (r *Reflector) Run(ctx context.Context) {
	r.startedAt.store(boottime.Now())
	go r.followUpstream(ctx)
	go r.exchangeWithRelays(ctx)
	go r.watch(ctx)
	r.bootstrap(ctx)
	r.awaitUpstream(ctx)
	for ctx.Err() == nil {
		switch {
		case !r.readDue(boottime.Now()):
			pause.For(ctx, r.untilReadDue(boottime.Now()))
		case r.read(ctx) != nil:
			pause.For(ctx, r.failureDelay())
		default:
			// While the store holds no declaration the node stays due; don't read again at once.
			pause.For(ctx, r.maxAge(firstReaderFraction)/2)
		}
	}
}

// failureDelay returns the wait after a failed read. Nodes that start together spread their reads.
func (r *Reflector) failureDelay() time.Duration {
	if r.Reads() {
		return readerRetryDelay
	}
	return retryDelay + rand.N(retryDelay/5)
}

// isFirstReader reports whether this node is the first reader.
func (r *Reflector) isFirstReader() bool { return r.Registry.Bootstrapped() && r.Registry.Rank() == 0 }

// Reads reports whether this node knows its rank and is one of the readers.
func (r *Reflector) Reads() bool { return r.Registry.Bootstrapped() && r.Registry.IsReader() }

// Relays reports whether this node knows its rank and is one of the relays. Readers are
// relays too.
func (r *Reflector) Relays() bool { return r.Registry.Bootstrapped() && r.Registry.IsRelay() }

// readWithTimeout runs one read within readTimeout and records its result.
func (r *Reflector) readWithTimeout(ctx context.Context, read func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	startedAt := boottime.Now()
	err := read(ctx)
	r.Recorder.ReadDone(boottime.Since(startedAt), err)
	r.detectDisruption(err, boottime.Now())
	return err
}

// detectDisruption decides after a read whether the store is disrupted. A single failure may
// be this node's own, if it was slow, suspended or partitioned. The store, or the network
// path to it, counts as disrupted only if several reads have failed and no other node has
// delivered recent state either.
func (r *Reflector) detectDisruption(err error, now time.Time) {
	if err != nil {
		r.readFailedAt.store(now)
	}
	// A store that only limits the rate of calls is available.
	if err == nil || failure.Is(err, failure.KindRateLimited) {
		r.consecutiveFailures.Store(0)
		return
	}
	if r.consecutiveFailures.Add(1) >= disruptionThreshold && !r.isFresh(r.maxAge(disruptionFraction), now) {
		r.markDisrupted(now)
	}
}

// read reads from the store what this node's role in the fleet requires.
func (r *Reflector) read(ctx context.Context) error {
	if r.Relays() {
		return r.readWithTimeout(ctx, r.observe)
	}
	return r.readWithTimeout(ctx, r.readFollowerState)
}

// observe reads everything that has changed in the store.
func (r *Reflector) observe(ctx context.Context) error {
	r.observeMutex.Lock()
	defer r.observeMutex.Unlock()
	sentAt := boottime.Now()
	observation, err := r.Source.Observe(ctx)
	if err != nil {
		return err
	}
	r.noteInterruption()
	// The record comes first: it holds all versions that may have begun streams when the list was read.
	if observation.Software != nil {
		r.ApplySoftware(*observation.Software)
	}
	r.applyServers(serverUpdate{
		whole: observation.Whole, changed: observation.Servers, gone: observation.Gone,
		position: observation.At, readAt: sentAt,
	})
	r.Registry.ObserveDuties(observation.Duties, boottime.Now())
	r.OnQuarantined(observation.Quarantined)
	r.observeNodes(observation.Nodes)
	r.Registry.Confirm(sentAt)
	r.nodesReadAt.store(sentAt)
	r.applyReading(observation.Declared)
	return nil
}

// observeNodes applies the registrations that were read. Those of the last read, if they have not changed since, are
// applied again if another node's view, which may be older, has replaced them, or if they could not be believed then.
// The caller holds observeMutex.
func (r *Reflector) observeNodes(changed []coordination.Entry) {
	replaced := r.viewReceived.Swap(false)
	if changed != nil {
		r.readNodeEntries = changed
	}
	if changed != nil || (replaced || !r.Registry.Settled()) && r.readNodeEntries != nil {
		r.Registry.ObserveNodes(r.readNodeEntries, boottime.Now())
	}
}

// noteInterruption records, before a list of servers that was read is applied, that reads before it have
// failed: entries may have expired in that time.
func (r *Reflector) noteInterruption() {
	if failedAt := r.readFailedAt.load(); !failedAt.IsZero() {
		r.Set.ObserveMissingEntries(failedAt.Add(backend.ReregistrationTime))
	}
}

// applyServers applies an update that was read or received to the list of servers, and
// makes it available to other nodes.
func (r *Reflector) applyServers(update serverUpdate) {
	r.serversMutex.Lock()
	defer r.serversMutex.Unlock()
	changed, gone := r.Feed.apply(update)
	// Apply also expires servers that were removed long ago, so it is called without changes
	// too.
	r.Recorder.ServersChanged(r.Set.Apply(changed, gone, boottime.Now()))
	_, readAt := r.Feed.cursor()
	r.serversReadAt.store(readAt)
	r.Set.ObserveListRead(readAt)
}

// readFollowerState reads the declaration, and the node registrations if these are due. A
// follower does so when no other node delivers recent state.
func (r *Reflector) readFollowerState(ctx context.Context) error {
	reading, err := r.Source.ReadDeclaration(ctx)
	if err != nil {
		return err
	}
	r.applyReading(reading)
	if boottime.Since(r.nodesReadAt.load()) < nodesReadInterval {
		return nil
	}
	return r.readNodes(ctx, false)
}

// watch makes the first reader read the operators' configuration as soon as it changes.
// The next periodic read finds what a watch misses.
func (r *Reflector) watch(ctx context.Context) {
	after := coordination.Position{}
	for ctx.Err() == nil {
		if read := r.declarationPosition.Load(); after.IsZero() && read != nil {
			after = *read
		}
		if !r.isFirstReader() || after.IsZero() {
			after = coordination.Position{}
			pause.For(ctx, roleCheckInterval)
			continue
		}
		changed, at, err := r.awaitDeclaration(ctx, after)
		after = at
		if err == nil && changed {
			err = r.readWithTimeout(ctx, r.observe)
		}
		if err != nil {
			after = coordination.Position{}
			pause.For(ctx, watchRetryDelay)
		}
	}
}

func (r *Reflector) awaitDeclaration(ctx context.Context, after coordination.Position) (changed bool, at coordination.Position, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+readTimeout)
	defer cancel()
	return r.Source.AwaitDeclaration(ctx, after, watchTimeout)
}

// applyReading merges the result of a read, by this node or by another one, into the replica.
func (r *Reflector) applyReading(reading catalog.ReadResult) {
	r.replicaMutex.Lock()
	defer r.replicaMutex.Unlock()
	before := r.Replica.Load()
	after := catalog.Advance(before, reading)
	r.Replica.Store(after)
	if read := r.declarationPosition.Load(); read == nil || read.Before(reading.At) {
		r.declarationPosition.Store(&reading.At)
	}
	r.Recorder.ConfigurationChanged(before, after)
	if before == nil || before.Snapshot != after.Snapshot || !before.SameNewestVersions(after) {
		r.Feed.Notify()
	}
}

// markDisrupted records that the store, or the network path to it, was disrupted at a time.
func (r *Reflector) markDisrupted(at time.Time) {
	if r.Set != nil {
		r.Set.ObserveMissingEntries(at.Add(backend.ReregistrationTime))
	}
	r.replicaMutex.Lock()
	defer r.replicaMutex.Unlock()
	r.Replica.Store(catalog.MarkDisrupted(r.Replica.Load(), at))
}
