// Package property runs property-based tests with a fixed seed, so that every
// run has the same verdict. It is for tests alone.
package property

import (
	"flag"
	"strconv"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// Seed of all properties. Another one is tried with the flag of
// package rapid: go test ./internal/claim -rapid.seed=7.
const Seed = 20261202

var fix = sync.OnceFunc(func() {
	seed := flag.Lookup("rapid.seed")
	if seed != nil && seed.Value.String() == "0" {
		_ = seed.Value.Set(strconv.Itoa(Seed))
	}
})

// Check runs the property on a fixed sequence of cases.
func Check(t *testing.T, check func(*rapid.T)) {
	t.Helper()
	fix()
	rapid.Check(t, check)
}
