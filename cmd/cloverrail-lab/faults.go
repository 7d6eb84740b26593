package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/lab/faults"
)

const maxShownViolations = 5

func faultsCommand() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "harm a fleet of real processes under load and check what must always hold",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Value: "kuusisto", Usage: "`PROFILE`: kuusisto or dakar"},
			&cli.IntFlag{Name: "nodes", Value: 3},
			&cli.DurationFlag{Name: "duration", Value: 45 * time.Second},
			&cli.IntFlag{Name: "callers", Value: 16},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the order of faults"},
			&cli.BoolFlag{Name: "homes", Usage: "give each chain of the index one home, as in a large fleet"},
			&cli.BoolFlag{Name: "verbose", Usage: "print the nodes' logs"},
		},
		Action: runFaults,
	}
}

func runFaults(ctx context.Context, command *cli.Command) error {
	started, err := startCluster(ctx, command, 0.02, 30*time.Second)
	if err != nil {
		return err
	}
	defer started.Stop()
	fmt.Printf("seed %d, %d nodes, %d engines, %s\n", command.Uint64("seed"), len(started.Nodes), len(started.Engines), command.Duration("duration"))
	verdicts := faults.Run(ctx, faults.Config{
		Cluster: started, Target: loadTarget(started), Seed: command.Uint64("seed"),
		Duration: command.Duration("duration"), Callers: command.Int("callers"), Output: os.Stdout,
	})
	columns := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(columns, "GUARANTEE\tCHECKED\tVIOLATIONS\tVERDICT")
	violated := false
	for _, verdict := range verdicts {
		result := "holds"
		if verdict.Checked == 0 {
			result = "not run"
		}
		if len(verdict.Violations) > 0 {
			result, violated = "VIOLATED", true
		}
		fmt.Fprintf(columns, "%s\t%d\t%d\t%s\n", verdict.Guarantee, verdict.Checked, len(verdict.Violations), result)
	}
	if err := columns.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, verdict := range verdicts {
		for _, violation := range verdict.Violations[:min(maxShownViolations, len(verdict.Violations))] {
			fmt.Printf("%s: %s\n", verdict.Guarantee, violation)
		}
	}
	if violated {
		return errors.New("a guarantee was violated")
	}
	return nil
}
