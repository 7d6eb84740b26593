package main

import (
	"context"
	"log"
	"math/rand/v2"
	"net/http"
	"os"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/connlimit"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/forward"
	"github.com/cloverrail/cloverrail/internal/inbound"
	"github.com/cloverrail/cloverrail/internal/lease"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/internal/outbound"
	"github.com/cloverrail/cloverrail/internal/overload"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/proxy"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/reflector"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/retryloan"
	"github.com/cloverrail/cloverrail/internal/rollout"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/internal/telemetry"
	"github.com/cloverrail/cloverrail/internal/workshare"
	"github.com/cloverrail/cloverrail/platform"
)

const (
	// leaseFraction is the TTL of the rollout leader's lease as a fraction of the handover delay
	// between two leaders.
	leaseFraction = 0.65
	// campaignDelayPerRank staggers leadership campaigns by rank, so that the first reader, which
	// the relays poll, comes first.
	campaignDelayPerRank = 50 * time.Millisecond
	// entryExpiryHeartbeats is the number of heartbeats after which the entry of a crashed server
	// is certainly gone from this node's list: three missed ones, one sent just before the crash,
	// and one for the list to reach this node.
	entryExpiryHeartbeats = 5
	// writeDelayPerRank is how long a node waits, for each node of a better rank, before it writes
	// a quarantine entry that such a node should have written. It exceeds the age of a store read.
	writeDelayPerRank = time.Second

	// shareInterval is the interval at which the shares of the fleet's bounds follow its size.
	shareInterval = 500 * time.Millisecond

	// engineIdleLimit is how long after its last use an engine's cache is watched if there are more
	// engines than can be polled in time.
	engineIdleLimit = 20 * time.Second

	connectTimeout = 300 * time.Millisecond
	// peerTimeout bounds each call to another node; most callers set shorter ones.
	peerTimeout = 10 * time.Second
	// silenceTolerance is how long a server or a node may acknowledge nothing before connections to it
	// may break. Sound ones are silent for a second or so.
	silenceTolerance = 1500 * time.Millisecond
)

// init sets the format of times in logs, which processes in the same test read while others start.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// process holds the components of a running proxy.
type process struct {
	settings  settings.Proxy
	log       zerolog.Logger
	logWriter *telemetry.Writer
	replica   *catalog.AtomicReplica
	serverSet *backend.Set
	store     *platform.Store
	eras      *coordination.EraTracker
	// outage tracks whether the store answers.
	outage           *coordination.Outage
	source           *platform.Source
	serverClient     *platform.ServerClient
	metrics          *telemetry.Metrics
	recorder         *telemetry.Recorder
	clients          *telemetry.ClientRecorder
	retryBudgets     *proxy.RetryBudgets
	cacheLedger      *residency.Ledger
	tenantLimiter    *quota.Limiter
	serverLimits     *quota.ServerLimits
	serverRooms      *quota.ServerRooms
	overload         *overload.Services
	quarantineLedger *quarantine.Ledger
	capacity         *capacity.Estimator
	proxy            *proxy.Proxy
	forwarder        *forward.Client
	// peerDirectory lists the nodes through which attempts may be sent.
	peerDirectory *forward.Directory
	// origins records what began each stream.
	origins *origin.Ledger
	// openStreams tracks the streams of this node, and archive keeps their records in the store.
	openStreams *origin.OpenStreams
	archive     *origin.Archive
	// running holds the attempts that servers may still work on although their callers have left.
	running  *origin.RunningAttempts
	registry *fleet.Registry
	// sharedSize is the number of nodes by which the bounds of the fleet are divided.
	sharedSize  *fleet.SharedSize
	feed        *reflector.Feed
	workReports *workshare.Aggregator
	// peerClient calls other nodes.
	peerClient *http.Client
	// quarantinePersister writes quarantined requests to the store.
	quarantinePersister *quarantine.Persister
	// memory bounds the bytes that requests hold, headMemory those of their heads, messageMemory those of messages of other
	// nodes, and responseMemory those that servers' responses do.
	memory         *admission.MemoryBudget
	headMemory     *admission.MemoryBudget
	messageMemory  *admission.MemoryBudget
	responseMemory *admission.MemoryBudget
	// peerGate admits the connections of other nodes.
	peerGate *connlimit.Gate
	// reflector reads the store, or polls a node that does.
	reflector *reflector.Reflector
	stopping  atomic.Bool
}

