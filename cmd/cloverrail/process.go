package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/lease"
	"github.com/cloverrail/cloverrail/internal/proxy"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/reflector"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/rollout"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/internal/telemetry"
	"github.com/cloverrail/cloverrail/internal/workshare"
	"github.com/cloverrail/cloverrail/platform"
)

const (
	// leaseFraction is the TTL of the leader's lease as a fraction of the handover delay between
	// two leaders.
	leasePart = 0.65
	// campaignDelayPerRank staggers leadership campaigns by rank, so that the first reader, which
	// the relays poll, comes first.
	turnPerRank = 50 * time.Millisecond
	// entryExpiryHeartbeats is the number of heartbeats after which the entry of a crashed server
	// is certainly gone from this node's list: three missed ones, one sent just before the crash,
	// and one for the list to reach this node.
	lapseBeats = 5
	// writeDelayPerRank is how long a node waits, for each node of a better rank, before it writes
	// a quarantine entry that such a node should have written. It exceeds the age of a store read.
	keepTurn = time.Second

	// engineIdleLimit is how long after its last use an engine's cache is watched if there are more
	// engines than can be polled in time.
	followedLife = 20 * time.Second

	connectTimeout = 300 * time.Millisecond
	silenceTimeout = 1500 * time.Millisecond
)

// process holds the components of a running proxy.
type process struct {
	settings settings.Proxy
	log      zerolog.Logger
	belief   *catalog.Holder
	set      *backend.Set
	store    *platform.Store
	eras     *coordination.Eras
	source   *platform.Source
	servers  *platform.Servers
	metrics  *telemetry.Metrics
	recorder *telemetry.Recorder
	retries  *proxy.Retries
	ledger   *residency.Ledger
	limiter  *quota.Limiter
	limits   *quota.Servers
	requests *quarantine.Ledger
	proxy    *proxy.Proxy
	registry *fleet.Registry
	feed     *reflector.Feed
	work     *workshare.Board
	// peers calls other nodes.
	peers *http.Client
	// quarantinePersister writes quarantined requests to the store.
	quarantine *quarantine.Keeper
	// reflector reads the store, or polls a node that does.
	reflector *reflector.Reflector
	stopping  atomic.Bool
}

