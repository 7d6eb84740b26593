package backend

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// A start time is required exactly while a majority of the present entries report one, in
// whatever order entries are added, changed and removed.
func TestAStartIsExpectedWhereMostTellIt(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		starts, there := NewStarts(), map[string]bool{}
		for range rapid.IntRange(0, 40).Draw(t, "changes") {
			id := fmt.Sprint("i-", rapid.IntRange(0, 6).Draw(t, "id"))
			if rapid.IntRange(0, 3).Draw(t, "goes") == 0 {
				starts.Forget(id)
				delete(there, id)
				continue
			}
			there[id] = rapid.Bool().Draw(t, "tells")
			starts.Note(id, there[id])
		}
		telling := 0
		for _, tells := range there {
			if tells {
				telling++
			}
		}
		require.Equal(t, telling > len(there)-telling, starts.Expected())
	})
}
