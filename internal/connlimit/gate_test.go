package connlimit

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// The number of open connections never exceeds the limit, and each one that is closed makes room for another.
func TestGateNeverExceedsLimit(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		g, open := NewGate(limit), 0
		g.now = func() time.Time { return time.Unix(0, 0) }
		g.acceptedAt = g.now()
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if open > 0 && rapid.Bool().Draw(t, "closes") {
				g.Release()
				open--
				continue
			}
			reason, accepted := g.Admit()
			require.Equal(t, open < limit, accepted)
			if accepted {
				open++
			} else {
				require.Equal(t, ReasonFull, reason)
			}
			require.Equal(t, open, g.Open())
		}
	})
}

// A node that is short of processor time soon turns most connections away, some pass all the same, and all do soon after.
func TestGateShedsLoadAndRecovers(t *testing.T) {
	g, now := NewGate(0), time.Unix(0, 0)
	g.now = func() time.Time { return now }
	accepted := func() int {
		n := 0
		for range 1000 {
			if _, ok := g.Admit(); ok {
				n++
			}
		}
		return n
	}
	require.Equal(t, 1000, accepted())
	for range 10 {
		g.ObserveDelay(2*MaxDelay, true)
	}
	require.InDelta(t, 1000*(1-maxShed), accepted(), 40)
	changes := 0
	for range 20 {
		if _, changed := g.ObserveDelay(0, true); changed {
			changes++
		}
	}
	require.Equal(t, 1, changes)
	require.Equal(t, 1000, accepted())
	for range 10 {
		g.ObserveDelay(2*MaxDelay, false)
	}
	require.Equal(t, 1000, accepted(), "the only node")
}

// A node takes a connection now and then whatever its load, and few more than its limit.
func TestGateAlwaysTakesSomeConnections(t *testing.T) {
	g, now := NewGate(8), time.Unix(0, 0)
	g.now, g.random = func() time.Time { return now }, func() float64 { return 0 }
	for range 10 {
		g.ObserveDelay(2*MaxDelay, true)
	}
	for range 9 {
		_, accepted := g.Admit()
		require.True(t, accepted)
		_, accepted = g.Admit()
		require.False(t, accepted)
		now = now.Add(acceptInterval)
	}
	_, accepted := g.Admit()
	require.False(t, accepted, "over the limit and its margin")
}

func TestLimitLeavesDescriptorsForServers(t *testing.T) {
	require.Equal(t, 0, LimitFor(0, 0))
	require.Equal(t, 1750, LimitFor(4100, 0))
	require.Less(t, LimitFor(10250, 144_000_000), 1000, "bounded by memory")
	require.Equal(t, minLimit, LimitFor(20, 0))
	for descriptors := 40; descriptors < 20000; descriptors += 7 {
		require.Less(t, 2*LimitFor(descriptors, 0), descriptors)
	}
}

// A connection beyond the limit is closed before its request is read, and one that was accepted keeps working.
func TestListenerClosesConnectionsUnread(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var turnedAway, read atomic.Int64
	gate := NewGate(1)
	gate.now = func() time.Time { return time.Unix(0, 0) }
	gate.acceptedAt = gate.now()
	listener := &Listener{Listener: plain, Gate: gate, OnTurnedAway: func(Reason, Arrival) { turnedAway.Add(1) }}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { read.Add(1) })}}
	server.Start()
	defer server.Close()
	first, second := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	get := func(c *http.Client) error {
		response, err := c.Get(server.URL)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		return err
	}
	require.NoError(t, get(first))
	require.Error(t, get(second))
	require.NoError(t, get(first))
	require.Equal(t, int64(2), read.Load())
	require.Positive(t, turnedAway.Load())
	first.CloseIdleConnections()
	require.Eventually(t, func() bool { return get(second) == nil }, 10*time.Second, 5*time.Millisecond)
}

func TestMedianOfAddedCounts(t *testing.T) {
	buckets := []float64{0, 0.001, 0.010, 0.100}
	require.Equal(t, time.Duration(0), median(buckets, []uint64{5, 0, 0}, []uint64{5, 0, 0}))
	require.Equal(t, 10*time.Millisecond, median(buckets, []uint64{5, 0, 0}, []uint64{6, 2, 1}))
	require.Equal(t, time.Millisecond, median(buckets, []uint64{0, 9, 9}, []uint64{6, 10, 10}))
	NewDelayMeter().Median()
}
