package peer

import (
	"context"
	"encoding/gob"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type echo struct{ Text string }

func init() { gob.Register(echo{}) }

func mustCredentials(t testing.TB, key string) *Credentials {
	t.Helper()
	c, err := NewCredentials([]byte(key))
	require.NoError(t, err)
	return c
}

func startServer(t testing.TB, key string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go Serve(ctx, listener, mustCredentials(t, key), func(_ context.Context, request any) (any, error) { return request, nil })
	return listener.Addr().String()
}

const goodKey = "0123456789abcdef"

func TestCallReturnsResponse(t *testing.T) {
	address := startServer(t, goodKey)
	client := NewClient(mustCredentials(t, goodKey), nil)
	for range 3 {
		response, err := client.Call(context.Background(), address, echo{Text: "hello"})
		require.NoError(t, err)
		require.Equal(t, echo{Text: "hello"}, response)
	}
}

func TestCallWithWrongFleetKeyIsRejected(t *testing.T) {
	address := startServer(t, goodKey)
	_, err := NewClient(mustCredentials(t, "another key 1234"), nil).Call(context.Background(), address, echo{})
	require.Error(t, err)
}

func TestBlockedAddressIsNotDialed(t *testing.T) {
	address := startServer(t, goodKey)
	client := NewClient(mustCredentials(t, goodKey), func(string) bool { return true })
	_, err := client.Call(context.Background(), address, echo{})
	require.ErrorContains(t, err, "no path")
}

func TestDatagramsWithWrongFleetKeyAreDropped(t *testing.T) {
	receiver, err := ListenDatagrams[echo]("127.0.0.1:0", mustCredentials(t, goodKey), nil)
	require.NoError(t, err)
	defer receiver.Close()
	address := receiver.socket.LocalAddr().String()
	received := make(chan echo, 2)
	go receiver.Receive(func(message echo) { received <- message })
	for _, key := range []string{"another key 1234", goodKey} {
		sender, err := ListenDatagrams[echo]("127.0.0.1:0", mustCredentials(t, key), nil)
		require.NoError(t, err)
		require.NoError(t, sender.Send(address, echo{Text: key}))
		// The datagram with the wrong key arrives first.
		time.Sleep(10 * time.Millisecond)
		sender.Close()
	}
	require.Equal(t, goodKey, (<-received).Text)
	require.Empty(t, received)
}

// BenchmarkCall measures one call over a pooled connection, including the server.
func BenchmarkCall(b *testing.B) {
	address := startServer(b, goodKey)
	client := NewClient(mustCredentials(b, goodKey), nil)
	for b.Loop() {
		if _, err := client.Call(context.Background(), address, echo{Text: "hello"}); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against clients that do not belong to the fleet and hold connections, which other nodes need.
func TestConnectionWithoutHandshakeEnds(t *testing.T) {
	connection, err := net.Dial("tcp", startServer(t, goodKey))
	require.NoError(t, err)
	defer connection.Close()
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(6*handshakeTimeout)))
	_, err = connection.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