func newProcess(config settings.Proxy) (*process, error) {
	level, err := zerolog.ParseLevel(config.LogLevel)
	if err != nil {
		return nil, errors.Trace(err)
	}
	process := &process{settings: config, replica: &catalog.AtomicReplica{}, serverSet: backend.NewSet(), sharedSize: &fleet.SharedSize{}, peerClient: outbound.NewClient(peerTimeout)}
	zerolog.SetGlobalLevel(level)
	process.logWriter = telemetry.NewWriter(os.Stdout)
	process.log = zerolog.New(process.logWriter).With().Timestamp().Str("node", config.Name).Logger()
	process.metrics = telemetry.NewMetrics(process.replica)
	process.recorder = telemetry.NewRecorder(process.log, process.metrics)
	process.clients = telemetry.NewClientRecorder(process.recorder)
	log.SetFlags(0)
	log.SetOutput(telemetry.NewLibraryRecorder(process.recorder))
	process.peerGate = connlimit.NewGate(connlimit.InternalLimitFor(connlimit.Descriptors(config.Descriptors), config.MemoryBytes()))
	process.memory = admission.NewMemoryBudget(config.MemoryBytes())
	process.headMemory = process.memory.Heads()
	process.messageMemory = process.memory.Messages()
	process.responseMemory = admission.NewResponseBudget(config.MemoryBytes())
	process.eras = &coordination.EraTracker{OnChange: process.handleRestore, OnIgnored: process.recorder.EraIgnored}
	process.outage = &coordination.Outage{}
	process.store = platform.NewStore(config.StoreAddress, process.recorder.StoreCall, process.eras, process.outage)
	surplus := telemetry.NewSurplusRecorder(process.recorder)
	process.serverClient = platform.NewServerClient(platform.ConnectionOptions{
		ConnectTimeout:   connectTimeout,
		SilenceTolerance: silenceTolerance,
		OnConnection:     process.recorder.ConnectionUsed,
		OnNotice:         process.handleNotice,
		OnTimeout:        process.recorder.ConnectionTimedOut,
		OnPath:           process.handlePath,
		OnOwnCall:        process.chargeOwnCall,
		Memory:           process.responseMemory,
		OnTooLarge:       process.recorder.ResponseTooLarge,
		OnRepeat:         surplus.Repeated,
		OnSurplus:        surplus.Received,
	})
	process.retryBudgets = proxy.NewRetryBudgets(proxy.RetryBounds{
		Ratio:  config.Bounds.RetryRatio,
		Extra:  config.Bounds.RetryExtra,
		Window: config.Bounds.RetryWindow,
	}, rand.Float64, boottime.Now())
	process.tenantLimiter = quota.New(quota.Bounds{
		Window:    config.Bounds.QuotaWindow,
		Overshoot: config.Bounds.QuotaOvershoot,
		Slack:     config.Bounds.QuotaSlack,
	}, rand.Float64, boottime.Now())
	process.forwarder = process.newForwarder()
	incarnation := uuid.NewString()
	process.origins = origin.NewLedger()
	process.openStreams = origin.NewOpenStreams()
	process.running = origin.NewRunningAttempts()
	process.archive = process.newArchive(incarnation)
	process.serverLimits = quota.NewServerLimits(process.serverSet.Contains, rand.Float64)
	process.serverRooms = quota.NewServerRooms(rand.Float64)
	process.overload = overload.NewServices(overload.NewLocalPromises())
	process.cacheLedger = residency.NewLedger()
	process.quarantineLedger = quarantine.NewLedger()
	process.capacity = capacity.NewEstimator()
	process.serverSet.SetVote(process.capacity.Vote)
	process.proxy = proxy.New(proxy.Options{
		Replica: process.replica,
		Set:     process.serverSet,
		Servers: process.serverClient,
		Bounds: proxy.Bounds{
			Revocation:    config.Bounds.Revocation,
			Configuration: config.Bounds.Configuration,
			Weights:       config.Bounds.Weights,
			ReplacedGrace: config.Bounds.ReplacedGrace,
			ReplacedLoss:  config.Bounds.ReplacedLoss,
			StartupGrace:  config.Bounds.StartupGrace,
		},
		RetryBudgets:  process.retryBudgets,
		BorrowRetries: process.newRetryBorrower(),
		Distance:      process.distance,
		Recorder:      process.recorder,
		Ledger:        process.cacheLedger,
		Limiter:       process.tenantLimiter,
		Forwarder:     process.forwarder,
		ServerLimits:  process.serverLimits,
		ServerRooms:   process.serverRooms,
		Overload:      process.overloadControl(),
		Quarantine:    process.quarantineLedger,
		Unconfirmed:   process.crashUnconfirmed,
		Trials:        &quarantine.Trials{Store: process.store.WithPurpose("quarantine"), Prefix: platform.PrefixTrials, Now: boottime.Now},
		Probation:     process.newProbation(),
		Capacity:      process.capacity,

		Origins:       process.origins,
		OriginHolders: process.newOriginHolders(),
		OpenStreams:   process.openStreams,
		Archive:       process.archive,
		Running:       process.running,
		// A client of its own: nodes of former builds answer for origins, and not for running attempts.
		RunningHolders: process.newOriginHolders(),
		ReportBorn:     process.reportBorn,

		EntryTTL: entryExpiryHeartbeats * config.Heartbeat,

		PropagationDelay: func() time.Duration { return process.reflector.FleetPropagationDelay() },
	})
	process.source = platform.NewSource(process.store, process.recorder.EntryUnreadable)
	process.registry = &fleet.Registry{
		Store:       process.store.WithPurpose("registration"),
		Prefix:      platform.PrefixNodes,
		Name:        config.Name,
		Incarnation: incarnation,
		Address:     config.PeerAddress,
		Zone:        config.Zone,
		Cores:       config.ProcessorShare,
		OnResize:    process.resize,
		Eras:        process.eras,
		Outage:      process.outage,
		PublishView: process.publishView,
	}
	process.workReports = workshare.New(func() workshare.Report {
		now := boottime.Now()
		report := workshare.Report{Work: process.serverSet.Work(now), Quota: process.tenantLimiter.Report(now)}
		report.Quota.Rows = quota.TruncateRows(slices.Concat(process.serverLimits.Report(now), process.serverRooms.Report(now), process.overload.Report(now)))
		return report
	})
	process.feed = reflector.NewFeed(config.Name+" "+incarnation, process.replica, process.registry, process.workReports, process.cacheLedger, process.quarantineLedger)
	process.feed.Eras = process.eras
	process.feed.EntriesMissingUntil = process.serverSet.EntriesMissingUntil
	process.registerGauges()
	process.quarantinePersister = process.newQuarantinePersister()
	process.reflector = process.newReflector()
	return process, nil
}

