package forward

import (
	"bufio"
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

// formerHead is the head of a response as builds send it that do not tell whether the response ended with its connection.
type formerHead struct {
	Format int
	Status int
	Header http.Header
	Body   []byte
	Stream bool
}

// encodeAll returns messages as one node sends them to another.
func encodeAll(t *testing.T, messages ...any) []byte {
	var encoded bytes.Buffer
	encoder := gob.NewEncoder(&encoded)
	for _, message := range messages {
		require.NoError(t, encoder.Encode(message))
	}
	return encoded.Bytes()
}

// resettable is a connection whose end is a reset if reset is set.
type resettable struct {
	net.Conn
	reset bool
}

// Read implements net.Conn.
func (c resettable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.reset {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return n, err
}

// forwardOnce sends an attempt through a node that answers with bytes and ends the connection. It returns what the node passes on,
// and whether that is whole.
func forwardOnce(t *testing.T, response []byte, reset bool) (body string, whole bool) {
	dial := func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			if request, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = theirs.Write(response)
			}
		}()
		return resettable{ours, reset}, nil
	}
	nodes := []fleet.Node{{Name: "b", Address: "10.0.0.2:80", Zone: "a"}}
	peers := NewPeers("a", func() []fleet.Node { return nodes }, func(string, string) int { return 0 })
	client := NewClient("self", peers, dial, nil, func(proxy.ServerNotice) {}, func(Result) {})
	reply, err := client.Forward(t.Context(), testDispatch(), "a")
	if err != nil {
		return "", false
	}
	defer reply.Close()
	if reply.Complete != nil {
		return string(reply.Complete.Body), true
	}
	for {
		event, err := reply.Next()
		if err != nil {
			return body, errors.Is(err, io.EOF)
		}
		body += string(event.Raw)
	}
}

// TestCutMessageIsNotWhole guards against a node that stops in the middle of its messages, at any byte, while it forwards an
// attempt, and whose part of a response the caller gets as a whole one.
func TestCutMessageIsNotWhole(t *testing.T) {
	plain := func(former bool) []any {
		if former {
			return []any{formerHead{Format: messageFormat, Status: 200, Header: http.Header{"X": {"1"}}, Body: []byte("turn")}}
		}
		return []any{wireHead{Format: messageFormat, Status: 200, Header: http.Header{"X": {"1"}}, Body: []byte("turn"), EndsWithConnection: true}}
	}
	stream := func(former bool) []any {
		events := []any{wireEvent{Raw: []byte("tu"), ID: 1, HasID: true}, wireEvent{Raw: []byte("rn"), ID: 2, HasID: true}, wireEvent{End: true}}
		if former {
			return append([]any{formerHead{Format: messageFormat, Status: 200, Stream: true}}, events...)
		}
		return append([]any{wireHead{Format: messageFormat, Status: 200, Stream: true}}, events...)
	}
	for kind, messages := range map[string]func(former bool) []any{"plain": plain, "stream": stream} {
		for _, former := range []bool{false, true} {
			t.Run(fmt.Sprint(kind, ", former build ", former), func(t *testing.T) {
				t.Parallel()
				encoded := encodeAll(t, messages(former)...)
				for framing, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", len(encoded)), "chunks": "Transfer-Encoding: chunked\r\n", "close": ""} {
					body := encoded
					if framing == "chunks" {
						body = fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n\r\n", len(encoded), encoded)
					}
					start := "HTTP/1.1 200 OK\r\n" + head + "\r\n"
					response := append([]byte(start), body...)
					// A plain response is one message, whatever comes after it.
					end := len(response)
					if framing == "chunks" {
						end -= len("\r\n0\r\n\r\n")
					}
					for sent := range len(response) + 1 {
						for _, reset := range []bool{false, true} {
							got, whole := forwardOnce(t, response[:sent], reset)
							what := fmt.Sprintf("%s, reset %v, cut after %d of %d", framing, reset, sent, len(response))
							require.True(t, strings.HasPrefix("turn", got), what)
							require.False(t, whole && sent < end, what)
							require.False(t, !whole && !(reset && framing == "close") && sent >= end, what)
							require.True(t, !whole || got == "turn", what)
						}
					}
				}
			})
		}
	}
}

// TestForwardedStreamWithoutEventIsNotWhole guards against a stream that looks complete although its server stopped right after a
// head without a length: the forwarding node is of a build that takes this for the end of a continuation.
func TestForwardedStreamWithoutEventIsNotWhole(t *testing.T) {
	event := wireEvent{Raw: []byte("tu"), ID: 1, HasID: true}
	for _, endsWithConnection := range []bool{false, true} {
		for body, events := range map[string][]any{"": {wireEvent{End: true}}, "tu": {event, wireEvent{End: true}}} {
			head := wireHead{Format: messageFormat, Status: 200, Stream: true, EndsWithConnection: endsWithConnection}
			encoded := encodeAll(t, append([]any{head}, events...)...)
			got, whole := forwardOnce(t, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(encoded), encoded), false)
			require.Equal(t, body, got)
			require.Equal(t, body != "" || !endsWithConnection, whole, "%q, ends with its connection: %v", body, endsWithConnection)
		}
	}
}

// TestCutAttemptIsNotSent guards against an attempt whose message is cut, at any byte, and that the server gets in part.
func TestCutAttemptIsNotSent(t *testing.T) {
	sender := &stubSender{send: func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
		return complete("done")
	}}
	whole := encodeAll(t, newWireAttempt("b", testDispatch()))
	for sent := range len(whole) {
		response := httptest.NewRecorder()
		newTestHandler(sender).ServeHTTP(response, httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(whole[:sent])))
		require.Equal(t, http.StatusBadRequest, response.Code, "cut after %d bytes", sent)
	}
	require.Empty(t, sender.sent())
}
