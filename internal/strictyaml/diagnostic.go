// Package strictyaml decodes YAML files and reports all errors of a file at once,
// each with its file, line, field and remedy.
package strictyaml

import (
	"fmt"
	"strings"
)

// Diagnostic describes one error in a file.
type Diagnostic struct {
	// File is the name of the file as given by the caller.
	File string
	// Line counts from 1; 0 means that the line is not known.
	Line int
	// Field is the path of the value, such as tenants[2].limits.burst.
	Field string
	// Problem describes the error.
	Problem string
	// Remedy describes how to correct it.
	Remedy string
}

// String formats the diagnostic on one line.
func (diagnostic Diagnostic) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", diagnostic.File, diagnostic.Line, diagnostic.Field, diagnostic.Problem, diagnostic.Remedy)
}

// Diagnostics is the error that holds all diagnostics of one file.
type Diagnostics []Diagnostic

// Error returns the diagnostics, one per line.
func (diagnostics Diagnostics) Error() string {
	lines := make([]string, len(diagnostics))
	for index, diagnostic := range diagnostics {
		lines[index] = diagnostic.String()
	}
	return strings.Join(lines, "\n")
}
