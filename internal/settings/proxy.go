package settings

import (
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/strictyaml"
)

// Proxy is what a proxy process is told at its start.
type Proxy struct {
	// Name of the node; one machine has one.
	Name string `yaml:"name" validate:"required"`
	Zone string `yaml:"zone" validate:"required"`
	// Zones gives the region of each zone.
	Zones map[string]string `yaml:"zones"`
	// CallerAddress serves callers, ReadinessAddress the question whether they
	// should come.
	CallerAddress    string `yaml:"callerAddress" validate:"tcp_addr"`
	ReadinessAddress string `yaml:"readinessAddress" validate:"tcp_addr"`
	// MetricsAddress serves metrics; empty means none.
	MetricsAddress string `yaml:"metricsAddress" validate:"omitempty,tcp_addr"`
	// ProcessorShare is the processor time that this node may use, in cores; 0 means that
	// it is not known. Nodes with much of it work for the others.
	ProcessorShare float64 `yaml:"processorShare" validate:"min=0"`
	// PeerAddress serves other nodes.
	PeerAddress string `yaml:"peerAddress" validate:"tcp_addr"`
	// StoreAddress is the shared store's.
	StoreAddress string `yaml:"storeAddress" validate:"tcp_addr"`
	// StoreLeastLease is the shortest lease that the store grants.
	StoreLeastLease time.Duration `yaml:"storeLeastLease" validate:"min=0"`
	// Heartbeat is the time between two writings of a server's entry in the store.
	Heartbeat time.Duration `yaml:"heartbeat" validate:"gt=0"`
	// Grace is the time between the signal to stop and the end.
	Grace  time.Duration `yaml:"grace" validate:"gt=0"`
	Bounds ProxyBounds   `yaml:"bounds"`
	// LogLevel is one of debug, info, warn and error.
	LogLevel string `yaml:"logLevel" validate:"oneof=debug info warn error"`
}

// ProxyBounds are the promises that the fleet keeps.
type ProxyBounds struct {
	// Configuration is when an accepted declaration must be in force everywhere.
	Configuration time.Duration `yaml:"configuration" validate:"gt=0"`
	// Revocation is when a removed key must have stopped working.
	Revocation time.Duration `yaml:"revocation" validate:"gt=0"`
	// Drain is when a leaving server must get no new work.
	Drain time.Duration `yaml:"drain" validate:"gt=0"`
	// Weights is when older weights must have stopped serving.
	Weights time.Duration `yaml:"weights" validate:"gt=0"`
	// ReplacedGrace is the time after the naming of newer weights in which an answer
	// on older ones is worth as much; ReplacedLoss is the share of its worth, from 0 to
	// 1, that is lost after it.
	ReplacedGrace time.Duration `yaml:"replacedGrace" validate:"min=0"`
	ReplacedLoss  float64       `yaml:"replacedLoss" validate:"min=0,max=1"`
	// Contact is the time after its start in which a node is not yet held to what
	// it cannot know.
	Contact time.Duration `yaml:"contact" validate:"gt=0"`
	// HolderChange is the least time between the orders of two holders.
	HolderChange time.Duration `yaml:"holderChange" validate:"gt=0"`
	// RetryRatio, RetryExtra and RetryWindow bound the fleet's repetitions.
	RetryRatio  float64       `yaml:"retryRatio" validate:"min=0"`
	RetryExtra  float64       `yaml:"retryExtra" validate:"min=0"`
	RetryWindow time.Duration `yaml:"retryWindow" validate:"gt=0"`
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound what a tenant's requests that run
	// may come to over the whole fleet: within any window, what its limit allows times 1
	// plus the overshoot, plus the slack, in the unit of the limit.
	QuotaWindow    time.Duration `yaml:"quotaWindow" validate:"gt=0"`
	QuotaOvershoot float64       `yaml:"quotaOvershoot" validate:"min=0"`
	QuotaSlack     float64       `yaml:"quotaSlack" validate:"min=0"`
}

// ProxyDefaults for what the file may leave out.
func ProxyDefaults() Proxy {
	return Proxy{
		StoreLeastLease: time.Second,
		Heartbeat:       1200 * time.Millisecond,
		Grace:           8 * time.Second,
		Bounds: ProxyBounds{
			Configuration: 2 * time.Second,
			Revocation:    5 * time.Second,
			Drain:         2 * time.Second,
			Weights:       8 * time.Second,
			ReplacedGrace: 1500 * time.Millisecond,
			ReplacedLoss:  0.2,
			Contact:       3 * time.Second,
			HolderChange:  3 * time.Second,
			RetryRatio:    0.2,
			RetryWindow:   10 * time.Second,
			QuotaWindow:   10 * time.Second,
		},
		LogLevel: "info",
	}
}

// ReadProxy parses and checks the settings file of a proxy.
func ReadProxy(path string) (Proxy, error) {
	settings := ProxyDefaults()
	data, err := os.ReadFile(path)
	if err != nil {
		return settings, errors.Annotate(err, "cannot read the settings; name a file that exists")
	}
	if err := strictyaml.DecodePartial(path, data, &settings); err != nil {
		return settings, err
	}
	return settings, strictyaml.Validate(path, &settings)
}
