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
	// watchersPerZone is the number of nodes per zone that watch the key-value
	// service. All others get changes from their peers.
	watchersPerZone = 2
	rankInterval    = time.Second
	// largeChangeParts is a number of new parts above that of a change of single
	// tenants.
	manyParts  = 16
	watchPause = time.Second
	// rereadInterval is how often a watcher rereads the key in addition to its
	// watch.
	rereadInterval = 10 * time.Second
)

// activeConfig holds the active configuration.
type catalog struct {
	store   *configstore.Store
	service *kvservice.Client
	floor   int64
	// beforeActivate is called with a new snapshot before requests see it,
	// afterActivate once they do.
	prepare func(*configuration.Snapshot)
	adopted func(*configuration.Snapshot)
	log     zerolog.Logger
	metrics *metrics.Set

	mutex    sync.Mutex
	version  atomic.Pointer[configstore.Version]
	snapshot atomic.Pointer[configuration.Snapshot]
}

// activate activates a version if its revision is higher than the active one.
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
		catalog.metrics.ConfigurationErr.Inc()
		catalog.log.Error().Err(err).Int64("revision", version.Revision).Msg("configuration cannot be compiled")
		return false
	}
	catalog.prepare(snapshot)
	catalog.version.Store(version)
	catalog.snapshot.Store(snapshot)
	catalog.metrics.Revision.Set(float64(version.Revision))
	catalog.log.Info().Int64("revision", version.Revision).Str("change", version.Manifest.ChangeID).Msg("configuration activated")
	catalog.adopted(snapshot)
	if fresh > manyParts {
		// Decoding a whole configuration leaves garbage of several times its size,
		// which the runtime would hold for minutes.
		go debug.FreeOSMemory()
	}
	return true
}

// refresh reads the current version from the key-value service and activates it.
func (catalog *catalog) read(ctx context.Context) error {
	version, err := catalog.store.Read(ctx, catalog.version.Load())
	if err != nil {
		return err
	}
	catalog.adopt(version)
	return nil
}

// watch activates changes in the key-value service until the context ends.
func (catalog *catalog) watch(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		if catalog.read(ctx) == nil {
			bounded, cancel := context.WithTimeout(ctx, rereadInterval)
			// The error is ignored, since the service is read again in any case.
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

// watchWhileSelected watches the configuration and the machine list while this
// node is among the first of its zone. It needs no lease, since a surplus watcher
// only costs one more watch.
func (node *Node) watchWhileRanked(ctx context.Context) {
	// Before the first synchronization with peers, every node would consider itself
	// the first of its zone.
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

// fetchConfiguration fetches and activates the configuration of a peer that has a
// higher revision.
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

// serveConfiguration handles a peer's fetch.
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