func newProcess(given settings.Proxy) (*process, error) {
	level, err := zerolog.ParseLevel(given.LogLevel)
	if err != nil {
		return nil, errors.Trace(err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	process := &process{settings: given, belief: &catalog.Holder{}, set: backend.NewSet(), peers: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	zerolog.SetGlobalLevel(level)
	process.log = zerolog.New(telemetry.NewWriter(os.Stdout)).With().Timestamp().Str("node", given.Name).Logger()
	process.metrics = telemetry.NewMetrics(process.belief)
	process.recorder = telemetry.NewRecorder(process.log, process.metrics)
	process.eras = &coordination.Eras{Changed: process.recorder.WentBack, Ignored: process.recorder.EraIgnored}
	process.store = platform.NewStore(given.StoreAddress, process.recorder.StoreCalled, process.eras)
	process.servers = platform.NewServers(platform.Connections{
		Connect: connectTimeout,
		Silence: silenceTimeout,
		Used:    process.recorder.Connected,
		Noticed: process.noticed,
		Called:  process.called,
	})
	process.retries = proxy.NewRetries(proxy.RetryBounds{
		Ratio:  given.Bounds.RetryRatio,
		Extra:  given.Bounds.RetryExtra,
		Window: given.Bounds.RetryWindow,
	}, boottime.Now())
	process.limiter = quota.New(quota.Bounds{
		Window:    given.Bounds.QuotaWindow,
		Overshoot: given.Bounds.QuotaOvershoot,
		Slack:     given.Bounds.QuotaSlack,
	}, rand.Float64, boottime.Now())
	process.limits = quota.NewServers(process.set.Knows, rand.Float64)
	process.ledger = residency.NewLedger()
	process.requests = quarantine.NewLedger()
	process.proxy = proxy.New(proxy.Options{
		Belief:  process.belief,
		Set:     process.set,
		Servers: process.servers,
		Bounds: proxy.Bounds{
			Revocation:    given.Bounds.Revocation,
			Configuration: given.Bounds.Configuration,
			Weights:       given.Bounds.Weights,
			ReplacedGrace: given.Bounds.ReplacedGrace,
			ReplacedLoss:  given.Bounds.ReplacedLoss,
			Contact:       given.Bounds.Contact,
		},
		Retries:  process.retries,
		Distance: process.distance,
		Recorder: process.recorder,
		Ledger:   process.ledger,
		Limiter:  process.limiter,
		Limits:   process.limits,
		Requests: process.requests,
		Unsure:   process.unsure,
		Lapse:    lapseBeats * given.Heartbeat,
	})
	life := uuid.NewString()
	process.source = platform.NewSource(process.store, process.recorder.Unreadable)
	process.registry = &fleet.Registry{
		Store:   process.store.WithPurpose("registration"),
		Prefix:  platform.PrefixNodes,
		Name:    given.Name,
		Life:    life,
		Address: given.PeerAddress,
		Zone:    given.Zone,
		Room:    given.ProcessorShare,
		Resized: process.resize,
		Eras:    process.eras,
		Publish: process.publish,
	}
	process.work = workshare.New(func() workshare.Report {
		now := boottime.Now()
		report := workshare.Report{Work: process.set.Work(now), Quota: process.limiter.Report(now)}
		report.Quota.Rows = process.limits.Report(now)
		return report
	})
	process.feed = reflector.NewFeed(given.Name+" "+life, process.belief, process.registry, process.work, process.ledger, process.requests)
	process.gauges()
	process.quarantine = process.newQuarantine()
	process.reflector = process.newReflector()
	return process, nil
}

// registerGauges registers gauges for the size and age of what this node knows.
func (process *process) gauges() {
	process.metrics.Gauge("cloverrail_proxy_servers_known", "Servers in the list that this node has.", func() float64 {
		servers, _ := process.feed.Servers(boottime.Now())
		return float64(servers)
	})
	process.metrics.Gauge("cloverrail_proxy_servers_age_seconds", "Time since the list of servers was certainly current; negative if there is none.", func() float64 {
		_, age := process.feed.Servers(boottime.Now())
		return age.Seconds()
	})
	process.metrics.Gauge("cloverrail_proxy_servers_leaving", "Listed servers that have said to this node that they leave.", func() float64 {
		return float64(process.set.Leaving())
	})
	process.metrics.Gauge("cloverrail_proxy_servers_resting", "Servers that have asked this node for rest that is not over.", func() float64 {
		return float64(len(process.set.Resting(boottime.Now())))
	})
	process.metrics.Gauge("cloverrail_proxy_servers_limited", "Servers that name a limit to this node or to others.", func() float64 {
		return float64(process.limits.Limited())
	})
	process.metrics.Gauge("cloverrail_proxy_store_era", "Era of the shared store; it rises when the store comes back from an older copy. 0 if it is not known.", func() float64 {
		return float64(process.eras.Current())
	})
	process.metrics.Gauge("cloverrail_proxy_fleet_nodes", "Nodes of the fleet, as far as this one knows.", func() float64 {
		return float64(process.registry.Nodes())
	})
}

// reload reads the settings file again. Only the log level takes effect immediately; all other
// settings are bound to sockets and background tasks and require a restart.
func (process *process) reload(file string) {
	given, err := settings.ReadProxy(file)
	if err != nil {
		process.log.Error().Err(err).Msg("failed to reload settings; keeping the current ones")
		return
	}
	level, err := zerolog.ParseLevel(given.LogLevel)
	if err != nil {
		process.log.Error().Err(err).Msg("failed to reload settings; keeping the current ones")
		return
	}
	zerolog.SetGlobalLevel(level)
	rest := given
	rest.LogLevel = process.settings.LogLevel
	changed := !reflect.DeepEqual(rest, process.settings)
	process.log.Info().Str("log_level", given.LogLevel).Bool("takes_a_restart", changed).Msg("settings reloaded")
}

// resize applies a new number of nodes in the fleet.
func (process *process) resize(nodes int) {
	process.recorder.Resized(nodes)
	process.retries.Resize(nodes)
	process.limiter.Resize(nodes)
	process.limits.Resize(nodes)
	process.ledger.Resize(nodes)
}

// publishView writes the fleet view that starting nodes bootstrap from.
func (process *process) publish(ctx context.Context, view []byte) error {
	err := process.source.WriteView(ctx, view)
	process.recorder.Published(err)
	return err
}

// distance returns 0 within the zone, 1 within the region, and 2 beyond.
func (process *process) distance(zone string) int {
	zones := process.settings.Zones
	switch {
	case zone == process.settings.Zone:
		return 0
	case zones[zone] == zones[process.settings.Zone]:
		return 1
	default:
		return 2
	}
}

func part(whole time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(whole))
}

// newReflector returns the reflector that keeps the node's replica of the store current.
func (process *process) newReflector() *reflector.Reflector {
	bounds := process.settings.Bounds
	return &reflector.Reflector{
		Source:   process.source,
		Peers:    &reflector.Caller{Client: process.peers, Heard: process.recorder.Heard},
		Belief:   process.belief,
		Set:      process.set,
		Registry: process.registry,
		Feed:     process.feed,
		Work:     process.work,
		TakeReport: func(others workshare.Report, now time.Time) {
			for _, instance := range process.set.TakeWork(others.Work, now) {
				process.recorder.ToldLeaving(instance)
			}
			process.limiter.Take(others.Quota, now)
			process.toldLimits(process.limits.Hear(others.Quota.Rows, now))
		},
		Kept:       residency.NewHearer(process.ledger),
		Quarantine: process.requests,
		TakeHeld:   process.quarantine.Observe,
		Recorder:   process.recorder,
		Eras:       process.eras,
		Bound:      min(bounds.Configuration, bounds.Drain),
	}
}

// newQuarantinePersister returns the writer of quarantined requests to the store.
func (process *process) newQuarantine() *quarantine.Keeper {
	return &quarantine.Keeper{
		Store:    process.store.WithPurpose("quarantine"),
		Ledger:   process.requests,
		Recorder: process.recorder,
		Prefix:   platform.PrefixHeld,
		Unsure:   process.unsure,
		Eligible: func() bool { return process.reflector.Reads() },
		Turn: func() time.Duration {
			return time.Duration(process.registry.Rank()) * keepTurn
		},
		Now: boottime.Now,
	}
}

// crashUnconfirmed reports whether it is uncertain that a server crashed at a time: the fleet has
// not yet learned what else ran there, the server has answered a request that was sent later, or
// it is still listed although its entry would have expired.
func (process *process) unsure(server uint64, at time.Time) bool {
	heard := at.Add(proxy.SettleTime + process.reflector.TellTime())
	lapsed := at.Add(lapseBeats * process.settings.Heartbeat)
	return boottime.Now().Before(heard) || process.set.AnsweredSince(server, at) ||
		process.set.Listed(server) && process.reflector.ListedSince(lapsed, at)
}

// watchHolders starts watching the cache holders that are assigned to this node. The other nodes
// report the contents of the holders that they watch.
func (process *process) followHolders(ctx context.Context) {
	go residency.FollowAll(ctx, process.ownHolders, func(holder string) *residency.Follower {
		follower := residency.NewFollower(holder, process.servers, process.ledger, process.recorder)
		follower.Pace = func() time.Duration { return process.pace(holder) }
		return follower
	})
}

// peerHandler returns the handler of requests from other nodes.
func (process *process) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+reflector.PathServers, reflector.Handler(process.feed))
	mux.HandleFunc("GET "+reflector.PathWork, reflector.WorkHandler(process.feed))
	return mux
}

