// Package property runs property-based tests with a fixed seed, so that every run
// has the same result. It is for tests only.
package property

import (
	"flag"
	"strconv"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// Seed is the default seed of all property tests. To use another one, set the
// flag of package rapid: go test ./internal/claim -rapid.seed=7.
const Seed = 20261202

var fix = sync.OnceFunc(func() {
	seed := flag.Lookup("rapid.seed")
	if seed != nil && seed.Value.String() == "0" {
		_ = seed.Value.Set(strconv.Itoa(Seed))
	}
})

// CheckMany runs Check with at least the given number of cases, for failures that
// occur in few of them.
func CheckMany(t *testing.T, cases int, check func(*rapid.T)) {
	t.Helper()
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	if number, err := strconv.Atoi(before); err == nil && number < cases {
		_ = checks.Value.Set(strconv.Itoa(cases))
		defer func() { _ = checks.Value.Set(before) }()
	}
	Check(t, check)
}

// Check checks the property on the sequence of cases that the seed determines.
func Check(t *testing.T, check func(*rapid.T)) {
	t.Helper()
	fix()
	rapid.Check(t, check)
}
