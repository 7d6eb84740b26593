package node

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/configstore"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/metrics"
)

func newVersion(t *testing.T, revision int64) *configstore.Version {
	t.Helper()
	parts, err := configstore.Split(&configuration.Declaration{Version: 1, Fleet: "f"})
	require.NoError(t, err)
	return &configstore.Version{Revision: revision, Parts: parts}
}

func TestBeforeActivateRunsBeforeSnapshotIsVisible(t *testing.T) {
	active := &activeConfig{log: zerolog.Nop(), metrics: metrics.New()}
	order := []string{}
	active.beforeActivate = func(snapshot *configuration.Snapshot) {
		require.NotEqual(t, snapshot, active.snapshot.Load(), "the snapshot is not visible yet")
		order = append(order, "prepare")
	}
	active.afterActivate = func(snapshot *configuration.Snapshot) {
		require.Equal(t, snapshot, active.snapshot.Load())
		order = append(order, "adopted")
	}
	require.True(t, active.activate(newVersion(t, 5)))
	require.Equal(t, []string{"prepare", "adopted"}, order)
}

func TestActivateRequiresHigherRevision(t *testing.T) {
	ignore := func(*configuration.Snapshot) {}
	active := &activeConfig{log: zerolog.Nop(), metrics: metrics.New(), minRevision: 3, beforeActivate: ignore, afterActivate: ignore}
	require.False(t, active.activate(newVersion(t, 2)), "below the minimum revision")
	require.True(t, active.activate(newVersion(t, 5)))
	require.False(t, active.activate(newVersion(t, 5)))
	require.False(t, active.activate(newVersion(t, 4)))
	require.EqualValues(t, 5, active.revision())
}
