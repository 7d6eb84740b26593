// Command cloverrail runs a node or a proxy, and the operators' commands.
package main

import (
	"context"
	"os"

	"github.com/cloverrail/cloverrail/internal/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args, proxyCommand()))
}
