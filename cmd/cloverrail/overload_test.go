package main

import (
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/overload"
)

// Guards against demand that other nodes do not learn of: a node under pressure reports the demand
// for its service by rank, and its peers add it to their own.
func TestDemandByRankReachesOtherNodes(t *testing.T) {
	f := newFleet(t, 2, 1)
	first, second := f.nodes[0].process.overload, f.nodes[1].process.overload
	number := uint64(0)
	request := overload.Request{
		Rank: 3, Predicted: 2 * time.Second, Target: time.Second, FullTarget: time.Second, Remaining: 9 * time.Second, MinRetryAfter: time.Millisecond,
		Tokens: 500, SlotTime: 100 * time.Millisecond, TokensPerSecond: 1e5, SlotsInUse: 16, Slots: 16, Waiting: 3,
	}
	own := second.Controller("engines", boottime.Now())
	f.nodes[1].waitUntil(func() bool {
		number++
		request.Caller = number
		first.Controller("engines", boottime.Now()).Admit(request, boottime.Now())
		return own.FleetDemand(3, boottime.Now()) > 100 && own.Promised(boottime.Now())
	})
	require.Zero(t, own.FleetDemand(2, boottime.Now()))
	require.Equal(t, overload.Pressure, first.States(boottime.Now())["engines"])
	recorded := httptest.NewRecorder()
	promhttp.HandlerFor(f.nodes[0].process.metrics.Registry, promhttp.HandlerOpts{}).ServeHTTP(recorded, httptest.NewRequest("GET", "/metrics", nil))
	text, err := io.ReadAll(recorded.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), fmt.Sprintf("cloverrail_proxy_overload_pressure{service=%q} 1", "engines"))
}
