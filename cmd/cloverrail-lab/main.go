// Command cloverrail-lab is the test tool of cloverrail. It runs stand-ins for the external systems,
// generates load, injects faults and runs experiments. It is never deployed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/cloverrail/cloverrail/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:  "cloverrail-lab",
		Usage: "try cloverrail out against stand-ins",
		Commands: []*cli.Command{
			demoCommand(),
			experimentCommand(),
			faultsCommand(),
			soakCommand(),
			standinCommand(),
			streamsCommand(),
			command.Node(),
		},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
