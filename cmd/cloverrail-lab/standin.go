package main

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
	"github.com/cloverrail/cloverrail/internal/lab/enginestub"
	"github.com/cloverrail/cloverrail/internal/lab/keptstub"
	"github.com/cloverrail/cloverrail/internal/lab/kvstub"
	"github.com/cloverrail/cloverrail/internal/lab/machinestub"
	"github.com/cloverrail/cloverrail/internal/lab/plainstub"
	"github.com/cloverrail/cloverrail/internal/lab/weightstub"
)

func standinCommand() *cli.Command {
	address := &cli.StringFlag{Name: "address", Required: true, Usage: "`IP:PORT` to serve on"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run one stand-in as a process of its own",
		Commands: []*cli.Command{
			{
				Name: "engine", Usage: "an inference engine",
				Flags: []cli.Flag{address,
					&cli.StringFlag{Name: "weights", Usage: "loaded `MODEL=VERSION,…`"},
					&cli.IntFlag{Name: "block-bytes", Value: 4000},
					&cli.FloatFlag{Name: "prefill", Value: 20000, Usage: "prompt tokens a second"},
					&cli.DurationFlag{Name: "step", Value: 6 * time.Millisecond},
					&cli.FloatFlag{Name: "event-gap", Usage: "share of cache events lost"},
					&cli.StringFlag{Name: "weight-store", Usage: "`IP:PORT` of the weight store"},
				},
				Action: func(ctx context.Context, command *cli.Command) error {
					return serve(ctx, command, newEngine(command))
				},
			},
			{
				Name: "key-value", Usage: "the key-value service", Flags: []cli.Flag{address},
				Action: func(ctx context.Context, command *cli.Command) error { return serve(ctx, command, kvstub.New()) },
			},
			{
				Name: "machines", Usage: "the machine list",
				Flags: []cli.Flag{address, &cli.DurationFlag{Name: "lag"}},
				Action: func(ctx context.Context, command *cli.Command) error {
					return serve(ctx, command, machinestub.New(command.Duration("lag")))
				},
			},
			{
				Name: "weights", Usage: "the weight store",
				Flags: []cli.Flag{address, &cli.DurationFlag{Name: "load", Value: 600 * time.Millisecond}, &cli.IntFlag{Name: "at-once", Value: 3}},
				Action: func(ctx context.Context, command *cli.Command) error {
					return serve(ctx, command, weightstub.New(command.Duration("load"), command.Int("at-once")))
				},
			},
			{
				Name: "kept", Usage: "the store of kept KV cache",
				Flags: []cli.Flag{address, &cli.IntFlag{Name: "blocks", Value: 20_000, Usage: "capacity"}},
				Action: func(ctx context.Context, command *cli.Command) error {
					return serve(ctx, command, keptstub.New(command.Int("blocks")))
				},
			},
			{
				Name: "plain", Usage: "a plain service",
				Flags: []cli.Flag{address, &cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond}},
				Action: func(ctx context.Context, command *cli.Command) error {
					return serve(ctx, command, plainstub.New(command.Duration("work")))
				},
			},
		},
	}
}

func newEngine(command *cli.Command) http.Handler {
	weights := map[string]string{}
	for _, pair := range strings.Split(command.String("weights"), ",") {
		model, version, _ := strings.Cut(pair, "=")
		weights[model] = version
	}
	blockBytes := command.Int("block-bytes")
	model := enginemodel.StandardConfig(command.Duration("step"), command.Float("prefill"))
	model.BlockTokens = blockBytes / 4
	return enginestub.New(enginestub.Config{Model: model, BlockBytes: blockBytes, Weights: weights, EventLossRate: command.Float("event-gap"), WeightStore: command.String("weight-store")})
}

func serve(ctx context.Context, command *cli.Command, handler http.Handler) error {
	listener, err := net.Listen("tcp", command.String("address"))
	if err != nil {
		return errors.Annotate(err, "cannot listen; choose a free port")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
