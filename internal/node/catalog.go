package node

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/configstore"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/kvservice"
	"github.com/cloverrail/cloverrail/internal/metrics"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/wire"
)

const (
	// watchersPerZone nodes of each zone watch the key-value service; all others
	// hear from their peers.
	watchersPerZone = 2
	rankInterval    = time.Second
	// manyParts is more than a change of single tenants brings.
	manyParts  = 16
	watchPause = time.Second
	// rereadInterval is how often a watcher reads the key besides its watch.
	rereadInterval = 10 * time.Second
)

// catalog keeps the configuration in force.
type catalog struct {
	store   *configstore.Store
	service *kvservice.Client
	floor   int64
	// prepare is called with a new snapshot before it is in force, adopted after.
	prepare func(*configuration.Snapshot)
	adopted func(*configuration.Snapshot)
	log     zerolog.Logger
	metrics *metrics.Set

	mutex    sync.Mutex
	version  atomic.Pointer[configstore.Version]
	snapshot atomic.Pointer[configuration.Snapshot]
}

// adopt puts a version in force if it is higher than the one in force.
func (catalog *catalog) adopt(version *configstore.Version) bool {
	catalog.mutex.Lock()
	defer catalog.mutex.Unlock()
	current := catalog.version.Load()
	if version == nil || version.Revision < catalog.floor || (current != nil && version.Revision <= current.Revision) {
		return false
	}
	fresh := 0
	for index := range version.Parts {
		if len(version.Parts[index].Data) > 0 {
			fresh++
		}
	}
	snapshot, err := version.Compile()
	if err != nil {
		catalog.metrics.ConfigurationErrors.Inc()
		catalog.log.Error().Err(err).Int64("revision", version.Revision).Msg("configuration cannot be read")
		return false
	}
	catalog.prepare(snapshot)
	catalog.version.Store(version)
	catalog.snapshot.Store(snapshot)
	catalog.metrics.Revision.Set(float64(version.Revision))
	catalog.log.Info().Int64("revision", version.Revision).Str("change", version.Manifest.ChangeID).Msg("configuration in force")
	catalog.adopted(snapshot)
	if fresh > manyParts {
		// Reading a whole configuration leaves several times its size as garbage,
		// which the runtime would keep for minutes.
		go debug.FreeOSMemory()
	}
	return true
}

// read fetches the version in force from the service and adopts it.
func (catalog *catalog) read(ctx context.Context) error {
	version, err := catalog.store.Read(ctx, catalog.version.Load())
	if err != nil {
		return err
	}
	catalog.adopt(version)
	return nil
}

// watch follows the service until the context ends.
func (catalog *catalog) watch(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		if catalog.read(ctx) == nil {
			bounded, cancel := context.WithTimeout(ctx, rereadInterval)
			// The end of a watch is no news: the service is read again anyhow.
			_ = catalog.service.Watch(bounded, configstore.ManifestKey, catalog.revision()+1, func(kvservice.KeyValue) {
				_ = catalog.read(ctx)
			})
			expired := bounded.Err() != nil
			cancel()
			if expired {
				continue
			}
		}
		select {
		case <-time.After(retry.Jitter(watchPause, random)):
		case <-ctx.Done():
		}
	}
}

func (catalog *catalog) revision() int64 {
	if version := catalog.version.Load(); version != nil {
		return version.Revision
	}
	return 0
}

// watchWhileRanked watches for as long as this node is among the first of its
// zone. No lease is needed: a watcher too many costs one watch.
func (node *Node) watchWhileRanked(ctx context.Context) {
	// Before the first exchange with peers every node would take itself for the
	// first of its zone.
	select {
	case <-node.met:
	case <-ctx.Done():
		return
	}
	var stop context.CancelFunc
	for ctx.Err() == nil {
		ranked := node.rankInZone() < watchersPerZone
		switch {
		case ranked && stop == nil:
			var watching context.Context
			watching, stop = context.WithCancel(ctx)
			go node.catalog.watch(watching)
			go node.followMachineList(watching)
		case !ranked && stop != nil:
			stop()
			stop = nil
		}
		select {
		case <-time.After(rankInterval):
		case <-ctx.Done():
		}
	}
	if stop != nil {
		stop()
	}
}

func (node *Node) rankInZone() int {
	zone := []string{}
	for _, member := range node.gossip.members() {
		if member.Zone == node.settings.Zone {
			zone = append(zone, member.Address)
		}
	}
	sort.Strings(zone)
	for rank, address := range zone {
		if address == node.settings.PeerAddress {
			return rank
		}
	}
	return len(zone)
}

// fetch takes the configuration of a peer that has a higher revision.
func (node *Node) fetch(ctx context.Context, address string) {
	request := wire.ConfigurationRequest{}
	known := node.catalog.version.Load()
	held := configstore.HeldParts(known)
	for name := range held {
		request.Held = append(request.Held, name)
	}
	answer, err := call[wire.ConfigurationAnswer](ctx, node, address, request)
	if err != nil || answer.Revision <= node.catalog.revision() {
		return
	}
	for _, part := range answer.Parts {
		held[configstore.PartName{Name: part.Name, Digest: part.Digest}] = part
	}
	version := &configstore.Version{Revision: answer.Revision, Manifest: answer.Manifest}
	for _, name := range answer.Manifest.Parts {
		part, found := held[name]
		if !found {
			return
		}
		version.Parts = append(version.Parts, part)
	}
	node.catalog.adopt(version)
}

// serveConfiguration answers a peer's fetch.
func (node *Node) serveConfiguration(request wire.ConfigurationRequest) wire.ConfigurationAnswer {
	version := node.catalog.version.Load()
	if version == nil {
		return wire.ConfigurationAnswer{}
	}
	held := map[configstore.PartName]bool{}
	for _, name := range request.Held {
		held[name] = true
	}
	answer := wire.ConfigurationAnswer{Revision: version.Revision, Manifest: version.Manifest}
	for _, part := range version.Parts {
		if held[configstore.PartName{Name: part.Name, Digest: part.Digest}] {
			continue
		}
		data, err := part.Bytes()
		if err != nil {
			return wire.ConfigurationAnswer{}
		}
		answer.Parts = append(answer.Parts, configstore.Part{Name: part.Name, Digest: part.Digest, Data: data})
	}
	return answer
}
