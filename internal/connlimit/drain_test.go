package connlimit

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const waitTimeout = 20 * time.Second

// listen returns a listener that admits all connections.
func listen(t *testing.T) *Listener {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &Listener{Listener: plain, Gate: NewGate(0)}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Clients whose connections were established before a listener was drained get a response.
func TestDrainAcceptsEstablishedConnections(t *testing.T) {
	const clients = 5
	listener := listen(t)
	var connections []net.Conn
	for range clients {
		connection, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer connection.Close()
		_, err = io.WriteString(connection, "request")
		require.NoError(t, err)
		connections = append(connections, connection)
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- listener.Drain(ctx) }()
	time.Sleep(50 * time.Millisecond)
	for range clients {
		accepted, err := listener.Accept()
		require.NoError(t, err)
		go func() {
			_, _ = io.CopyN(accepted, accepted, int64(len("request")))
			_ = accepted.Close()
		}()
	}
	_, err := listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	require.NoError(t, <-drained)
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
	for _, connection := range connections {
		response, err := io.ReadAll(connection)
		require.NoError(t, err)
		require.Equal(t, "request", string(response))
	}
	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err)
}

// Drain ends an Accept that waits for a connection.
func TestDrainEndsAccept(t *testing.T) {
	listener := listen(t)
	accepted := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		accepted <- err
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.NoError(t, listener.Drain(ctx))
	require.ErrorIs(t, <-accepted, net.ErrClosed)
}

// Drain closes the listener in the end if nobody accepts.
func TestDrainIsBounded(t *testing.T) {
	listener := listen(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, listener.Drain(ctx), context.DeadlineExceeded)
	_, err := listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
