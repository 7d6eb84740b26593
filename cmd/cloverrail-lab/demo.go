package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/examples"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/lab/cluster"
	"github.com/cloverrail/cloverrail/internal/lab/load"
)

// stepTimes holds the minimum duration of an engine step in each profile.
var stepTimes = map[string]time.Duration{"kuusisto": 6 * time.Millisecond, "dakar": 4 * time.Millisecond}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "start a fleet with its stand-ins, send load, print a summary",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Value: "kuusisto", Usage: "`PROFILE`: kuusisto or dakar"},
			&cli.IntFlag{Name: "nodes", Value: 3},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.IntFlag{Name: "callers", Value: 24, Usage: "requests open at once"},
			&cli.BoolFlag{Name: "homes", Usage: "give each chain of the index one home, as in a large fleet"},
			&cli.BoolFlag{Name: "verbose", Usage: "print the nodes' logs"},
		},
		Action: runDemo,
	}
}

func exampleDeclaration(profile string) (*configuration.Declaration, error) {
	text, err := examples.Files.ReadFile(profile + ".yaml")
	if err != nil {
		return nil, errors.Errorf("%q is not a profile; use kuusisto or dakar", profile)
	}
	return configuration.Parse("examples/"+profile+".yaml", text)
}

func startCluster(ctx context.Context, command *cli.Command, eventLossRate float64, machineListLag time.Duration) (*cluster.Cluster, error) {
	declaration, err := exampleDeclaration(command.String("profile"))
	if err != nil {
		return nil, err
	}
	return startWithDeclaration(ctx, command, declaration, eventLossRate, machineListLag)
}

func startWithDeclaration(ctx context.Context, command *cli.Command, declaration *configuration.Declaration, eventLossRate float64, machineListLag time.Duration) (*cluster.Cluster, error) {
	var log io.Writer
	if command.Bool("verbose") {
		log = os.Stderr
	}
	return cluster.Start(ctx, cluster.Config{
		PartitionIndex: command.Bool("homes"),
		Declaration:    declaration, Nodes: command.Int("nodes"), EventLossRate: eventLossRate, MachineListLag: machineListLag, Log: log,
		StepTime: stepTimes[command.String("profile")],
	})
}

func loadTarget(started *cluster.Cluster) load.Target {
	declaration := started.Declaration
	target := load.Target{Model: declaration.Models[0].Name, BlockBytes: declaration.Pools[0].BlockBytes}
	for _, node := range started.Nodes {
		target.Addresses = append(target.Addresses, node.CallerAddress)
	}
	for _, tenant := range declaration.Tenants {
		target.Tenants = append(target.Tenants, tenant.Name)
	}
	for _, route := range declaration.Services[0].Routes {
		if !route.Repeatable {
			target.AtMostOncePath = route.Path
		}
	}
	return target
}

func runDemo(ctx context.Context, command *cli.Command) error {
	startedAt := time.Now()
	started, err := startCluster(ctx, command, 0, 5*time.Second)
	if err != nil {
		return err
	}
	defer started.Stop()
	fmt.Printf("%d nodes, %d engines and %d plain servers ready after %s\n",
		len(started.Nodes), len(started.Engines), len(started.Servers), time.Since(startedAt).Round(time.Millisecond))
	generator := load.New(loadTarget(started), 1)
	ctx, cancel := context.WithTimeout(ctx, command.Duration("duration"))
	defer cancel()
	runLoad(ctx, generator, command.Int("callers"), len(started.Nodes))
	summary := load.Summarize(generator.History)
	if err := summary.Print(os.Stdout); err != nil {
		return errors.Trace(err)
	}
	if summary.Incorrect > 0 || summary.Broken > 0 {
		return errors.New("some responses were wrong or incomplete; run again with --verbose")
	}
	return nil
}

// waitRetryAfter waits for the Retry-After time of a rejection. It returns at once if the record has
// none.
func waitRetryAfter(ctx context.Context, record load.Record) {
	seconds, err := strconv.Atoi(record.RetryAfter)
	if err != nil {
		return
	}
	select {
	case <-time.After(time.Duration(seconds) * time.Second):
	case <-ctx.Done():
	}
}

// runLoad sends requests from concurrent callers until the context ends, and prints their number
// every second. It waits for open requests to finish.
func runLoad(ctx context.Context, generator *load.Generator, callers, nodes int) {
	kinds := []load.Kind{load.Streaming, load.Streaming, load.NonStreaming, load.AtMostOnce}
	var done sync.WaitGroup
	for caller := range callers {
		done.Go(func() {
			for sequence := caller; ctx.Err() == nil; sequence++ {
				record := generator.Request(context.WithoutCancel(ctx), kinds[sequence%len(kinds)], sequence%nodes)
				waitRetryAfter(ctx, record)
			}
		})
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			fmt.Printf("  %d requests\n", generator.Count())
		case <-ctx.Done():
		}
	}
	done.Wait()
}
