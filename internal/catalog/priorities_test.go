package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestServiceIsSharedByRoutesOfDifferentPriority(t *testing.T) {
	route := func(priority int, services ...Share) Route { return Route{Priority: priority, Split: services} }
	snapshot := New(Declaration{Routes: []Route{
		route(0, Share{Service: "shared", Weight: 1}),
		route(2, Share{Service: "shared", Weight: 1}, Share{Service: "drained"}),
		route(1, Share{Service: "equal", Weight: 1}, Share{Service: "drained", Weight: 1}),
		route(1, Share{Service: "equal", Weight: 3}),
	}})
	require.True(t, snapshot.SharedByPriorities("shared"))
	require.False(t, snapshot.SharedByPriorities("equal"))
	require.False(t, snapshot.SharedByPriorities("drained"), "a share without weight gets no requests")
	require.False(t, snapshot.SharedByPriorities("unknown"))
}
