package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/operator"
)

func fileArgument(command *cli.Command) (string, error) {
	if command.Args().Len() != 1 {
		return "", failure.New(failure.KindInvalidRequest, fmt.Sprintf("exactly one declaration file is required, got %d arguments", command.Args().Len()), "run: cloverrail "+command.Name+" FILE")
	}
	return command.Args().First(), nil
}

// parseFileArgument reads and validates the declaration file named on the command line.
func parseFileArgument(command *cli.Command) (path string, declared *configuration.Declaration, err error) {
	if path, err = fileArgument(command); err != nil {
		return "", nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", nil, failure.New(failure.KindInvalidRequest, err.Error(), "specify a readable file")
	}
	declared, err = configuration.Parse(path, text)
	return path, declared, err
}

// checkResult is the output of the check command.
type checkResult struct {
	File    string `json:"file"`
	Fleet   string `json:"fleet"`
	Tenants int    `json:"tenants"`
	Pools   int    `json:"pools"`
	Models  int    `json:"models"`
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check a declaration without a fleet",
		ArgsUsage:   "FILE",
		Description: "Reports every fault with its line and remedy.\n\nExample:\n  cloverrail check examples/kuusisto.yaml",
		Flags:       []cli.Flag{outputFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			path, declared, err := parseFileArgument(command)
			if err != nil {
				return err
			}
			result := checkResult{File: path, Fleet: declared.Fleet, Tenants: len(declared.Tenants), Pools: len(declared.Pools), Models: len(declared.Models)}
			return print(command, result, func() *operator.Table {
				return &operator.Table{Columns: []string{"file", "fleet", "tenants", "pools", "models"}, Rows: [][]string{{
					result.File, result.Fleet, fmt.Sprint(result.Tenants), fmt.Sprint(result.Pools), fmt.Sprint(result.Models)}}}
			})
		},
	}
}

func planCommand() *cli.Command {
	return &cli.Command{
		Name:        "plan",
		Usage:       "show what a declaration would change",
		ArgsUsage:   "FILE",
		Description: "Example:\n  cloverrail plan --node 127.0.0.1:8082 examples/kuusisto.yaml",
		Flags:       clientFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			path, declared, err := parseFileArgument(command)
			if err != nil {
				return err
			}
			answer, err := post[operator.PlanResponse](ctx, command, "plan", operator.ApplyRequest{File: filepath.Base(path), Declaration: declared})
			if err != nil {
				return err
			}
			return print(command, answer, func() *operator.Table {
				table := &operator.Table{Columns: []string{fmt.Sprintf("against revision %d", answer.Revision)}}
				for _, line := range answer.Differences {
					table.Rows = append(table.Rows, []string{line.String()})
				}
				if len(answer.Differences) == 0 {
					table.Rows = append(table.Rows, []string{"no difference"})
				}
				return table
			})
		},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a declaration in force",
		ArgsUsage: "FILE",
		Description: `Accepted means in force for good. When the outcome cannot be known, the exit
code is 3 and --settle decides it later: the change is either in force, or voided.

Examples:
  cloverrail apply --node 127.0.0.1:8082 examples/kuusisto.yaml
  cloverrail apply --node 127.0.0.1:8082 --settle 4f0c…`,
		Flags: append(clientFlags(),
			&cli.Int64Flag{Name: "base", Usage: "refuse unless `REVISION` is still in force"},
			&cli.StringFlag{Name: "settle", Usage: "decide what became of `CHANGE`"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			if change := command.String("settle"); change != "" {
				answer, err := post[operator.ChangeResponse](ctx, command, "settle", operator.SettleRequest{ChangeID: change})
				return printChange(command, answer, err)
			}
			path, declared, err := parseFileArgument(command)
			if err != nil {
				return err
			}
			change := uuid.NewString()
			answer, err := post[operator.ChangeResponse](ctx, command, "apply", operator.ApplyRequest{
				ChangeID: change, File: filepath.Base(path), Declaration: declared, BaseRevision: command.Int64("base")})
			if err != nil && failure.As(err).Outcome == failure.Unknown {
				return failure.New(failure.KindUnknownOutcome, "unknown whether change "+change+" took effect: "+failure.As(err).Problem,
					"run: cloverrail apply --settle "+change).WithOutcome(failure.Unknown)
			}
			return printChange(command, answer, err)
		},
	}
}

func printChange(command *cli.Command, answer operator.ChangeResponse, err error) error {
	if err != nil {
		return err
	}
	return print(command, answer, func() *operator.Table {
		return &operator.Table{Columns: []string{"accepted", "revision", "change"},
			Rows: [][]string{{fmt.Sprint(answer.Accepted), fmt.Sprint(answer.Revision), answer.ChangeID}}}
	})
}
