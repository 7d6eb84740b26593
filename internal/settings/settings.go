// Package settings defines the settings of the node and proxy processes. Those of a
// node come from a YAML file, overridden by the environment, overridden by flags.
package settings

import (
	"encoding/hex"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/strictyaml"
)

// Settings holds the settings of one node.
type Settings struct {
	// Zone is the zone of the node.
	Zone string `yaml:"zone" validate:"required"`
	// CallerAddress serves clients.
	CallerAddress string `yaml:"callerAddress" validate:"tcp_addr"`
	// PeerAddress serves other nodes, over TCP and UDP, and is the node's identity.
	PeerAddress string `yaml:"peerAddress" validate:"tcp_addr"`
	// OperatorAddress serves operators, metrics and health.
	OperatorAddress string `yaml:"operatorAddress" validate:"tcp_addr"`
	// Seeds are peer addresses of some other nodes.
	Seeds []string `yaml:"seeds" validate:"dive,tcp_addr"`
	// KeyValueAddress is the platform's key-value service.
	KeyValueAddress string `yaml:"keyValueAddress" validate:"tcp_addr"`
	// MachineListAddress is the platform's machine list; empty means none.
	MachineListAddress string `yaml:"machineListAddress" validate:"omitempty,tcp_addr"`
	// FleetKey is the secret that all nodes share, at least 32 hexadecimal digits.
	FleetKey string `yaml:"fleetKey" validate:"required,min=32,hexadecimal"`
	// DrainDeadline bounds how long a graceful stop waits for open requests.
	DrainDeadline time.Duration `yaml:"drainDeadline" validate:"gt=0"`
	// DrainNotice is how long a draining node keeps accepting new requests, so that load
	// balancers can see that it is not ready.
	DrainNotice time.Duration `yaml:"drainNotice" validate:"min=0"`
	// RevisionFloor is the lowest configuration revision that the node accepts.
	RevisionFloor int64 `yaml:"revisionFloor" validate:"min=0"`
	// ReplicateUpTo is the fleet size up to which every node keeps the whole cache
	// index. Above it, each chain has one home node. All nodes must use the same value.
	ReplicateUpTo int `yaml:"replicateUpTo" validate:"min=0"`
	// MaximumBody bounds the size of a request body in bytes.
	MaximumBody int64 `yaml:"maximumBody" validate:"min=1024"`
	// MemoryMegabytes is the memory that this node may use, in units of 1,000,000 bytes; 0 means unknown. Heads and bodies of
	// requests may hold a share of it.
	MemoryMegabytes float64 `yaml:"memoryMegabytes,omitempty" validate:"min=0,max=1e9"`
	// Descriptors is the number of file descriptors that this node may use; 0 means that the limit of the process
	// applies. It bounds the connections that may be open.
	Descriptors int `yaml:"descriptors,omitempty" validate:"min=0"`
	// BootstrapDigest is the SHA-256 digest of an operator key that works on this
	// node before any operator is declared; empty means none.
	BootstrapDigest string `yaml:"bootstrapDigest" validate:"omitempty,len=64,hexadecimal"`
	// LogLevel is one of debug, info, warn and error.
	LogLevel string `yaml:"logLevel" validate:"oneof=debug info warn error"`
}

// defaultReplicateUpTo is explained in docs/decisions/index.md.
const defaultReplicateUpTo = 32

// Defaults returns the defaults of settings that the file may omit.
func Defaults() Settings {
	return Settings{
		CallerAddress:   "127.0.0.1:8080",
		PeerAddress:     "127.0.0.1:8081",
		OperatorAddress: "127.0.0.1:8082",
		KeyValueAddress: "127.0.0.1:2379",
		DrainDeadline:   10 * time.Minute,
		DrainNotice:     time.Second,
		ReplicateUpTo:   defaultReplicateUpTo,
		MaximumBody:     32 << 20,
		LogLevel:        "info",
	}
}

// Read parses a settings file over the defaults. Call Check to validate the settings
// once the overrides are applied.
func Read(path string) (Settings, error) {
	settings := Defaults()
	data, err := os.ReadFile(path)
	if err != nil {
		return settings, errors.Annotate(err, "cannot read settings; specify a readable file")
	}
	err = strictyaml.DecodePartial(path, data, &settings)
	return settings, err
}

// Check validates the effective settings and reports all problems.
func (settings *Settings) Check() error {
	return strictyaml.Validate("(effective settings)", settings)
}

// Key decodes the fleet key.
func (settings *Settings) Key() []byte {
	key, _ := hex.DecodeString(settings.FleetKey)
	return key
}

// bytesPerMegabyte converts MemoryMegabytes.
const bytesPerMegabyte = 1_000_000

// MemoryBytes returns the memory that this node may use, in bytes; 0 means unknown.
func (settings *Settings) MemoryBytes() int64 {
	return int64(settings.MemoryMegabytes * bytesPerMegabyte)
}

// Redacted returns a copy without secrets, for printing.
func (settings Settings) Redacted() Settings {
	if settings.FleetKey != "" {
		settings.FleetKey = "(hidden)"
	}
	return settings
}
