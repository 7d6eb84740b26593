package origin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/fleet"
)

// The size to design for: 340 nodes and 3,800 requests a second, for control 8 KB a second and node.
const (
	designNodes             = 340
	designRequestsPerSecond = 3800
	maxControlBytes         = 8000
)

// packetOverhead is the size of the headers of TCP and IP. A request and its response take a packet
// each, and one that only acknowledges.
const packetOverhead = 40

// countingConn counts the bytes that one side sends and receives.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// What a stream costs between nodes does not grow with the fleet, and with all streams recorded a
// node sends less than control may.
func TestRecordTrafficDoesNotGrowWithFleet(t *testing.T) {
	perStream := map[int]float64{}
	for _, nodes := range []int{4, 16, 64} {
		var sent, received atomic.Int64
		client := clientOf(t, "node-0", newPeers(t, nodes)...)
		client.HTTP = &http.Client{Transport: &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			plain, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{plain, &sent, &received}, err
		}}}
		const streams = 500
		for i := range streams {
			require.True(t, client.Send(t.Context(), NewKey("tenant", fmt.Sprint("try-", i)), Origin{Service: "oraakeli", Software: "v1.2"}))
		}
		time.Sleep(50 * time.Millisecond)
		// A node sends requests for its streams, and as many responses to other nodes'.
		bytes := float64(sent.Load()+received.Load())/streams + holdersPerStream*3*packetOverhead
		perStream[nodes] = bytes
		t.Logf("%d nodes: %.0f bytes a stream (%.0f of requests, %.0f of responses)", nodes, bytes, float64(sent.Load())/streams, float64(received.Load())/streams)
	}
	require.InEpsilon(t, perStream[4], perStream[64], 0.05)
	perSecond := perStream[64] * designRequestsPerSecond / designNodes
	t.Logf("at the size to design for: %.0f bytes a second and node", perSecond)
	require.Less(t, perSecond, float64(maxControlBytes))
}

// Choosing the holders of a stream is part of its first event's delay.
func BenchmarkRankHolders(b *testing.B) {
	nodes := make([]fleet.Node, designNodes)
	for i := range nodes {
		nodes[i] = fleet.Node{Name: fmt.Sprint("front-zone-", i), Zone: fmt.Sprint("z", i%5), Address: fmt.Sprint("10.0.0.", i)}
	}
	for i := 0; b.Loop(); i++ {
		rankHolders(Key(i), nodes, maxHoldersTried)
	}
}