// ingress returns the handler of clients' requests. It must be called at most once.
func (process *process) ingress() *platform.Ingress {
	return &platform.Ingress{
		Proxy:           process.proxy,
		Stopping:        process.stopping.Load,
		Memory:          process.memory,
		OnMemoryRefused: telemetry.NewMemoryRecorder(process.recorder, process.memory).Refused,
		OnUnread:        process.clients.RejectedUnread,
		OnClientEnd:     process.clients.Ended,
	}
}

// overloadControl returns the overload control of services, or nil if the settings do not ask for it.
func (process *process) overloadControl() *overload.Services {
	if !process.settings.OverloadControl {
		return nil
	}
	return process.overload
}

// registerGauges registers gauges for the size and age of what this node knows.
func (process *process) registerGauges() {
	process.metrics.Gauge("cloverrail_proxy_servers_known", "Servers in the list that this node has.", func() float64 {
		servers, _ := process.feed.ServerStats(boottime.Now())
		return float64(servers)
	})
	process.metrics.Gauge("cloverrail_proxy_servers_age_seconds", "Time since the list of servers was certainly current; negative if there is none.", func() float64 {
		_, age := process.feed.ServerStats(boottime.Now())
		return age.Seconds()
	})
	process.metrics.Gauge("cloverrail_proxy_servers_leaving", "Listed servers that have said to this node that they leave.", func() float64 {
		return float64(process.serverSet.CountDraining())
	})
	process.metrics.Gauge("cloverrail_proxy_servers_resting", "Servers that have asked this node for rest that is not over.", func() float64 {
		return float64(len(process.serverSet.ServersInBackoff(boottime.Now())))
	})
	process.metrics.Gauge("cloverrail_proxy_servers_limited", "Servers that name a limit to this node or to others.", func() float64 {
		return float64(process.serverLimits.LimitedCount())
	})
	process.metrics.Gauge("cloverrail_proxy_brittle_services", "Services whose servers say that they are brittle, to this node or to others.", func() float64 {
		return float64(process.serverRooms.BrittleCount())
	})
	process.metrics.Gauge("cloverrail_proxy_broken_paths", "Listed servers to which this node cannot connect.", func() float64 {
		return float64(process.serverSet.BrokenPaths())
	})
	process.metrics.Gauge("cloverrail_proxy_isolated_seconds", "For how long this node has been unable to connect to any server; 0 if it is able.", func() float64 {
		return process.serverSet.IsolatedFor(boottime.Now()).Seconds()
	})
	process.metrics.Gauge("cloverrail_proxy_mixed_services", "Services whose servers have, or had of late, several software versions.", func() float64 {
		return float64(len(process.serverSet.MixedServices(boottime.Now())))
	})
	process.metrics.Gauge("cloverrail_proxy_incomplete_software_record", "1 while the record of software versions may lack some that have begun streams, since the store was restored.", func() float64 {
		if process.serverSet.LacksCompleteRecord() {
			return 1
		}
		return 0
	})
	process.metrics.Gauge("cloverrail_proxy_unrecorded_services", "Services that list a software version which is not recorded, and which begins no streams.", func() float64 {
		return float64(len(process.serverSet.UnrecordedSoftware()))
	})
	process.metrics.Gauge("cloverrail_proxy_entries_missing_seconds", "For how much longer the list may lack servers that live, after a disruption of the store; 0 if it does not.", func() float64 {
		return max(0, boottime.Until(process.serverSet.EntriesMissingUntil()).Seconds())
	})
	process.metrics.Gauge("cloverrail_proxy_stream_records", "Records of what began streams that this node holds.", func() float64 {
		return float64(process.origins.Len())
	})
	process.metrics.Gauge("cloverrail_proxy_open_streams", "Streams of this node that callers may still resume.", func() float64 {
		return float64(process.openStreams.Len())
	})
	process.metrics.OverloadGauges(func() map[string]overload.State { return process.overload.States(boottime.Now()) }, process.overload.Invalid)
	process.metrics.Gauge("cloverrail_proxy_store_era", "Era of the shared store; it rises when the store comes back from an older copy. -1 if it is not known.", func() float64 {
		if era, known := process.eras.Current().Number(); known {
			return float64(era)
		}
		return -1
	})
	process.metrics.Gauge("cloverrail_proxy_fleet_nodes", "Nodes of the fleet, as far as this one knows.", func() float64 {
		return float64(process.registry.Nodes())
	})
	process.metrics.Gauge("cloverrail_proxy_response_memory_held_bytes", "Bytes that responses of servers hold beyond the first bytes of each.", func() float64 {
		return float64(process.responseMemory.Held())
	})
	process.metrics.Gauge("cloverrail_proxy_head_memory_held_bytes", "Bytes that heads of requests hold beyond the first bytes of each.", func() float64 {
		return float64(process.headMemory.Held())
	})
	process.metrics.Gauge("cloverrail_proxy_message_memory_held_bytes", "Bytes that messages of other nodes hold until they are decoded, beyond the first bytes of each.", func() float64 {
		return float64(process.messageMemory.Held())
	})
	process.metrics.Gauge("cloverrail_proxy_retry_sharing_nodes", "Nodes that share the part of the fleet's retries that does not depend on requests; 0 if this node has no share, since the others may not count it.", func() float64 {
		return float64(process.retryBudgets.Nodes())
	})
	process.metrics.Gauge("cloverrail_proxy_registered", "Whether the store certainly has this node's registration: 1, or 0.", func() float64 {
		if process.registry.Registered(boottime.Now()) {
			return 1
		}
		return 0
	})
	process.metrics.Gauge("cloverrail_proxy_sharing_nodes", "Nodes by which the bounds of the fleet are divided: those whose registrations have just lapsed count as well.", func() float64 {
		return float64(process.sharedSize.Nodes(boottime.Now()))
	})
}

