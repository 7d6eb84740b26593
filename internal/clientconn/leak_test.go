package clientconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Goroutines and watches end with their connections, however these end.
func TestConnectionsLeaveNoGoroutines(t *testing.T) {
	const connections = 300
	address, _ := newLeakServer(t)
	runtime.GC()
	before := runtime.NumGoroutine()
	var clients sync.WaitGroup
	for i := range connections {
		clients.Go(func() {
			connection, err := net.Dial("tcp", address)
			require.NoError(t, err)
			client := connection.(*net.TCPConn)
			defer func() { _ = client.Close() }()
			if i%6 == 0 {
				return
			}
			_, err = fmt.Fprintf(client, "POST / HTTP/1.%d\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", i%2)
			require.NoError(t, err)
			if i%6 == 1 {
				return
			}
			_, err = io.WriteString(client, "dy")
			require.NoError(t, err)
			switch i % 6 {
			case 2:
				_ = client.SetLinger(0)
			case 3:
				_ = client.CloseWrite()
				_, _ = io.Copy(io.Discard, client)
			case 4:
				_ = client.CloseWrite()
				time.Sleep(100 * time.Millisecond)
			case 5:
				_, _ = io.WriteString(client, "G")
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+2 }, waitTimeout, 20*time.Millisecond)
}

func newLeakServer(t *testing.T) (string, *http.Server) {
	handler := Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(500 * time.Millisecond):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "done")
	}), func(End, Outcome) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnContext: WithConn, ConnState: TrackState, Handler: handler, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second}
	go func() { _ = server.Serve(&Listener{Listener: listener, StallTimeout: time.Second}) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), server
}