// assignedHolders returns the addresses of the engines and prefix stores whose cache this node is
// to watch.
func (process *process) ownHolders() []string {
	belief := process.belief.Load()
	if belief == nil || belief.Snapshot == nil {
		return nil
	}
	// The fleet watches all engines, or only the recently used ones if there are more than the
	// relays can poll in time.
	relays, now := process.registry.Relays(), boottime.Now()
	most := residency.MostHolders * relays
	asked := process.set.CountEngines(most, followedLife, now)
	process.ledger.Lags(residency.WordTime(asked/relays) + process.reflector.HearTime())
	if !process.reflector.Relays() {
		return nil
	}
	var addresses []string
	ownership := process.registry.Ownership()
	own := func(address, zone string) {
		if ownership.Owns(address, zone) {
			addresses = append(addresses, address)
		}
	}
	for _, store := range belief.Snapshot.Stores() {
		own(store.Address, store.Zone)
	}
	for _, engine := range process.set.Engines(most, followedLife, now) {
		own(engine.Address, engine.Zone)
	}
	return addresses
}

// runBackgroundTasks starts registration, the quarantine writer and leader election. The returned
// channel is closed once all of them have released their store entries after the context ends.
func (process *process) keep(ctx context.Context) <-chan struct{} {
	bounds := process.settings.Bounds
	handedBack := sync.WaitGroup{}
	handedBack.Go(func() { process.registry.Run(ctx) })
	handedBack.Go(func() { process.quarantine.Run(ctx) })
	keeper := &lease.Keeper{
		Store: process.store.WithPurpose("duty"),
		Duty: &rollout.Duty{
			Belief:   process.belief,
			Set:      process.set,
			Servers:  process.servers,
			Recorder: process.recorder,
			Holder:   process.settings.Name,
			Bound:    bounds.Weights,
			Notice:   process.reflector.HearTime,
			Pace: func(server backend.Server) time.Duration {
				return process.limits.Pace(backend.ServerKey(server.Incarnation()), boottime.Now())
			},
			Tell: process.reflector.TakeLoads,
		},
		Recorder: process.recorder,
		Name:     process.settings.Name,
		Key:      platform.KeyRollout,
		KeyState: platform.KeyRolloutState,
		Life:     max(process.settings.StoreLeastLease, part(bounds.HolderChange, leasePart)),
		Settling: bounds.HolderChange,
		Delay: func() time.Duration {
			return time.Duration(process.registry.Rank())*turnPerRank + rand.N(turnPerRank)
		},
		Eligible:  process.reflector.Reads,
		Exists:    process.registry.Exists,
		FirstSeen: process.registry.FirstSeen,
		Eras:      process.eras,
	}
	handedBack.Go(func() { keeper.Run(ctx) })
	done := make(chan struct{})
	go func() {
		handedBack.Wait()
		close(done)
	}()
	return done
}
