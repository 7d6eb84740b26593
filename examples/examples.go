// Package examples holds the example declarations.
package examples

import "embed"

// Files are the declarations of this folder.
//
//go:embed *.yaml
var Files embed.FS
