package reflector

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

// legacyGroup is a copy of the group of a build whose work has four values.
type legacyGroup struct {
	Work  []legacyWork
	Quota []byte
	Loads []byte
	Kept  []byte
}

// Guards against builds side by side that cannot read each other's groups: the values of all builds
// are read by each, and the others only where both know them.
func TestGroupsWithAndWithoutOccupancyAreRead(t *testing.T) {
	basic := backend.Work{Server: 9, Running: 2, QueuedTokens: 40, Suspects: 1}
	full := basic
	full.AnswerAge, full.ResidentTokens, full.SharedPrefixes, full.Full = 70*time.Millisecond, 5000, 0x30, 2
	for _, reported := range []backend.Work{basic, full} {
		for _, loads := range []*backend.Loads{nil, {Mark: backend.LoadsMark{Fence: 1}}} {
			encoded := &bytes.Buffer{}
			require.NoError(t, Group{Report: workshare.Report{Work: []backend.Work{reported}}, Kept: []byte{7}, Loads: loads}.encode(encoded))
			var old legacyGroup
			require.NoError(t, gob.NewDecoder(bytes.NewReader(encoded.Bytes())).Decode(&old))
			require.Equal(t, []legacyWork{{Server: 9, Running: 2, QueuedTokens: 40, Suspects: 1}}, old.Work)
			var wired wireGroup
			require.NoError(t, gob.NewDecoder(encoded).Decode(&wired))
			group, err := wired.group()
			require.NoError(t, err)
			require.Equal(t, []backend.Work{reported}, group.Report.Work)
			require.Equal(t, []byte{7}, group.Kept)
			require.Equal(t, loads, group.Loads)
		}
	}
}
