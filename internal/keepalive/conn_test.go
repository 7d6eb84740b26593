package keepalive

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against bytes that a server sends before the first request of a connection, and that count as its response.
func TestBytesBeforeFirstRequestAnswerNothing(t *testing.T) {
	near, far := connect(t)
	var surplus []Surplus
	near.onSurplus = func(kind Surplus) { surplus = append(surplus, kind) }
	_, err := far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	n, err := near.Read(make([]byte, 1<<10))
	require.Zero(t, n)
	require.ErrorIs(t, err, errSurplus)
	require.Equal(t, []Surplus{SurplusUnasked}, surplus)
	near.acquire("", time.Minute, false)
	_, err = near.Write([]byte("request"))
	require.ErrorIs(t, err, errNotReusable)
	require.True(t, near.unsent())
}

// Guards against a request that counts as sent although its connection was closed before: the idle timeout of the server grew
// just as the connection expired.
func TestExpiredConnectionTakesNoRequest(t *testing.T) {
	near, _ := connect(t)
	use := near.acquire("", time.Minute, false)
	near.release(use, time.Minute)
	near.expire(use)
	near.acquire("", time.Hour, false)
	_, err := near.Write([]byte("request"))
	require.Error(t, err)
	require.True(t, near.unsent())
}
