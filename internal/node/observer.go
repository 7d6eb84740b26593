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
	reopenInterval = 100 * time.Millisecond
	probeInterval  = 500 * time.Millisecond
	// streamSilenceTimeout is how long an event stream may be silent.
	silenceLimit = 3 * engineapi.HeartbeatInterval
	// downThreshold is the number of consecutive failed streams or probes after
	// which a backend is marked as down.
	missesUntilDown = 2
	// publishTimeout bounds the wait for a node that holds part of the index. A node
	// that missed an update requests a full update later.
	publishTimeout = 300 * time.Millisecond
	// maxFullUpdatesPerRound bounds the nodes that get a full update in one round.
	renewalsAtOnce      = 16
	machineListInterval = time.Second
)

// observer tracks the state of one backend on behalf of the fleet.
type observer struct {
	node    *Node
	backend configuration.Backend
	// events is set if the backend publishes cache events.
	events bool
	reader *eventreader.Reader
	misses int
	// status is the last status that the backend reported.
	status *engineapi.Status
	// nodes lists the live nodes of the last round; pendingFullUpdates holds those
	// that need a full update.
	fleet []string
	renew map[string]bool
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
			if owners.of(item.backend) != node.settings.PeerAddress {
				continue
			}
			name := item.backend.Name + "@" + item.backend.Address
			wanted[name] = true
			if running[name] == nil {
				observing, stop := context.WithCancel(ctx)
				running[name] = stop
				go newObserver(node, item).run(observing)
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
type observed struct {
	backend configuration.Backend
	events  bool
}

func (node *Node) backends() []observed {
	snapshot := node.catalog.snapshot.Load()
	if snapshot == nil {
		return nil
	}
	list := []observed{}
	for _, pool := range snapshot.Declaration.Pools {
		for _, backend := range pool.Engines {
			list = append(list, observed{backend: backend, events: true})
		}
		if store := pool.KeptCache; store != nil {
			list = append(list, observed{backend: configuration.Backend{Name: store.Name, Address: store.Address, Zone: store.Zone}, events: true})
		}
	}
	for _, service := range snapshot.Declaration.Services {
		for _, backend := range service.Servers {
			list = append(list, observed{backend: backend})
		}
	}
	return list
}

func newObserver(node *Node, item observed) *observer {
	return &observer{node: node, backend: item.backend, events: item.events, sequences: map[string]uint64{}, renew: map[string]bool{}, reader: eventreader.New(item.backend.Name)}
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

func (owners ownership) of(backend configuration.Backend) string {
	near := owners.byZone[backend.Zone]
	if len(near) == 0 {
		near = owners.all
	}
	return prefix.Owner(prefix.KeyOf(backend.Name), near)
}

func (observer *observer) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := probeInterval
		if observer.events {
			pause = reopenInterval
			// A stream that ended or failed to open counts as a miss.
			_ = observer.node.engines.Follow(ctx, observer.backend.Address, observer.reader.After(), silenceLimit, func(batch engineapi.EventBatch) bool {
				return observer.take(ctx, batch)
			})
			observer.note(ctx, nil, false)
		} else {
			status, answered := observer.node.probe(ctx, observer.backend)
			observer.note(ctx, &status, answered)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// handleBatch processes one batch and reports whether to continue the stream.
func (observer *observer) take(ctx context.Context, batch engineapi.EventBatch) bool {
	node := observer.node
	observer.note(ctx, batch.Status, true)
	change := observer.reader.Take(batch)
	node.metrics.CacheEvents.Add(float64(change.Events))
	reset := false
	if observer.reader.SnapshotDue(boottime.Now()) {
		if snapshot, err := node.engines.Snapshot(ctx, observer.backend.Address); err == nil {
			node.metrics.CacheGaps.Inc()
			change = observer.reader.Reset(boottime.Now(), snapshot)
			reset = true
		}
	}
	observer.publish(ctx, change, batch.Load)
	// After a snapshot the stream is reopened at the snapshot's sequence number.
	return !reset
}

// recordObservation publishes the changes found by an observation. A nil status
// means that only the load has changed.
func (observer *observer) note(ctx context.Context, status *engineapi.Status, answered bool) {
	if ctx.Err() != nil {
		return
	}
	if !answered {
		if observer.misses++; observer.misses == missesUntilDown {
			observer.node.observe(observer.backend.Name, endpoint.Observation{})
		}
		return
	}
	observer.misses = 0
	if status == nil {
		status = observer.contradict()
	}
	if status != nil {
		observer.status = status
		observer.node.observe(observer.backend.Name, endpoint.Observation{Answered: true, Status: *status})
	}
}

// correctDownRecord returns the last status if the record wrongly marks the backend
// as down, as reported by other nodes, and nil otherwise.
func (observer *observer) contradict() *engineapi.Status {
	known, found := observer.node.table.Record(observer.backend.Name)
	if !found || !known.Down {
		return nil
	}
	return observer.status
}

// observe merges an observation of a backend and publishes any change.
func (node *Node) observe(name string, observation endpoint.Observation) {
	known, found := node.table.Record(name)
	if !found {
		return
	}
	if next, changed := endpoint.Observe(known, observation); changed {
		node.spread(known, next)
	}
}

func (node *Node) spread(known, next endpoint.Record) {
	node.log.Info().Str("backend", next.Name).Bool("down", next.Down).Bool("leaving", next.Leaving).
		Bool("restarted", known.Epoch != "" && known.Epoch != next.Epoch).Msg("backend state changed")
	node.table.Merge(next)
	node.gossip.offer(next)
}

// probe queries the status of a backend. A plain server need not implement the
// status endpoint: any response shows that it is up.
func (node *Node) probe(ctx context.Context, backend configuration.Backend) (engineapi.Status, bool) {
	status, err := node.engines.Status(ctx, backend.Address)
	var rejected *engineapi.ErrRejected
	return status, err == nil || errors.As(err, &rejected)
}
