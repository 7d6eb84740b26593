package peer

import (
	"context"
	"encoding/gob"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type echo struct{ Text string }

func init() { gob.Register(echo{}) }

func credentials(t testing.TB, key string) *Credentials {
	t.Helper()
	made, err := NewCredentials([]byte(key))
	require.NoError(t, err)
	return made
}

func serve(t testing.TB, key string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go Serve(ctx, listener, credentials(t, key), func(_ context.Context, request any) (any, error) { return request, nil })
	return listener.Addr().String()
}

const goodKey = "0123456789abcdef"

func TestCallsAreAnswered(t *testing.T) {
	address := serve(t, goodKey)
	caller := NewCaller(credentials(t, goodKey), nil)
	for range 3 {
		answer, err := caller.Call(context.Background(), address, echo{Text: "hello"})
		require.NoError(t, err)
		require.Equal(t, echo{Text: "hello"}, answer)
	}
}

func TestStrangersAreRefused(t *testing.T) {
	address := serve(t, goodKey)
	_, err := NewCaller(credentials(t, "another key 1234"), nil).Call(context.Background(), address, echo{})
	require.Error(t, err)
}

func TestCutLinksAreNotUsed(t *testing.T) {
	address := serve(t, goodKey)
	caller := NewCaller(credentials(t, goodKey), func(string) bool { return true })
	_, err := caller.Call(context.Background(), address, echo{})
	require.ErrorContains(t, err, "no path")
}

func TestDatagramsOfStrangersAreDropped(t *testing.T) {
	receiver, err := ListenDatagrams[echo]("127.0.0.1:0", credentials(t, goodKey), nil)
	require.NoError(t, err)
	defer receiver.Close()
	address := receiver.socket.LocalAddr().String()
	received := make(chan echo, 2)
	go receiver.Receive(func(message echo) { received <- message })
	for _, key := range []string{"another key 1234", goodKey} {
		sender, err := ListenDatagrams[echo]("127.0.0.1:0", credentials(t, key), nil)
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
	address := serve(b, goodKey)
	caller := NewCaller(credentials(b, goodKey), nil)
	for b.Loop() {
		if _, err := caller.Call(context.Background(), address, echo{Text: "hello"}); err != nil {
			b.Fatal(err)
		}
	}
}