// reload reads the settings file again. Only the log level takes effect immediately; all other
// settings are bound to sockets and background tasks and require a restart.
func (process *process) reload(file string) {
	config, err := settings.ReadProxy(file)
	if err != nil {
		process.log.Error().Err(err).Msg("failed to reload settings; keeping the current ones")
		return
	}
	level, err := zerolog.ParseLevel(config.LogLevel)
	if err != nil {
		process.log.Error().Err(err).Msg("failed to reload settings; keeping the current ones")
		return
	}
	zerolog.SetGlobalLevel(level)
	sameLogLevel := config
	sameLogLevel.LogLevel = process.settings.LogLevel
	changed := !reflect.DeepEqual(sameLogLevel, process.settings)
	process.log.Info().Str("log_level", config.LogLevel).Bool("takes_a_restart", changed).Msg("settings reloaded")
}

// resize applies a new number of nodes. A node that knows of no other one, and cannot register itself, keeps the shares
// of a node that does not know the fleet.
func (process *process) resize(nodes int) {
	process.recorder.FleetResized(nodes, process.registry.Registered(boottime.Now()))
	process.cacheLedger.Resize(nodes)
	if process.registry.KnowsFleet(boottime.Now()) {
		process.sharedSize.Observe(nodes, boottime.Now())
		process.shareBounds(process.currentShares())
	}
}

