// Package strictyaml decodes YAML files and reports all errors of a file at once,
// each with its file, line, field and remedy.
package strictyaml

import (
	"fmt"
	"strings"
)

// Diagnostic describes one error in a file.
type Fault struct {
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
func (fault Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", fault.File, fault.Line, fault.Field, fault.Problem, fault.Remedy)
}

// Diagnostics is the error that holds all diagnostics of one file.
type Faults []Fault

// Error returns the diagnostics, one per line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for index, fault := range faults {
		lines[index] = fault.String()
	}
	return strings.Join(lines, "\n")
}
