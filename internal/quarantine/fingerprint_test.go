package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// Two requests have the same fingerprint if and only if caller, method, host, target and body
// are equal.
func TestAFingerprintTellsRequestsApart(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		// A small alphabet makes ambiguous concatenations likely.
		word := rapid.StringMatching(`[ab/]{0,3}`)
		draw := func(label string) Identity {
			return Identity{
				Caller: word.Draw(t, label+" caller"), Method: word.Draw(t, label+" method"), Host: word.Draw(t, label+" host"),
				Target: word.Draw(t, label+" target"), Body: []byte(word.Draw(t, label+" body")),
			}
		}
		one, other := draw("one"), draw("other")
		same := one.Caller == other.Caller && one.Method == other.Method && one.Host == other.Host &&
			one.Target == other.Target && string(one.Body) == string(other.Body)
		require.Equal(t, same, one.Fingerprint() == other.Fingerprint())
	})
}
