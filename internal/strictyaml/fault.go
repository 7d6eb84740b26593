// Package strictyaml decodes YAML files and reports every fault at once, each
// with its file, line, field and remedy.
package strictyaml

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a file.
type Fault struct {
	// File is the name the caller gave, as it should be shown.
	File string
	// Line counts from 1; 0 means that no line could be named.
	Line int
	// Field is the path of the value, such as tenants[2].limits.burst.
	Field string
	// Problem says what is wrong.
	Problem string
	// Remedy says what to write instead.
	Remedy string
}

// String renders the fault on one line.
func (fault Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", fault.File, fault.Line, fault.Field, fault.Problem, fault.Remedy)
}

// Faults is the error that carries every fault found in one file.
type Faults []Fault

// Error lists the faults, one a line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for index, fault := range faults {
		lines[index] = fault.String()
	}
	return strings.Join(lines, "\n")
}
