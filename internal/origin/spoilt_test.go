package origin

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// Guards against a spoilt archive entry that ends the process that reads it, or that takes more memory than it has
// bytes.
func TestSpoiltEntryEndsNoProcess(t *testing.T) {
	property.CheckMany(t, 2000, func(t *rapid.T) {
		streams := map[Key]Origin{}
		for range rapid.IntRange(0, 5).Draw(t, "streams") {
			streams[Key(rapid.Uint64().Draw(t, "key"))] = Origin{Service: "engines", Software: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "software")}
		}
		value, err := encodeEntry(streams)
		require.NoError(t, err)
		spoilt := property.Spoil(t, value)
		decoded, _ := decodeEntry(spoilt)
		require.LessOrEqual(t, len(decoded), len(spoilt)/keyBytes)
	})
}
