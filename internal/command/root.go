// Package command implements the command line of cloverrail.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/operator"
	"github.com/cloverrail/cloverrail/internal/strictyaml"
)

// The exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
	exitUnknown = 3
)

const exitCodeHelp = `Exit codes: 0 done, 1 refused or failed, 2 faulty file or usage,
3 outcome unknown (settle it with: cloverrail apply --settle CHANGE).`

// Main runs the command line, including the added commands, and returns the exit
// code.
func Main(ctx context.Context, arguments []string, added ...*cli.Command) int {
	root := Root()
	root.Commands = append(root.Commands, added...)
	err := root.Run(ctx, arguments)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var diagnostics strictyaml.Diagnostics
	var refusal *failure.Failure
	switch {
	case errors.As(err, &diagnostics):
		return exitInvalid
	case errors.As(err, &refusal) && refusal.Kind == failure.KindInvalidRequest:
		return exitInvalid
	case errors.As(err, &refusal) && refusal.Outcome == failure.Unknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

// Root returns the command tree.
func Root() *cli.Command {
	return &cli.Command{
		Name:        "cloverrail",
		Usage:       "route language-model traffic with long shared prompts",
		Description: exitCodeHelp,
		// Errors are printed and turned into exit codes in one place.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			Node(),
			checkCommand(),
			planCommand(),
			applyCommand(),
			queryCommand(),
			statusCommand(),
			drainCommand(),
			explainCommand(),
			{
				Name:  "version",
				Usage: "print the version",
				Flags: []cli.Flag{outputFlag()},
				Action: func(_ context.Context, command *cli.Command) error {
					version := buildVersion()
					return print(command, version, func() *operator.Table {
						return &operator.Table{Columns: []string{"version", "go"}, Rows: [][]string{{version.Version, version.Go}}}
					})
				},
			},
		},
	}
}

// versionInfo holds the versions of the program and of the Go toolchain that built it.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func buildVersion() versionInfo {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return versionInfo{Version: "unknown", Go: "unknown"}
	}
	return versionInfo{Version: info.Main.Version, Go: info.GoVersion}
}

func writer(command *cli.Command) io.Writer { return command.Root().Writer }
