package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/endpoint"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/eventreader"
	"github.com/cloverrail/cloverrail/internal/membership"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

const (
	// reopenDelay is the delay between event streams of one engine, probeInterval
	// that between probes of one plain server.
	reopenDelay   = 100 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	// streamSilenceTimeout is how long an event stream may be silent.
	streamSilenceTimeout = 3 * engineapi.HeartbeatInterval
	// downThreshold is the number of consecutive failed streams or probes after
	// which a backend is marked as down.
	downThreshold = 2
	// publishTimeout bounds the wait for a node that holds part of the index. A node
	// that missed an update requests a full update later.
	publishTimeout = 300 * time.Millisecond
	// maxFullUpdatesPerRound bounds the nodes that get a full update in one round.
	maxFullUpdatesPerRound = 16
	machineListInterval    = time.Second
)

// observer tracks the state of one backend on behalf of the fleet.
type observer struct {
	node    *Node
	backend configuration.Backend
	// events is set if the backend publishes cache events.
	events            bool
	reader            *eventreader.Reader
	consecutiveMisses int
	// status is the last status that the backend reported.
	status *engineapi.Status
	// nodes lists the live nodes of the last round; pendingFullUpdates holds those
	// that need a full update.
	nodes              []string
	pendingFullUpdates map[string]bool
	// sequences holds the number of updates sent to each node.
	sequences map[string]uint64
}

// observeOwned runs an observer for each backend that this node owns; see
// ownership.
func (node *Node) observeOwned(ctx context.Context) {
	running := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		wanted := map[string]bool{}
		owners := newOwnership(node.gossip.members())
		for _, item := range node.backends() {
			if owners.ownerOf(item.backend) != node.settings.PeerAddress {
				continue
			}
			name := item.backend.Name + "@" + item.backend.Address
			wanted[name] = true
			if running[name] == nil {
				observerCtx, stop := context.WithCancel(ctx)
				running[name] = stop
				go newObserver(node, item).run(observerCtx)
			}
		}
		for name, stop := range running {
			if !wanted[name] {
				stop()
				delete(running, name)
			}
		}
		select {
		case <-time.After(rankInterval / 2):
		case <-ctx.Done():
		}
	}
}

// observedBackend is a backend to observe; events is set if it publishes cache
// events.
type observedBackend struct {
	backend configuration.Backend
	events  bool
}

func (node *Node) backends() []observedBackend {
	snapshot := node.activeConfig.snapshot.Load()
	if snapshot == nil {
		return nil
	}
	list := []observedBackend{}
	for _, pool := range snapshot.Declaration.Pools {
		for _, backend := range pool.Engines {
			list = append(list, observedBackend{backend: backend, events: true})
		}
		if store := pool.PrefixStore; store != nil {
			list = append(list, observedBackend{backend: configuration.Backend{Name: store.Name, Address: store.Address, Zone: store.Zone}, events: true})
		}
	}
	for _, service := range snapshot.Declaration.Services {
		for _, backend := range service.Servers {
			list = append(list, observedBackend{backend: backend})
		}
	}
	return list
}

func newObserver(node *Node, item observedBackend) *observer {
	return &observer{node: node, backend: item.backend, events: item.events, sequences: map[string]uint64{}, pendingFullUpdates: map[string]bool{}, reader: eventreader.New(item.backend.Name)}
}

// ownership assigns each backend to one node by rendezvous hashing, among the nodes
// of the backend's zone if there are any.
type ownership struct {
	all    []string
	byZone map[string][]string
}

func newOwnership(members []membership.Member) ownership {
	owners := ownership{byZone: map[string][]string{}}
	for _, member := range members {
		owners.all = append(owners.all, member.Address)
		owners.byZone[member.Zone] = append(owners.byZone[member.Zone], member.Address)
	}
	return owners
}

func (owners ownership) ownerOf(backend configuration.Backend) string {
	candidates := owners.byZone[backend.Zone]
	if len(candidates) == 0 {
		candidates = owners.all
	}
	return prefix.Owner(prefix.HashName(backend.Name), candidates)
}

func (observer *observer) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := probeInterval
		if observer.events {
			delay = reopenDelay
			// A stream that ended or failed to open counts as a miss.
			_ = observer.node.engines.WatchEvents(ctx, observer.backend.Address, observer.reader.LastSequence(), streamSilenceTimeout, func(batch engineapi.EventBatch) bool {
				return observer.handleBatch(ctx, batch)
			})
			observer.recordObservation(ctx, nil, false)
		} else {
			status, responded := observer.node.probe(ctx, observer.backend)
			observer.recordObservation(ctx, &status, responded)
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// handleBatch processes one batch and reports whether to continue the stream.
func (observer *observer) handleBatch(ctx context.Context, batch engineapi.EventBatch) bool {
	node := observer.node
	observer.recordObservation(ctx, batch.Status, true)
	change := observer.reader.ApplyBatch(batch)
	node.metrics.CacheEvents.Add(float64(change.Events))
	reset := false
	if observer.reader.SnapshotDue(boottime.Now()) {
		if snapshot, err := node.engines.Snapshot(ctx, observer.backend.Address); err == nil {
			node.metrics.CacheGaps.Inc()
			change = observer.reader.ApplySnapshot(boottime.Now(), snapshot)
			reset = true
		}
	}
	observer.publish(ctx, change, batch.Load)
	// After a snapshot the stream is reopened at the snapshot's sequence number.
	return !reset
}

// recordObservation publishes the changes found by an observation. A nil status
// means that only the load has changed.
func (observer *observer) recordObservation(ctx context.Context, status *engineapi.Status, responded bool) {
	if ctx.Err() != nil {
		return
	}
	if !responded {
		if observer.consecutiveMisses++; observer.consecutiveMisses == downThreshold {
			observer.node.observe(observer.backend.Name, endpoint.Observation{})
		}
		return
	}
	observer.consecutiveMisses = 0
	if status == nil {
		status = observer.correctDownRecord()
	}
	if status != nil {
		observer.status = status
		observer.node.observe(observer.backend.Name, endpoint.Observation{Responded: true, Status: *status})
	}
}

// correctDownRecord returns the last status if the record wrongly marks the backend
// as down, as reported by other nodes, and nil otherwise.
func (observer *observer) correctDownRecord() *engineapi.Status {
	record, found := observer.node.table.Record(observer.backend.Name)
	if !found || !record.Down {
		return nil
	}
	return observer.status
}

// observe merges an observation of a backend and publishes any change.
func (node *Node) observe(name string, observation endpoint.Observation) {
	previous, found := node.table.Record(name)
	if !found {
		return
	}
	if next, changed := endpoint.Observe(previous, observation); changed {
		node.publishRecord(previous, next)
	}
}

func (node *Node) publishRecord(previous, next endpoint.Record) {
	node.log.Info().Str("backend", next.Name).Bool("down", next.Down).Bool("leaving", next.Leaving).
		Bool("restarted", previous.Epoch != "" && previous.Epoch != next.Epoch).Msg("backend state changed")
	node.table.Merge(next)
	node.gossip.broadcastRecord(next)
}

// probe queries the status of a backend. A plain server need not implement the
// status endpoint: any response shows that it is up.
func (node *Node) probe(ctx context.Context, backend configuration.Backend) (engineapi.Status, bool) {
	status, err := node.engines.Status(ctx, backend.Address)
	var rejected *engineapi.ErrRejected
	return status, err == nil || errors.As(err, &rejected)
}
