package bufferpool

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

func TestBuffersHaveRoomAndAreNotShared(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		taken := [][]byte{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if len(taken) > 0 && rapid.Bool().Draw(t, "put") {
				Put(taken[0])
				taken = taken[1:]
				continue
			}
			// Some buffers are not of Get.
			Put(make([]byte, rapid.SampledFrom([]int{0, 3, 100, MaxBytes + 1}).Draw(t, "foreign")))
			bytes := rapid.OneOf(rapid.IntRange(1, 300), rapid.SampledFrom([]int{MaxBytes - 1, MaxBytes})).Draw(t, "bytes")
			buffer := Get(bytes)
			require.Empty(t, buffer)
			require.Equal(t, Size(bytes), cap(buffer))
			require.GreaterOrEqual(t, cap(buffer), bytes)
			for _, other := range taken {
				require.NotSame(t, &other[:1][0], &buffer[:1][0])
			}
			taken = append(taken, buffer)
		}
	})
}
