// Package settings holds what a node process is told at its start: a YAML file,
// overridden by the environment, overridden by flags.
package settings

import (
	"encoding/hex"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/strictyaml"
)

// Settings of one node.
type Settings struct {
	// Zone the node stands in.
	Zone string `yaml:"zone" validate:"required"`
	// CallerAddress serves callers.
	CallerAddress string `yaml:"callerAddress" validate:"tcp_addr"`
	// PeerAddress serves other nodes, over TCP and UDP, and is the node's identity.
	PeerAddress string `yaml:"peerAddress" validate:"tcp_addr"`
	// OperatorAddress serves operators, metrics and health.
	OperatorAddress string `yaml:"operatorAddress" validate:"tcp_addr"`
	// Seeds are peer addresses of some other nodes.
	Seeds []string `yaml:"seeds" validate:"dive,tcp_addr"`
	// KeyValueAddress is the platform's key-value service.
	KeyValueAddress string `yaml:"keyValueAddress" validate:"tcp_addr"`
	// MachineListAddress is the platform's list of machines; empty means none.
	MachineListAddress string `yaml:"machineListAddress" validate:"omitempty,tcp_addr"`
	// FleetKey is the secret that all nodes share, at least 32 hexadecimal digits.
	FleetKey string `yaml:"fleetKey" validate:"required,min=32,hexadecimal"`
	// DrainDeadline bounds how long a planned stop waits for open requests.
	DrainDeadline time.Duration `yaml:"drainDeadline" validate:"gt=0"`
	// DrainNotice is how long a node that drains goes on taking new requests, for
	// load balancers to see that it is not ready any more.
	DrainNotice time.Duration `yaml:"drainNotice" validate:"min=0"`
	// RevisionFloor makes a node refuse configurations below it.
	RevisionFloor int64 `yaml:"revisionFloor" validate:"min=0"`
	// ReplicateUpTo is the size of fleet up to which every node keeps the whole
	// cache index. Above it, each chain has one home. All nodes must agree.
	ReplicateUpTo int `yaml:"replicateUpTo" validate:"min=0"`
	// MaximumBody bounds a request's body in bytes.
	MaximumBody int64 `yaml:"maximumBody" validate:"min=1024"`
	// BootstrapDigest is the SHA-256 digest of an operator key that works on this
	// node before any operator is declared; empty means none.
	BootstrapDigest string `yaml:"bootstrapDigest" validate:"omitempty,len=64,hexadecimal"`
	// LogLevel is one of debug, info, warn and error.
	LogLevel string `yaml:"logLevel" validate:"oneof=debug info warn error"`
}

// defaultReplicateUpTo is weighed in docs/decisions/index.md.
const defaultReplicateUpTo = 32

// Defaults for what the file may leave out.
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

// Read parses a settings file over the defaults. Checks come later, once the
// overrides are in.
func Read(path string) (Settings, error) {
	settings := Defaults()
	data, err := os.ReadFile(path)
	if err != nil {
		return settings, errors.Annotate(err, "cannot read the settings; name a file that exists")
	}
	err = strictyaml.DecodePartial(path, data, &settings)
	return settings, err
}

// Check reports all faults of the effective settings.
func (settings *Settings) Check() error {
	return strictyaml.Validate("(effective settings)", settings)
}

// Key decodes the fleet key.
func (settings *Settings) Key() []byte {
	key, _ := hex.DecodeString(settings.FleetKey)
	return key
}

// Redacted returns a copy that may be printed.
func (settings Settings) Redacted() Settings {
	if settings.FleetKey != "" {
		settings.FleetKey = "(hidden)"
	}
	return settings
}
