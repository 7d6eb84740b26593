package clientconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/property"
)

// startHeadServer starts a server of connections with bounds of heads, and returns its address.
func startHeadServer(t *testing.T, limits *HeadLimits) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = waitTimeout, waitTimeout, 1<<30
	go func() { _ = server.Serve(&Listener{Listener: listener, Heads: limits}) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// sendText sends a text on a new connection while it reads the response, which it returns.
func sendText(t *testing.T, address, text string) *http.Response {
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	go func() { _, _ = io.WriteString(connection, text) }()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	return response
}

func headOf(bytes int) string {
	return "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", bytes) + "\r\n\r\n"
}

// Guards against heads that are read into memory beyond the declared bound, and against clients that never learn why their
// connection was closed.
func TestHeadBeyondBoundGetsResponse(t *testing.T) {
	var rejections atomic.Int32
	var bound atomic.Int32
	bound.Store(10_000)
	address := startHeadServer(t, &HeadLimits{MaxBytes: func() int { return int(bound.Load()) }, OnRejected: func(r HeadRejection) {
		require.Nil(t, r.Memory)
		rejections.Add(1)
	}})
	require.Equal(t, http.StatusOK, sendText(t, address, headOf(9_000)).StatusCode)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, sendText(t, address, headOf(1_000_000)).StatusCode)
	require.EqualValues(t, 1, rejections.Load())
	bound.Store(2_000_000)
	require.Equal(t, http.StatusOK, sendText(t, address, headOf(1_500_000)).StatusCode, "the bound is the one in force")
}

// Guards against heads inside the bound that together exceed the memory, and against a refusal that does not say when to come
// back.
func TestHeadsBeyondMemoryAreRefused(t *testing.T) {
	budget := admission.NewMemoryBudget(8 << 20)
	heads := budget.Heads()
	address := startHeadServer(t, &HeadLimits{MaxBytes: func() int { return 1 << 20 }, Memory: heads, OnRejected: func(HeadRejection) {}})
	var open []net.Conn
	for range 4 {
		connection, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = io.WriteString(connection, strings.TrimSuffix(headOf(80_000), "\r\n"))
		require.NoError(t, err)
		open = append(open, connection)
	}
	require.Eventually(t, func() bool { return heads.Held() > 4*200_000 }, waitTimeout, time.Millisecond)
	require.Equal(t, heads.Held(), budget.Held(), "heads are a part of the account of requests")
	require.Equal(t, http.StatusOK, sendText(t, address, headOf(100)).StatusCode, "a small head costs its own bytes")
	refused := sendText(t, address, headOf(80_000))
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.NotEmpty(t, refused.Header.Get("Retry-After"))
	for _, connection := range open {
		_ = connection.Close()
	}
	require.Eventually(t, func() bool { return budget.Held() == 0 }, waitTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, sendText(t, address, headOf(80_000)).StatusCode)
}

// Guards against a body that counts as a part of the head, whose many lines would be charged, and against requests of a
// connection that are charged together.
func TestBodyIsNoPartOfHead(t *testing.T) {
	budget := admission.NewMemoryBudget(8 << 20)
	heads := budget.Heads()
	address := startHeadServer(t, &HeadLimits{MaxBytes: func() int { return 1000 }, Memory: heads})
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer connection.Close()
	reader, body := bufio.NewReader(connection), strings.Repeat("\n", 20_000)
	for range 50 {
		_, err := io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"+body)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		echoed, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, body, string(echoed))
		require.Zero(t, heads.Held())
	}
}

// The bytes and lines of a head are the same however it is cut into reads.
func TestHeadIsCountedWhateverItsPieces(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`(\r\n){0,2}([a-z]{1,5}\r?\n){1,6}\r?\n[a-z\r\n]{0,20}`).Draw(t, "text")
		whole := &head{}
		bytes, lines := whole.read([]byte(text))
		pieces := &head{}
		gotBytes, gotLines := 0, 0
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			b, l := pieces.read(rest[:n])
			gotBytes, gotLines, rest = gotBytes+b, gotLines+l, rest[n:]
		}
		require.Equal(t, []int{bytes, lines}, []int{gotBytes, gotLines})
		require.True(t, whole.whole)
		require.Equal(t, whole.bytes, bytes)
	})
}
