package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestServiceIsSharedByRoutesOfDifferentPriority(t *testing.T) {
	route := func(priority int, services ...Share) Route { return Route{Priority: priority, Split: services} }
	engines := func(name string) Service { return Service{Name: name, Engine: &Engine{}} }
	services := []Service{engines("shared"), engines("equal"), engines("drained")}
	snapshot := New(Declaration{Services: services, Routes: []Route{
		route(0, Share{Service: "shared", Weight: 1}),
		route(2, Share{Service: "shared", Weight: 1}, Share{Service: "drained"}),
		route(1, Share{Service: "equal", Weight: 1}, Share{Service: "drained", Weight: 1}),
		route(1, Share{Service: "equal", Weight: 3}),
	}})
	require.True(t, snapshot.SharesPriorities("shared"))
	require.False(t, snapshot.SharesPriorities("equal"))
	require.False(t, snapshot.SharesPriorities("drained"), "a share without weight gets no requests")
	require.False(t, snapshot.SharesPriorities("unknown"))
}
