package node

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/endpoint"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/eventreader"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
	"github.com/cloverrail/cloverrail/internal/wire"
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
		for _, item := range node.backends() {
			if node.ownerOf(item.backend) != node.settings.PeerAddress {
				continue
			}
			name := item.backend.Name + "@" + item.backend.Address
			wanted[name] = true
			if running[name] == nil {
				observing, stop := context.WithCancel(ctx)
				running[name] = stop
				go item.run(observing)
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

func (node *Node) backends() []*observer {
	snapshot := node.catalog.snapshot.Load()
	if snapshot == nil {
		return nil
	}
	observers := []*observer{}
	for _, pool := range snapshot.Declaration.Pools {
		for _, backend := range pool.Engines {
			observers = append(observers, newObserver(node, backend, true))
		}
		if store := pool.KeptCache; store != nil {
			observers = append(observers, newObserver(node, configuration.Backend{Name: store.Name, Address: store.Address, Zone: store.Zone}, true))
		}
	}
	for _, service := range snapshot.Declaration.Services {
		for _, backend := range service.Servers {
			observers = append(observers, newObserver(node, backend, false))
		}
	}
	return observers
}

func newObserver(node *Node, backend configuration.Backend, events bool) *observer {
	return &observer{node: node, backend: backend, events: events, sequences: map[string]uint64{}, renew: map[string]bool{}, reader: eventreader.New(backend.Name)}
}

func (node *Node) ownerOf(backend configuration.Backend) string {
	near := []string{}
	all := []string{}
	for _, member := range node.gossip.members() {
		all = append(all, member.Address)
		if member.Zone == backend.Zone {
			near = append(near, member.Address)
		}
	}
	if len(near) == 0 {
		near = all
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
	if observer.reader.SnapshotDue(time.Now()) {
		if snapshot, err := node.engines.Snapshot(ctx, observer.backend.Address); err == nil {
			node.metrics.CacheGaps.Inc()
			change = observer.reader.Reset(time.Now(), snapshot)
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

// publish sends a change to the nodes that keep it, each its own part. When the
// fleet has changed, so has the part of many nodes: they get all of theirs again,
// a few at a time.
func (observer *observer) publish(ctx context.Context, change eventreader.Change, load engineapi.Load) {
	addresses := observer.node.gossip.addresses()
	observer.noteFleet(addresses)
	replicated := observer.node.replicated(len(addresses))
	parts := split(change, addresses, replicated)
	if renewed := observer.takeRenewals(); len(renewed) > 0 {
		whole := split(observer.reader.All(), addresses, replicated)
		for _, address := range renewed {
			parts[address] = whole[address].Cleared()
		}
	}
	updates := map[string]wire.IndexUpdate{}
	for address, part := range parts {
		observer.sequences[address]++
		updates[address] = observer.update(address, part, load)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var mutex sync.Mutex
	var done sync.WaitGroup
	for address, update := range updates {
		done.Go(func() {
			if answer, err := observer.send(ctx, address, update); err == nil && answer.NeedAll {
				// The receiver missed something, or has just started.
				mutex.Lock()
				defer mutex.Unlock()
				observer.renew[address] = true
			}
		})
	}
	done.Wait()
}

// noteFleet marks all nodes for renewal when the fleet is another than before.
func (observer *observer) noteFleet(addresses []string) {
	if slices.Equal(addresses, observer.fleet) {
		return
	}
	observer.fleet = addresses
	observer.renew = map[string]bool{}
	for _, address := range addresses {
		observer.renew[address] = true
	}
}

// takeRenewals picks the nodes that get all of their part with this update.
func (observer *observer) takeRenewals() []string {
	picked := []string{}
	for address := range observer.renew {
		if len(picked) == renewalsAtOnce {
			break
		}
		picked = append(picked, address)
		delete(observer.renew, address)
	}
	return picked
}

func (observer *observer) update(address string, part eventreader.Change, load engineapi.Load) wire.IndexUpdate {
	update := prefixindex.Update{Holder: observer.reader.Holder(), Clear: part.Clear}
	for _, item := range part.Stored {
		update.Stored = append(update.Stored, item.Block)
	}
	for _, item := range part.Evicted {
		update.Evicted = append(update.Evicted, item.Block)
	}
	return wire.IndexUpdate{Reader: observer.node.settings.PeerAddress, Sequence: observer.sequences[address], Update: update, Load: load}
}

func (observer *observer) send(ctx context.Context, address string, update wire.IndexUpdate) (wire.IndexAnswer, error) {
	if address == observer.node.settings.PeerAddress {
		return observer.node.applyUpdate(update), nil
	}
	return call[wire.IndexAnswer](ctx, observer.node, address, update)
}

// split deals a change out to the nodes that keep it. In a small fleet each
// node gets all of it, and a load report even when nothing changed; in a large
// one each chain's anchors go to its home.
func split(change eventreader.Change, addresses []string, replicated bool) map[string]eventreader.Change {
	parts := map[string]eventreader.Change{}
	if replicated {
		for _, address := range addresses {
			parts[address] = change
		}
		return parts
	}
	if change.Clear {
		for _, address := range addresses {
			parts[address] = eventreader.Change{Clear: true}
		}
	}
	for _, item := range change.Stored {
		if prefixindex.IsAnchor(item.Depth) {
			owner := prefix.Owner(item.Root, addresses)
			part := parts[owner]
			part.Stored = append(part.Stored, item)
			parts[owner] = part
		}
	}
	for _, item := range change.Evicted {
		if prefixindex.IsAnchor(item.Depth) {
			owner := prefix.Owner(item.Root, addresses)
			part := parts[owner]
			part.Evicted = append(part.Evicted, item)
			parts[owner] = part
		}
	}
	return parts
}

// probe asks a back end for its account. A plain service need not have one: any
// answer shows that it lives.
func (node *Node) probe(ctx context.Context, backend configuration.Backend) (engineapi.Status, bool) {
	status, err := node.engines.Status(ctx, backend.Address)
	var rejected *engineapi.ErrRejected
	return status, err == nil || errors.As(err, &rejected)
}

// machine is one entry of the platform's list.
type machine struct {
	Name  string `json:"name"`
	State string `json:"state"`
	// Epoch is the incarnation that the entry speaks of.
	Epoch string `json:"epoch"`
}

// machineLeaving is the state of machines that will go.
const machineLeaving = "leaving"

// followMachineList takes leaving machines from the platform's list. The list
// lags: it may speak of an incarnation that is gone.
func (node *Node) followMachineList(ctx context.Context) {
	if node.settings.MachineListAddress == "" {
		return
	}
	client := &http.Client{Timeout: machineListInterval}
	ticker := time.NewTicker(machineListInterval)
	defer ticker.Stop()
	for {
		var machines []machine
		_, err := sling.New().Client(client).Get("http://"+node.settings.MachineListAddress+"/machines").Receive(&machines, nil)
		if err == nil {
			node.takeMachineList(machines)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (node *Node) takeMachineList(machines []machine) {
	for _, entry := range machines {
		known, found := node.table.Record(entry.Name)
		if !found || entry.State != machineLeaving || entry.Epoch != known.Epoch {
			continue
		}
		if next, changed := endpoint.Leave(known); changed {
			node.spread(known, next)
		}
	}
}
