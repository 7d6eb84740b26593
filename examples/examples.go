// Package examples embeds the example declarations.
package examples

import "embed"

// Files holds the declarations in this directory.
//
//go:embed *.yaml
var Files embed.FS
