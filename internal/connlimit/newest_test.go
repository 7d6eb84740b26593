package connlimit

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a load balancer that takes a node for dead, since connections which send nothing keep its probes away.
func TestRestingConnectionsKeepNoProbeAway(t *testing.T) {
	const limit = 4
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var closed atomic.Int32
	newest := &NewestListener{Listener: listener, Limit: limit, OnClosed: func() { closed.Add(1) }}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ready") })}
	go func() { _ = server.Serve(newest) }()
	t.Cleanup(func() { _ = server.Close() })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 * limit {
		resting, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = resting.Close() })
		response, err := client.Get("http://" + listener.Addr().String())
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "ready", string(body))
		require.NoError(t, response.Body.Close())
		newest.mutex.Lock()
		require.LessOrEqual(t, newest.open.Len(), limit)
		newest.mutex.Unlock()
	}
	require.Positive(t, closed.Load())
}
