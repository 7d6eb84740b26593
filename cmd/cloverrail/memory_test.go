package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// testMemory is a node's memory in bytes with which requests may hold 2,500 bytes: two with a body of
	// testBodyBytes and their headers.
	testMemory    = 10_000
	testBodyBytes = 900
)

// limitMemory replaces the frontend by one with a memory budget, and returns the budget and the number of
// refusals.
func (fixture *fixture) limitMemory(memory int64) (budget *admission.MemoryBudget, refused *atomic.Int64) {
	budget, refused = admission.NewMemoryBudget(memory), &atomic.Int64{}
	fixture.frontend = httptest.NewServer(&platform.Ingress{
		Proxy: fixture.process.proxy, Stopping: fixture.process.stopping.Load, Memory: budget,
		OnMemoryRefused: func(string, *admission.MemoryRefusal) { refused.Add(1) },
	})
	fixture.t.Cleanup(fixture.frontend.Close)
	return budget, refused
}

// heldResponse returns a handler that responds once release is closed.
func heldResponse(release <-chan struct{}) standin.Handler {
	return func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		<-release
		standin.Respond(http.StatusOK, "done")(server, w, r)
	}
}

// announceBody sends the head of a request with a body, but not the body, and returns the response.
func (fixture *fixture) announceBody(bytes int) *http.Response {
	connection, err := net.Dial("tcp", fixture.frontend.Listener.Addr().String())
	require.NoError(fixture.t, err)
	fixture.t.Cleanup(func() { connection.Close() })
	_, err = fmt.Fprintf(connection, "POST /once/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: announced\r\nContent-Length: %d\r\n\r\n",
		host, key, standin.HeaderRequestID, bytes)
	require.NoError(fixture.t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(fixture.t, err)
	return response
}

// Guards against a node that reads bodies beyond its memory, and against a bound that cuts or loses
// running requests. With two requests of 900 bytes running, a third is refused before its body
// arrives; the two are served, and then so is another.
func TestRequestBeyondMemoryIsRefusedUnread(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	server := plainServer("i-1", heldResponse(release))
	fixture := newFixture(t).serve(server)
	budget, refused := fixture.limitMemory(testMemory)
	body := strings.Repeat("x", testBodyBytes)
	results := make([]clientResult, 2)
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() { results[i] = fixture.send(http.MethodPost, "/once/", body, nil) })
	}
	fixture.waitUntil(func() bool { return server.Runs() == 2 })
	require.Greater(t, budget.Held(), int64(2*testBodyBytes))

	response := fixture.announceBody(testBodyBytes)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Contains(t, string(text), string(failure.KindMemory))
	require.Contains(t, string(text), string(failure.NotRun))
	require.Contains(t, string(text), "add nodes or memory")
	require.Equal(t, int64(1), refused.Load())

	close(release)
	running.Wait()
	for _, got := range results {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
	}
	fixture.waitUntil(func() bool { return budget.Held() == 0 })
	require.Equal(t, http.StatusOK, fixture.send(http.MethodPost, "/once/", body, nil).status)
	require.Equal(t, 3, server.Runs(), "the refused request did not run")
}

// sendChunked sends a body of unknown length.
func (fixture *fixture) sendChunked(bytes int) clientResult {
	return fixture.send(http.MethodPost, "/once/", "", func(request *http.Request) {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", bytes))), -1
	})
}

// Guards against bodies of unknown length that are not counted.
func TestChunkedBodyIsChargedAsItIsRead(t *testing.T) {
	t.Parallel()
	var budget *admission.MemoryBudget
	held := int64(0)
	server := plainServer("i-1", func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		held = budget.Held()
		standin.Respond(http.StatusOK, "done")(server, w, r)
	})
	fixture := newFixture(t).serve(server)
	budget, refused := fixture.limitMemory(testMemory)
	require.Equal(t, http.StatusOK, fixture.sendChunked(testBodyBytes).status)
	require.Greater(t, held, int64(testBodyBytes))
	fixture.waitUntil(func() bool { return budget.Held() == 0 })

	small, refusedSmall := fixture.limitMemory(4 * testBodyBytes)
	got := fixture.sendChunked(testBodyBytes)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, string(failure.KindMemory))
	require.Equal(t, 1, server.Runs(), "the refused request did not run")
	require.Equal(t, int64(1), refusedSmall.Load())
	require.Zero(t, refused.Load())
	fixture.waitUntil(func() bool { return small.Held() == 0 })
}

// Guards against bytes that are not returned when a client leaves, a server breaks off or a body is bad.
func TestMemoryIsReturnedAfterFailedRequests(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t).serve(plainServer("i-1", standin.AbortConnection))
	budget, refused := fixture.limitMemory(testMemory)
	for range 10 {
		require.NotEqual(t, http.StatusOK, fixture.send(http.MethodPost, "/once/", strings.Repeat("x", testBodyBytes), nil).status)
		require.Equal(t, http.StatusRequestEntityTooLarge, fixture.send(http.MethodPost, "/once/", strings.Repeat("x", 1001), nil).status)
		connection, err := net.Dial("tcp", fixture.frontend.Listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(connection, "POST /once/ HTTP/1.1\r\nHost: %s\r\n%s: left\r\nContent-Length: %d\r\n\r\nx", host, standin.HeaderRequestID, testBodyBytes)
		require.NoError(t, err)
		fixture.waitUntil(func() bool { return budget.Held() > 0 })
		connection.Close()
		fixture.waitUntil(func() bool { return budget.Held() == 0 })
	}
	require.Zero(t, refused.Load())
}
