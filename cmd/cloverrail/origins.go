package main

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/platform"
)

const (
	// originCheckInterval is the longest interval at which this node checks whether its records of
	// streams must be sent to other nodes. A new software version makes it check at once.
	originCheckInterval = time.Second
	// softwareReadInterval is the time between two reads of software versions that this node lacks, and
	// softwareReadTimeout bounds each of them.
	softwareReadInterval = time.Second
	softwareReadTimeout  = 2 * time.Second
	// handOverTimeout bounds the time in which a node that stops sends its records of streams to others.
	handOverTimeout = 200 * time.Millisecond
)

// newOriginHolders returns the client of the nodes that hold the records of streams.
func (process *process) newOriginHolders() *origin.Client {
	known := func() []fleet.Node { return process.registry.OtherNodes() }
	return origin.NewClient(process.peerDirectory.Nodes, known, process.peerClient)
}

// newArchive returns the archive of the streams of this process.
func (process *process) newArchive(incarnation string) *origin.Archive {
	return &origin.Archive{
		Store:       process.store.WithPurpose("origins"),
		Prefix:      platform.PrefixOrigins,
		Incarnation: incarnation,
		Open:        process.openStreams,
		Ledger:      process.origins,
		Required:    process.serverSet.ServicesRequiringOrigins,
		IsRelay:     func() bool { return process.registry.IsRelay() },
		Nodes:       func() int { return process.registry.Nodes() },
		Report:      process.reportOpenStreams(),
		Recorder:    process.recorder,
	}
}

// reportOpenStreams returns a function that sends a report of open streams to a relay, and returns whether one has
// accepted it. Relays that refuse reports still answer for the records that they hold, so that the function has a
// client of its own.
func (process *process) reportOpenStreams() func(ctx context.Context, report []byte) bool {
	client, own := origin.NewClient(nil, nil, process.peerClient), process.settings.PeerAddress
	return func(ctx context.Context, report []byte) bool {
		relays := slices.DeleteFunc(process.registry.RelayAddresses(), func(address string) bool { return address == own })
		return client.Report(ctx, relays, report)
	}
}

// reportBorn asks a server for its start time.
func (process *process) reportBorn(ctx context.Context, server backend.Server) (int64, error) {
	report, err := process.serverClient.Report(ctx, server)
	return report.Born, err
}

// publishOrigins sends records of streams to other nodes once these need them, until the context ends.
func (process *process) publishOrigins(ctx context.Context) {
	var last backend.SoftwareVersions
	lastRequired := map[string]bool{}
	nextRead := time.Time{}
	for ctx.Err() == nil {
		if now := boottime.Now(); process.serverSet.LacksSoftware() && !now.Before(nextRead) {
			process.readMissingSoftware(ctx)
			nextRead = now.Add(softwareReadInterval)
		}
		if published := process.proxy.PublishOrigins(ctx); published > 0 {
			process.recorder.OriginsPublished(published)
		}
		required := process.serverSet.ServicesRequiringOrigins(boottime.Now())
		if len(required) > 0 {
			process.refreshPeers(ctx)
		}
		if !maps.Equal(required, lastRequired) {
			lastRequired = required
			process.archive.Wake()
		}
		if versions, _ := process.serverSet.Software(boottime.Now()); !reflect.DeepEqual(versions, last) {
			last = versions
			process.recorder.SoftwareChanged(versions)
		}
		select {
		case <-process.serverSet.SoftwareAdded():
		case <-time.After(originCheckInterval):
		case <-ctx.Done():
		}
	}
}

// handOverOrigins sends the records of streams that this node holds to other nodes, before it stops.
func (process *process) handOverOrigins(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if streams := process.proxy.HandOverOrigins(ctx); streams > 0 {
		process.recorder.OriginsPublished(streams)
	}
}

// readMissingSoftware reads the software versions that this node lacks: nodes of former builds do not
// pass them on.
func (process *process) readMissingSoftware(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, softwareReadTimeout)
	defer cancel()
	servers, err := process.source.ReadServers(ctx)
	if err == nil {
		process.serverSet.SetSoftware(servers, boottime.Now())
	}
	process.recorder.MissingSoftwareRead(len(servers), err)
}