// shares is what decides this node's shares of the bounds of the whole fleet.
type shares struct {
	// nodes is the number of nodes that share them, and holdsOwn reports that the others certainly count this one.
	nodes    int
	holdsOwn bool
}

func (process *process) currentShares() shares {
	now := boottime.Now()
	return shares{nodes: process.sharedSize.Nodes(now), holdsOwn: process.registry.HoldsShare(now)}
}

// shareBounds divides the bounds of the whole fleet. Those of retries are spent without learning what other nodes
// spend, so that only a node which the others count takes its share. The others follow the reports of other nodes.
func (process *process) shareBounds(s shares) {
	nodes, retrySharers := s.nodes, 0
	if s.holdsOwn {
		retrySharers = nodes
	}
	if process.retryBudgets.Resize(retrySharers, boottime.Now()) {
		process.recorder.RetryShareChanged(retrySharers)
	}
	process.tenantLimiter.Resize(nodes)
	process.serverLimits.Resize(nodes)
	process.overload.Resize(nodes)
	process.serverRooms.Resize(nodes, process.roomRank(nodes), process.reflector.FleetPropagationDelay())
}

// updateShares divides the bounds of the fleet anew when nodes count as lost, and when the others begin or cease to
// count this one, until the context ends.
func (process *process) updateShares(ctx context.Context) {
	last := shares{}
	for ctx.Err() == nil {
		if current := process.currentShares(); current != last && current.nodes > 0 {
			process.shareBounds(current)
			last = current
		}
		pause.For(ctx, shareInterval)
	}
}

// roomRank returns this node's rank, or a hashed one if the node knows only the first nodes of a large fleet
// and is none of them.
func (process *process) roomRank(nodes int) quota.Rank {
	if process.registry.OutsideView() {
		return quota.Rank{At: int(uint64(prefix.HashName(process.settings.Name)) % uint64(max(1, nodes))), Hashed: true}
	}
	return quota.Rank{At: process.registry.Rank()}
}

// publishView writes the fleet view that starting nodes bootstrap from.
func (process *process) publishView(ctx context.Context, view []byte) error {
	err := process.source.WriteView(ctx, view)
	process.recorder.ViewPublished(err)
	return err
}

// distance returns the distance of a zone from this node.
func (process *process) distance(zone string) int {
	return process.zoneDistance(process.settings.Zone, zone)
}

// zoneDistance returns 0 for the same zone, 1 within the region, and 2 beyond.
func (process *process) zoneDistance(from, to string) int {
	zones := process.settings.Zones
	switch {
	case from == to:
		return 0
	case zones[from] == zones[to]:
		return 1
	default:
		return 2
	}
}

func scale(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(duration))
}

