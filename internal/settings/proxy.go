package settings

import (
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/strictyaml"
)

// Proxy holds the settings of a proxy process.
type Proxy struct {
	// Name identifies the node, also across restarts. No two machines may use the same one.
	Name string `yaml:"name" validate:"required"`
	Zone string `yaml:"zone" validate:"required"`
	// Zones maps each zone to its region.
	Zones map[string]string `yaml:"zones"`
	// CallerAddress serves clients, ReadinessAddress the readiness check.
	CallerAddress    string `yaml:"callerAddress" validate:"tcp_addr"`
	ReadinessAddress string `yaml:"readinessAddress" validate:"tcp_addr"`
	// MetricsAddress serves metrics; empty means none.
	MetricsAddress string `yaml:"metricsAddress" validate:"omitempty,tcp_addr"`
	// ProcessorShare is the CPU time that this node may use, in cores; 0 means unknown. Nodes
	// with a large share relay for the others.
	ProcessorShare float64 `yaml:"processorShare" validate:"min=0"`
	// OverloadControl refuses requests of overloaded services that can be served in time later, with
	// the time at which they can. It applies to services that routes of different priority share.
	OverloadControl bool `yaml:"overloadControl,omitempty"`
	// MemoryMegabytes is the memory that this node may use, in units of 1,000,000 bytes; 0 means
	// unknown. Requests may hold a share of it.
	MemoryMegabytes float64 `yaml:"memoryMegabytes,omitempty" validate:"min=0,max=1e9"`
	// Descriptors is the number of file descriptors that this node may use; 0 means that the limit of the process
	// applies. It bounds the connections that clients may have open.
	Descriptors int `yaml:"descriptors,omitempty" validate:"min=0"`
	// PeerAddress serves other nodes.
	PeerAddress string `yaml:"peerAddress" validate:"tcp_addr"`
	// SeedAddress serves other nodes too, if it is set: those whose seeds name it.
	SeedAddress string `yaml:"seedAddress,omitempty" validate:"omitempty,tcp_addr"`
	// Seeds are seed or peer addresses of some nodes, which may be down. A node that starts while the
	// store does not answer learns the fleet's state from them.
	Seeds []string `yaml:"seeds,omitempty" validate:"dive,tcp_addr"`
	// StoreAddress is the address of the shared store.
	StoreAddress string `yaml:"storeAddress" validate:"tcp_addr"`
	// MinStoreLease is the shortest lease TTL that the store grants.
	MinStoreLease time.Duration `yaml:"storeLeastLease" validate:"min=0"`
	// Heartbeat is the interval at which servers rewrite their entries in the store.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"gt=0"`
	// Grace is the time from the stop signal until the process ends.
	Grace  time.Duration `yaml:"grace" validate:"gt=0"`
	Bounds ProxyBounds   `yaml:"bounds"`
	// LogLevel is one of debug, info, warn and error.
	LogLevel string `yaml:"logLevel" validate:"oneof=debug info warn error"`
}

// ProxyBounds are the guarantees that the fleet gives.
type ProxyBounds struct {
	// Configuration bounds the time until an accepted declaration is in force everywhere.
	Configuration time.Duration `yaml:"configuration" validate:"gt=0"`
	// Revocation bounds the time until a removed key stops working.
	Revocation time.Duration `yaml:"revocation" validate:"gt=0"`
	// Drain bounds the time until a draining server gets no new requests.
	Drain time.Duration `yaml:"drain" validate:"gt=0"`
	// Weights bounds the time until replaced weights no longer serve.
	Weights time.Duration `yaml:"weights" validate:"gt=0"`
	// ReplacedGrace is the time after the release of newer weights in which a response on older
	// ones keeps its full value; ReplacedLoss is the fraction of its value, from 0 to 1, that is
	// lost afterwards.
	ReplacedGrace time.Duration `yaml:"replacedGrace" validate:"min=0"`
	ReplacedLoss  float64       `yaml:"replacedLoss" validate:"min=0,max=1"`
	// StartupGrace is the time after its start in which the bounds do not yet apply to a node, as
	// it cannot know the fleet's state.
	StartupGrace time.Duration `yaml:"contact" validate:"gt=0"`
	// LeaderHandover is the minimum time between the orders of two successive rollout leaders.
	LeaderHandover time.Duration `yaml:"holderChange" validate:"gt=0"`
	// RetryRatio, RetryExtra and RetryWindow bound the fleet's retries to one service: in any window,
	// at most the ratio times the number of first attempts, plus the extra.
	RetryRatio  float64       `yaml:"retryRatio" validate:"min=0"`
	RetryExtra  float64       `yaml:"retryExtra" validate:"min=0"`
	RetryWindow time.Duration `yaml:"retryWindow" validate:"gt=0"`
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound a tenant's admitted requests over the whole
	// fleet: in any window, at most what its limit allows times (1 + overshoot), plus the slack, in
	// the unit of the limit.
	QuotaWindow    time.Duration `yaml:"quotaWindow" validate:"gt=0"`
	QuotaOvershoot float64       `yaml:"quotaOvershoot" validate:"min=0"`
	QuotaSlack     float64       `yaml:"quotaSlack" validate:"min=0"`
}

// ProxyDefaults returns the defaults of settings that the file may omit.
func ProxyDefaults() Proxy {
	return Proxy{
		MinStoreLease: time.Second,
		Heartbeat:     1200 * time.Millisecond,
		Grace:         8 * time.Second,
		Bounds: ProxyBounds{
			Configuration:  2 * time.Second,
			Revocation:     5 * time.Second,
			Drain:          2 * time.Second,
			Weights:        8 * time.Second,
			ReplacedGrace:  1500 * time.Millisecond,
			ReplacedLoss:   0.2,
			StartupGrace:   3 * time.Second,
			LeaderHandover: 3 * time.Second,
			RetryRatio:     0.2,
			RetryWindow:    10 * time.Second,
			QuotaWindow:    10 * time.Second,
		},
		LogLevel: "info",
	}
}

// MemoryBytes returns the memory that this node may use, in bytes; 0 means unknown.
func (settings *Proxy) MemoryBytes() int64 {
	return int64(settings.MemoryMegabytes * bytesPerMegabyte)
}

// ReadProxy parses and validates the settings file of a proxy.
func ReadProxy(path string) (Proxy, error) {
	settings := ProxyDefaults()
	data, err := os.ReadFile(path)
	if err != nil {
		return settings, errors.Annotate(err, "cannot read settings; specify a readable file")
	}
	if err := strictyaml.DecodePartial(path, data, &settings); err != nil {
		return settings, err
	}
	return settings, strictyaml.Validate(path, &settings)
}
