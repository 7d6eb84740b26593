package reflector

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/property"
)

func drawWork(t *rapid.T) []backend.Work {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) backend.Work {
		return backend.Work{
			Server:         rapid.Uint64().Draw(t, "server"),
			Running:        rapid.IntRange(0, 100).Draw(t, "running"),
			AnswerAge:      time.Duration(rapid.IntRange(0, 2000).Draw(t, "age ms")) * time.Millisecond,
			ResidentTokens: rapid.IntRange(0, 1e6).Draw(t, "resident"),
			Full:           rapid.IntRange(0, 80).Draw(t, "full"),
			SharedPrefixes: backend.PrefixSet(rapid.SampledFrom([]uint64{0, 5, 1 << 60, 0x123456789, math.MaxUint64}).Draw(t, "prefixes")),
			Prefill:        capacity.Votes(rapid.SampledFrom([]uint64{0, 1 << 44}).Draw(t, "votes")),
		}
	}), 1, 80).Draw(t, "work")
}

// Guards against values that change on their way between nodes.
func TestWorkIsUnpackedAsPacked(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		all := drawWork(t)
		packed, details := packWork(all)
		require.Equal(t, all, unpackWork(packed, details))
	})
}

// Guards against reports of other builds, or damaged ones, that cost a node the work itself.
func TestUnreadableDetailsLeaveTheWork(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		all := drawWork(t)
		packed, _ := packWork(all)
		unpacked := unpackWork(packed, rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "details"))
		require.Len(t, unpacked, len(all))
		for i, w := range unpacked {
			require.Equal(t, all[i].Server, w.Server)
			require.Equal(t, all[i].Running, w.Running)
			require.GreaterOrEqual(t, w.ResidentTokens, 0)
		}
	})
}

// Guards against an answer less than a millisecond ago that is reported as none.
func TestRecentAnswerKeepsAnAge(t *testing.T) {
	packed, details := packWork([]backend.Work{{Server: 1, AnswerAge: 1}})
	require.Equal(t, time.Millisecond, unpackWork(packed, details)[0].AnswerAge)
}
