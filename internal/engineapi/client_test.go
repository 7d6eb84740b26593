package engineapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// TestResponseWithoutBodyIsNotResult guards against a 200 of an engine that has no body and is taken for one without fields: an
// engine that serves no model, or an empty prefix cache.
func TestResponseWithoutBodyIsNotResult(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "0") }))
	defer engine.Close()
	client, address := NewClient(), strings.TrimPrefix(engine.URL, "http://")
	_, err := client.Status(t.Context(), address)
	require.Error(t, err)
	_, err = client.Snapshot(t.Context(), address)
	require.Error(t, err)
}

// TestCutResponseIsNotWhole guards against responses of engines that were cut short, at any byte, and that callers got as whole
// ones: a rejection without the end of its body, or a stream whose last event lacks its end.
func TestCutResponseIsNotWhole(t *testing.T) {
	const rejection = "HTTP/1.1 400 Bad Request\r\nContent-Length: 9\r\n\r\nno tokens"
	const chunked = "HTTP/1.1 422 X\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nno tokens\r\n0\r\n\r\n"
	for _, response := range []string{rejection, chunked} {
		for sent := range len(response) + 1 {
			_, err := NewClient().Open(t.Context(), Dispatch{Address: respondRaw(t, response[:sent]), Path: "/p"})
			var rejected *ErrRejected
			require.Equal(t, sent == len(response), errors.As(err, &rejected), "%q: %v", response[:sent], err)
			if rejected != nil {
				require.Equal(t, "no tokens", string(rejected.Body))
			}
		}
	}
	const head, events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\ndata: ab\n\nid: 2\ndata: cd\n\nid: 3\ndata: [DONE]\n\n"
	whole := []Event{{Offset: 1, Data: []byte("ab")}, {Offset: 2, Data: []byte("cd")}, {Offset: 3, Data: []byte("[DONE]"), Done: true}}
	for sent := range len(head) + len(events) + 1 {
		stream, err := NewClient().Open(t.Context(), Dispatch{Address: respondRaw(t, (head + events)[:sent]), Path: "/p"})
		if sent < len(head) {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		var got []Event
		require.Error(t, stream.Read(func(event Event) bool { got = append(got, event); return true }))
		require.Len(t, got, strings.Count(events[:sent-len(head)], "\n\n"))
		require.Equal(t, append([]Event(nil), whole[:len(got)]...), got)
		stream.Close()
	}
}

// TestLongRejectionIsNotWhole guards against a rejection that is passed on without what exceeds a bound.
func TestLongRejectionIsNotWhole(t *testing.T) {
	for length, passed := range map[int]bool{maxEventBytes: true, maxEventBytes + 1: false} {
		response := fmt.Sprintf("HTTP/1.1 400 Bad Request\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
		_, err := NewClient().Open(t.Context(), Dispatch{Address: respondRaw(t, response), Path: "/p"})
		var rejected *ErrRejected
		require.Equal(t, passed, errors.As(err, &rejected), "%d bytes", length)
	}
}

// respondRaw listens, and answers each request with the bytes of a response; the connection ends after it.
func respondRaw(t *testing.T, response string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(connection, response)
			}
			connection.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against an attempt that counts as not started, and is sent again, as the late refusal of another one came on its
// connection.
func TestRefusalOfAnotherAttemptSaysNothing(t *testing.T) {
	for name, believed := range map[string]bool{"a": true, "another attempt": false, "": true} {
		for status, answer := range map[int]func(error) bool{
			http.StatusServiceUnavailable: func(err error) bool { var e *ErrNotStarted; return errors.As(err, &e) },
			http.StatusBadRequest:         func(err error) bool { var e *ErrRejected; return errors.As(err, &e) },
		} {
			response := fmt.Sprintf("HTTP/1.1 %d Text\r\nContent-Length: 0\r\n", status)
			if name != "" {
				response += HeaderAttempt + ": " + name + "\r\n"
			}
			if status == http.StatusServiceUnavailable {
				response += HeaderNotStarted + ": leaving\r\n"
			}
			_, err := NewClient().Open(t.Context(), Dispatch{Address: respondRaw(t, response+"\r\n"), Path: "/p", Attempt: "a"})
			require.Error(t, err)
			require.Equal(t, believed, answer(err), "%d of %q: %v", status, name, err)
		}
	}
}
