package node

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/configstore"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/metrics"
)

func versionOf(t *testing.T, revision int64) *configstore.Version {
	t.Helper()
	parts, err := configstore.Split(&configuration.Declaration{Version: 1, Fleet: "f"})
	require.NoError(t, err)
	return &configstore.Version{Revision: revision, Parts: parts}
}

func TestPartsAreReadyBeforeRequestsSeeASnapshot(t *testing.T) {
	made := &catalog{log: zerolog.Nop(), metrics: metrics.New()}
	order := []string{}
	made.prepare = func(snapshot *configuration.Snapshot) {
		require.NotEqual(t, snapshot, made.snapshot.Load(), "the snapshot is not visible yet")
		order = append(order, "prepare")
	}
	made.adopted = func(snapshot *configuration.Snapshot) {
		require.Equal(t, snapshot, made.snapshot.Load())
		order = append(order, "adopted")
	}
	require.True(t, made.adopt(versionOf(t, 5)))
	require.Equal(t, []string{"prepare", "adopted"}, order)
}

func TestOnlyHigherRevisionsAreAdopted(t *testing.T) {
	ignore := func(*configuration.Snapshot) {}
	made := &catalog{log: zerolog.Nop(), metrics: metrics.New(), floor: 3, prepare: ignore, adopted: ignore}
	require.False(t, made.adopt(versionOf(t, 2)), "below the minimum revision")
	require.True(t, made.adopt(versionOf(t, 5)))
	require.False(t, made.adopt(versionOf(t, 5)))
	require.False(t, made.adopt(versionOf(t, 4)))
	require.EqualValues(t, 5, made.revision())
}
