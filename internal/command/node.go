package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/gateway"
	"github.com/cloverrail/cloverrail/internal/node"
	"github.com/cloverrail/cloverrail/internal/operator"
	"github.com/cloverrail/cloverrail/internal/settings"
)

const (
	environmentPrefix = "CLOVERRAIL_"
	// gcPercent makes the garbage collector run at half the heap growth of Go's default: open
	// streams produce little garbage, and their memory is what a node runs out of first. The
	// environment variable GOGC overrides it.
	gcPercent = 50
	// goMemoryShare is the share of a node's memory that the runtime keeps within by collecting garbage more often.
	goMemoryShare = 0.75
)

// Node returns the command that runs a node.
func Node() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run a node",
		Description: `Settings come from a YAML file, overridden by the environment, overridden by flags.

Examples:
  cloverrail node --settings node.yaml
  cloverrail node --settings node.yaml --zone espoo-a --print-settings`,
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Sources: cli.EnvVars(environmentPrefix + "SETTINGS")},
			&cli.BoolFlag{Name: "print-settings", Usage: "print the effective settings and exit"},
		}, settingFlags()...),
		Action: runNode,
	}
}

func settingFlags() []cli.Flag {
	text := func(name, variable, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(environmentPrefix + variable)}
	}
	return []cli.Flag{
		text("zone", "ZONE", "`ZONE` the node stands in"),
		text("caller-address", "CALLER_ADDRESS", "`IP:PORT` that serves callers"),
		text("peer-address", "PEER_ADDRESS", "`IP:PORT` that serves other nodes"),
		text("operator-address", "OPERATOR_ADDRESS", "`IP:PORT` that serves operators"),
		&cli.StringSliceFlag{Name: "seed", Usage: "peer `IP:PORT` of another node; may be repeated", Sources: cli.EnvVars(environmentPrefix + "SEEDS")},
		text("key-value-address", "KEY_VALUE_ADDRESS", "`IP:PORT` of the key-value service"),
		text("machine-list-address", "MACHINE_LIST_ADDRESS", "`IP:PORT` of the machine list"),
		text("fleet-key", "FLEET_KEY", "secret that all nodes share, in `HEX`; better given by the environment"),
		&cli.DurationFlag{Name: "drain-deadline", Usage: "longest `TIME` that a planned stop waits", Sources: cli.EnvVars(environmentPrefix + "DRAIN_DEADLINE")},
		&cli.DurationFlag{Name: "drain-notice", Usage: "`TIME` that a draining node still takes new requests", Sources: cli.EnvVars(environmentPrefix + "DRAIN_NOTICE")},
		&cli.Int64Flag{Name: "revision-floor", Usage: "lowest configuration `REVISION` to accept", Sources: cli.EnvVars(environmentPrefix + "REVISION_FLOOR")},
		&cli.IntFlag{Name: "replicate-up-to", Usage: "largest `FLEET` in which every node keeps the whole index", Sources: cli.EnvVars(environmentPrefix + "REPLICATE_UP_TO")},
		&cli.Int64Flag{Name: "maximum-body", Usage: "largest request body in `BYTES`", Sources: cli.EnvVars(environmentPrefix + "MAXIMUM_BODY")},
		&cli.FloatFlag{Name: "memory-megabytes", Usage: "`MEGABYTES` of memory that the node may use", Sources: cli.EnvVars(environmentPrefix + "MEMORY_MEGABYTES")},
		&cli.IntFlag{Name: "descriptors", Usage: "`NUMBER` of file descriptors that the node may use", Sources: cli.EnvVars(environmentPrefix + "DESCRIPTORS")},
		text("bootstrap-digest", "BOOTSTRAP_DIGEST", "SHA-256 `DIGEST` of the first operator's key"),
		text("log-level", "LOG_LEVEL", "`LEVEL`: debug, info, warn or error"),
	}
}

// effectiveSettings returns the settings of the file, overridden by the environment and flags.
func effectiveSettings(command *cli.Command) (settings.Settings, error) {
	config := settings.Defaults()
	if path := command.String("settings"); path != "" {
		var err error
		if config, err = settings.Read(path); err != nil {
			return config, err
		}
	}
	for name, target := range map[string]*string{
		"zone": &config.Zone, "caller-address": &config.CallerAddress, "peer-address": &config.PeerAddress,
		"operator-address": &config.OperatorAddress, "key-value-address": &config.KeyValueAddress,
		"machine-list-address": &config.MachineListAddress, "fleet-key": &config.FleetKey,
		"bootstrap-digest": &config.BootstrapDigest, "log-level": &config.LogLevel,
	} {
		if command.IsSet(name) {
			*target = command.String(name)
		}
	}
	if command.IsSet("seed") {
		config.Seeds = command.StringSlice("seed")
	}
	if command.IsSet("drain-deadline") {
		config.DrainDeadline = command.Duration("drain-deadline")
	}
	if command.IsSet("drain-notice") {
		config.DrainNotice = command.Duration("drain-notice")
	}
	if command.IsSet("revision-floor") {
		config.RevisionFloor = command.Int64("revision-floor")
	}
	if command.IsSet("replicate-up-to") {
		config.ReplicateUpTo = command.Int("replicate-up-to")
	}
	if command.IsSet("maximum-body") {
		config.MaximumBody = command.Int64("maximum-body")
	}
	if command.IsSet("memory-megabytes") {
		config.MemoryMegabytes = command.Float("memory-megabytes")
	}
	if command.IsSet("descriptors") {
		config.Descriptors = command.Int("descriptors")
	}
	return config, config.Check()
}

func runNode(ctx context.Context, command *cli.Command) error {
	config, err := effectiveSettings(command)
	if err != nil {
		return err
	}
	if command.Bool("print-settings") {
		text, err := yaml.Marshal(config.Redacted())
		if err != nil {
			return errors.Trace(err)
		}
		_, err = writer(command).Write(text)
		return err
	}
	level, err := zerolog.ParseLevel(config.LogLevel)
	if err != nil {
		return errors.Trace(err)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("node", config.PeerAddress).Logger()
	created, err := node.New(config, log, node.Options{})
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if memory := config.MemoryBytes(); memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(goMemoryShare * float64(memory)))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return created.Run(ctx, gateway.New(created), operator.NewServer(created, config.BootstrapDigest))
}