// newReflector returns the reflector that keeps the node's replica of the store current.
func (process *process) newReflector() *reflector.Reflector {
	bounds := process.settings.Bounds
	return &reflector.Reflector{
		Source:   process.source,
		Peers:    &reflector.PeerClient{Client: process.peerClient, OnResponse: process.recorder.OnResponse},
		Replica:  process.replica,
		Set:      process.serverSet,
		Registry: process.registry,
		Feed:     process.feed,
		Work:     process.workReports,
		OnReport: func(others workshare.Report, now time.Time) {
			for _, instance := range process.serverSet.ApplyPeerWork(others.Work, now) {
				process.recorder.PeerDraining(instance)
			}
			process.capacity.SetPeerVotes(prefillVotes(others.Work), now)
			process.tenantLimiter.SetPeerUsage(others.Quota, now)
			process.overload.SetPeerRows(others.Quota.Rows, now)
			process.serverRooms.SetPeerRows(others.Quota.Rows, now)
			process.recordPeerLimits(process.serverLimits.SetPeerRows(others.Quota.Rows, now))
		},
		Kept:          residency.NewPeerReceiver(process.cacheLedger),
		Quarantine:    process.quarantineLedger,
		OnQuarantined: process.quarantinePersister.Observe,
		Recorder:      process.recorder,
		Eras:          process.eras,
		Outage:        process.outage,
		Seeds:         process.otherSeeds(),
		MaxStaleness:  min(bounds.Configuration, bounds.Drain),
	}
}

// handleRestore records that the store was restored from an older copy, which may lack entries.
func (process *process) handleRestore(before, after coordination.Era) {
	process.recorder.StoreRestored(before, after)
	process.serverSet.ObserveMissingEntries(boottime.Now().Add(backend.ReregistrationTime))
}

// otherSeeds returns the seeds without this node itself.
func (process *process) otherSeeds() []string {
	own := []string{process.settings.SeedAddress, process.settings.PeerAddress}
	return slices.DeleteFunc(slices.Clone(process.settings.Seeds), func(seed string) bool { return slices.Contains(own, seed) })
}

// newQuarantinePersister returns the persister that writes quarantined requests to the store.
func (process *process) newQuarantinePersister() *quarantine.Persister {
	return &quarantine.Persister{
		Store:       process.store.WithPurpose("quarantine"),
		Ledger:      process.quarantineLedger,
		Recorder:    process.recorder,
		Prefix:      platform.PrefixQuarantine,
		Unconfirmed: process.crashUnconfirmed,
		Eligible:    func() bool { return process.reflector.Reads() },
		WriteDelay: func() time.Duration {
			return time.Duration(process.registry.Rank()) * writeDelayPerRank
		},
		Now: boottime.Now,
	}
}

// newProbation returns the limit of requests with parts on probation.
func (process *process) newProbation() *quarantine.Probation {
	return &quarantine.Probation{
		Store: process.store.WithPurpose("quarantine"), Prefix: platform.PrefixTrials, Now: boottime.Now, Nodes: func() int { return process.registry.Nodes() }, Claimed: process.recorder.PassClaimed,
	}
}

// crashUnconfirmed reports whether it is uncertain that a server crashed at a time: the fleet has
// not yet learned what else ran there, the server has answered a request that was sent later, or
// it is still listed although its entry would have expired.
func (process *process) crashUnconfirmed(server uint64, at time.Time) bool {
	propagated := at.Add(proxy.LivenessCheckDelay + process.reflector.FleetPropagationDelay())
	expired := at.Add(entryExpiryHeartbeats * process.settings.Heartbeat)
	return boottime.Now().Before(propagated) || process.serverSet.AnsweredSince(server, at) ||
		process.serverSet.Listed(server) && process.reflector.ServersReadSince(expired, at)
}

// watchHolders starts watching the cache holders that are assigned to this node. The other nodes
// report the contents of the holders that they watch.
func (process *process) watchHolders(ctx context.Context) {
	go residency.WatchAll(ctx, process.assignedHolders, func(holder string) *residency.Watcher {
		watcher := residency.NewWatcher(holder, process.serverClient, process.cacheLedger, process.recorder)
		watcher.MinInterval = func() time.Duration { return process.minCallInterval(holder) }
		return watcher
	})
}

