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
func TestStartTimeIsRequiredWhenMajorityReportsIt(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		startTimes, reports := NewStartTimes(), map[string]bool{}
		for range rapid.IntRange(0, 40).Draw(t, "changes") {
			id := fmt.Sprint("i-", rapid.IntRange(0, 6).Draw(t, "id"))
			if rapid.IntRange(0, 3).Draw(t, "goes") == 0 {
				startTimes.Remove(id)
				delete(reports, id)
				continue
			}
			reports[id] = rapid.Bool().Draw(t, "tells")
			startTimes.Record(id, reports[id])
		}
		reporting := 0
		for _, reported := range reports {
			if reported {
				reporting++
			}
		}
		require.Equal(t, reporting > len(reports)-reporting, startTimes.Required())
	})
}
