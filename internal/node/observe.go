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
	// reopenInterval is the pause between streams of one engine, probeInterval
	// that between probes of one plain server.
	reopenInterval = 100 * time.Millisecond
	probeInterval  = 500 * time.Millisecond
	// silenceLimit is how long a stream of events may be silent.
	silenceLimit = 3 * engineapi.HeartbeatInterval
	// missesUntilDown streams or probes in a row without an answer mark a back end
	// as down.
	missesUntilDown = 2
	// publishTimeout bounds the wait for a node that keeps part of the index; one
	// that missed an update asks for all later.
	publishTimeout = 300 * time.Millisecond
	// renewalsAtOnce bounds the nodes that get all of their part in one update.
	renewalsAtOnce      = 16
	machineListInterval = time.Second
)

// observer follows one back end for the fleet.
type observer struct {
	node    *Node
	backend configuration.Backend
	// events says that the back end publishes cache events.
	events bool
	reader *eventreader.Reader
	misses int
	// status is what the back end last said of itself.
	status *engineapi.Status
	// fleet is the nodes as last seen; renew are those that get all of their part.
	fleet []string
	renew map[string]bool
	// sequences counts the updates sent to each node.
	sequences map[string]uint64
}

// observeOwned runs an observer for each back end that this node owns. One node
// owns each back end: the first by rendezvous, in the back end's zone if there
// are nodes in it.
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

// observed is a back end to observe; events says that it publishes cache events.
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
		if store := pool.PrefixStore; store != nil {
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

// ownership deals back ends out to nodes: by rendezvous, among the nodes of the
// back end's zone if there are any.
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
			// The end of a stream, and a stream that did not open, count as a miss.
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

// take follows one batch and reports whether the stream shall go on.
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
	// After a snapshot the stream is opened again behind it.
	return !reset
}

// note spreads what an observation changed. A nil status says that nothing but
// the load has changed.
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

// contradict returns the last status when others hold the back end for down.
func (observer *observer) contradict() *engineapi.Status {
	known, found := observer.node.table.Record(observer.backend.Name)
	if !found || !known.Down {
		return nil
	}
	return observer.status
}

// observe merges one look at a back end and tells the fleet what is new.
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
		Bool("restarted", known.Epoch != "" && known.Epoch != next.Epoch).Msg("back end changed")
	node.table.Merge(next)
	node.gossip.offer(next)
}

// probe asks a back end for its account. A plain service need not have one: any
// answer shows that it lives.
func (node *Node) probe(ctx context.Context, backend configuration.Backend) (engineapi.Status, bool) {
	status, err := node.engines.Status(ctx, backend.Address)
	var rejected *engineapi.ErrRejected
	return status, err == nil || errors.As(err, &rejected)
}