// peerHandler returns the handler of requests from other nodes.
func (process *process) peerHandler() http.Handler {
	mux := http.NewServeMux()
	messages := &inbound.Reader{Memory: process.messageMemory, OnRejected: process.clients.MessageRejected}
	handle := func(pattern string, maxBytes int64, handler http.Handler) {
		mux.Handle(pattern, messages.Handle(inbound.Limits{MaxBytes: func() int64 { return maxBytes }}, handler))
	}
	handle("POST "+reflector.PathServers, reflector.MaxRequestBytes, reflector.Handler(process.feed))
	handle("GET "+reflector.PathWork, 0, reflector.WorkHandler(process.feed))
	handle("POST "+retryloan.Path, retryloan.MaxMessageBytes, process.lendHandler())
	handle("POST "+origin.PathRecords, origin.MaxMessageBytes, origin.RecordsHandler(process.origins))
	handle("POST "+origin.PathLookup, origin.MaxMessageBytes, origin.LookupHandler(process.origins))
	handle("POST "+origin.PathRunning, origin.MaxMessageBytes, origin.RunningHandler(process.running))
	handle("POST "+origin.PathRunningLookup, origin.MaxMessageBytes, origin.RunningLookupHandler(process.running))
	handle("POST "+origin.PathOpen, origin.MaxReportBytes, process.archive.OpenHandler())
	mux.Handle("POST "+forward.Path, messages.Handle(process.forwardLimits(), process.forwardHandler()))
	return mux
}

// assignedHolders returns the addresses of the engines and prefix stores whose cache this node is
// to watch.
func (process *process) assignedHolders() []string {
	replica := process.replica.Load()
	if replica == nil || replica.Snapshot == nil {
		return nil
	}
	// The fleet watches all engines, or only the recently used ones if there are more than the
	// relays can poll in time.
	relays, now := process.registry.Relays(), boottime.Now()
	maxHolders := residency.MaxHolders * relays
	watched := process.serverSet.CountEngines(maxHolders, engineIdleLimit, now)
	process.cacheLedger.SetReportDelay(residency.PropagationDelay(watched/relays) + process.reflector.DownstreamDelay())
	if !process.reflector.Relays() {
		return nil
	}
	var addresses []string
	ownership := process.registry.Ownership()
	addIfOwned := func(address, zone string) {
		if ownership.Owns(address, zone) {
			addresses = append(addresses, address)
		}
	}
	for _, store := range replica.Snapshot.Stores() {
		addIfOwned(store.Address, store.Zone)
	}
	for _, engine := range process.serverSet.Engines(maxHolders, engineIdleLimit, now) {
		addIfOwned(engine.Address, engine.Zone)
	}
	return addresses
}

// runBackgroundTasks starts registration, the quarantine persister and leader election. The returned
// channel is closed once all of them have released their store entries after the context ends.
func (process *process) runBackgroundTasks(ctx context.Context) <-chan struct{} {
	bounds := process.settings.Bounds
	tasks := sync.WaitGroup{}
	tasks.Go(func() { process.registry.Run(ctx) })
	tasks.Go(func() { process.updateShares(ctx) })
	tasks.Go(func() { process.quarantinePersister.Run(ctx) })
	tasks.Go(func() { process.probePaths(ctx) })
	tasks.Go(func() { process.publishOrigins(ctx) })
	tasks.Go(func() { process.archive.Run(ctx) })
	tasks.Go(func() { process.keepSoftwareRecord(ctx) })
	elector := &lease.Elector{
		Store: process.store.WithPurpose("duty"),
		Task: &rollout.Controller{
			Replica:          process.replica,
			Set:              process.serverSet,
			Servers:          process.serverClient,
			Recorder:         process.recorder,
			Holder:           process.settings.Name,
			Eras:             process.eras,
			MaxStaleness:     bounds.Weights,
			PropagationDelay: process.reflector.DownstreamDelay,
			MinInterval: func(server backend.Server) time.Duration {
				return process.serverLimits.MinInterval(backend.ServerKey(server.Incarnation()), boottime.Now())
			},
			Broadcast: process.reflector.ApplyLoads,
		},
		Recorder:      process.recorder,
		Name:          process.settings.Name,
		Key:           platform.KeyRollout,
		StateKey:      platform.KeyRolloutState,
		TTL:           max(process.settings.MinStoreLease, scale(bounds.LeaderHandover, leaseFraction)),
		HandoverDelay: bounds.LeaderHandover,
		CampaignDelay: func() time.Duration {
			return time.Duration(process.registry.Rank())*campaignDelayPerRank + rand.N(campaignDelayPerRank)
		},
		Eligible:  func() bool { return process.reflector.Reads() && !process.serverSet.Isolated() },
		Unable:    process.unableToLead,
		Exists:    process.registry.Exists,
		FirstSeen: process.registry.FirstSeen,
		Eras:      process.eras,
	}
	tasks.Go(func() { elector.Run(ctx) })
	done := make(chan struct{})
	go func() {
		tasks.Wait()
		close(done)
	}()
	return done
}
