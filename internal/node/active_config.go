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
	// rankInterval is how often a node checks, by the live members, whether it is one of
	// the watchers.
	rankInterval = time.Second
	// largeChangeParts is the number of new parts above which the memory used for
	// decoding is returned to the operating system. Changes of single tenants stay below
	// it.
	largeChangeParts = 16
	watchRetryDelay  = time.Second
	// rereadInterval is how often a watcher rereads the key in addition to its
	// watch.
	rereadInterval = 10 * time.Second
)

// activeConfig holds the active configuration.
type activeConfig struct {
	store       *configstore.Store
	service     *kvservice.Client
	minRevision int64
	// beforeActivate is called with a new snapshot before requests see it,
	// afterActivate once they do.
	beforeActivate func(*configuration.Snapshot)
	afterActivate  func(*configuration.Snapshot)
	log            zerolog.Logger
	metrics        *metrics.Set

	mutex    sync.Mutex
	version  atomic.Pointer[configstore.Version]
	snapshot atomic.Pointer[configuration.Snapshot]
}

// activate activates a version if its revision is higher than the active one.
func (activeConfig *activeConfig) activate(version *configstore.Version) bool {
	activeConfig.mutex.Lock()
	defer activeConfig.mutex.Unlock()
	current := activeConfig.version.Load()
	if version == nil || version.Revision < activeConfig.minRevision || (current != nil && version.Revision <= current.Revision) {
		return false
	}
	newParts := 0
	for index := range version.Parts {
		if len(version.Parts[index].Data) > 0 {
			newParts++
		}
	}
	snapshot, err := version.Compile()
	if err != nil {
		activeConfig.metrics.ConfigurationErrors.Inc()
		activeConfig.log.Error().Err(err).Int64("revision", version.Revision).Msg("configuration cannot be compiled; the previous one stays active")
		return false
	}
	activeConfig.beforeActivate(snapshot)
	activeConfig.version.Store(version)
	activeConfig.snapshot.Store(snapshot)
	activeConfig.metrics.Revision.Set(float64(version.Revision))
	activeConfig.log.Info().Int64("revision", version.Revision).Str("change", version.Manifest.ChangeID).Msg("configuration activated")
	activeConfig.afterActivate(snapshot)
	if newParts > largeChangeParts {
		// Decoding a whole configuration leaves garbage of several times its size,
		// which the runtime would hold for minutes.
		go debug.FreeOSMemory()
	}
	return true
}

// refresh reads the current version from the key-value service and activates it.
func (activeConfig *activeConfig) refresh(ctx context.Context) error {
	version, err := activeConfig.store.Read(ctx, activeConfig.version.Load())
	if err != nil {
		return err
	}
	activeConfig.activate(version)
	return nil
}

// watch activates changes in the key-value service until the context ends.
func (activeConfig *activeConfig) watch(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		if activeConfig.refresh(ctx) == nil {
			watchCtx, cancel := context.WithTimeout(ctx, rereadInterval)
			// The error is ignored, since the service is read again in any case.
			_ = activeConfig.service.Watch(watchCtx, configstore.ManifestKey, activeConfig.revision()+1, func(kvservice.KeyValue) {
				_ = activeConfig.refresh(ctx)
			})
			expired := watchCtx.Err() != nil
			cancel()
			if expired {
				continue
			}
		}
		select {
		case <-time.After(retry.Jitter(watchRetryDelay, random)):
		case <-ctx.Done():
		}
	}
}

func (activeConfig *activeConfig) revision() int64 {
	if version := activeConfig.version.Load(); version != nil {
		return version.Revision
	}
	return 0
}

// watchWhileSelected watches the configuration and the machine list while this
// node is among the first of its zone. It needs no lease, since a surplus watcher
// only costs one more watch.
func (node *Node) watchWhileSelected(ctx context.Context) {
	// Before the first synchronization with peers, every node would consider itself
	// the first of its zone.
	select {
	case <-node.synced:
	case <-ctx.Done():
		return
	}
	var stop context.CancelFunc
	for ctx.Err() == nil {
		selected := node.rankInZone() < watchersPerZone
		switch {
		case selected && stop == nil:
			var watchCtx context.Context
			watchCtx, stop = context.WithCancel(ctx)
			go node.activeConfig.watch(watchCtx)
			go node.pollMachineList(watchCtx)
		case !selected && stop != nil:
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
func (node *Node) fetchConfiguration(ctx context.Context, address string) {
	request := wire.ConfigurationRequest{}
	current := node.activeConfig.version.Load()
	parts := configstore.PartsByName(current)
	for name := range parts {
		request.Held = append(request.Held, name)
	}
	response, err := callPeer[wire.ConfigurationResponse](ctx, node, address, request)
	if err != nil || response.Revision <= node.activeConfig.revision() {
		return
	}
	for _, part := range response.Parts {
		parts[configstore.PartName{Name: part.Name, Digest: part.Digest}] = part
	}
	version := &configstore.Version{Revision: response.Revision, Manifest: response.Manifest}
	for _, name := range response.Manifest.Parts {
		part, found := parts[name]
		if !found {
			return
		}
		version.Parts = append(version.Parts, part)
	}
	node.activeConfig.activate(version)
}

// serveConfiguration handles a peer's fetch.
func (node *Node) serveConfiguration(request wire.ConfigurationRequest) wire.ConfigurationResponse {
	version := node.activeConfig.version.Load()
	if version == nil {
		return wire.ConfigurationResponse{}
	}
	held := map[configstore.PartName]bool{}
	for _, name := range request.Held {
		held[name] = true
	}
	response := wire.ConfigurationResponse{Revision: version.Revision, Manifest: version.Manifest}
	for _, part := range version.Parts {
		if held[configstore.PartName{Name: part.Name, Digest: part.Digest}] {
			continue
		}
		data, err := part.Bytes()
		if err != nil {
			return wire.ConfigurationResponse{}
		}
		response.Parts = append(response.Parts, configstore.Part{Name: part.Name, Digest: part.Digest, Data: data})
	}
	return response
}
