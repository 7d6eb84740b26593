package plain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// respondRaw listens, and answers each request with the bytes of a response. The connection ends after it, by a reset if reset is set.
func respondRaw(t *testing.T, response string, reset bool) (address string) {
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
			if reset {
				_ = connection.(*net.TCPConn).SetLinger(0)
			}
			connection.Close()
		}
	}()
	return listener.Addr().String()
}

// TestCutResponseIsNotWhole guards against responses that servers stopped to send, at any byte, and that callers got as whole ones.
func TestCutResponseIsNotWhole(t *testing.T) {
	const start = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ head, body string }{
		"length": {"Content-Length: 4\r\n\r\n", "turn"},
		"chunks": {"Transfer-Encoding: chunked\r\n\r\n", "2\r\ntu\r\n2\r\nrn\r\n0\r\n\r\n"},
		"close":  {"\r\n", "turn"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			head := start + c.head
			for sent := range len(head) + len(c.body) + 1 {
				for variant := range 8 {
					reset, repeatable, method := variant&1 != 0, variant&2 != 0, []string{http.MethodPost, http.MethodHead}[variant/4]
					if reset && (name == "close" || method == http.MethodHead) && sent >= len(head) {
						// The reset may come before or after the bytes have been read.
						continue
					}
					response := (head + c.body)[:sent]
					if method == http.MethodHead {
						response = head[:min(sent, len(head))]
					}
					servers := &sequentialChooser{servers: []Server{{Name: "a", Address: respondRaw(t, response, reset)}}}
					answer, err := NewForwarder(func() {}).Forward(t.Context(), Request{Method: method, Path: "/", Header: http.Header{}, Repeatable: repeatable}, servers, unlimitedBudget{})
					what := fmt.Sprintf("%s, reset %v, %q: %v", method, reset, response, err)
					hasHead := len(response) >= len(head)
					whole := hasHead && (method == http.MethodHead || name == "close" || sent == len(head)+len(c.body))
					if reset && err != nil {
						continue
					}
					require.Equal(t, whole, err == nil, what)
					if whole && method == http.MethodPost && name != "close" {
						require.Equal(t, "turn", string(answer.Body), what)
					}
				}
			}
		})
	}
}

// TestEncodedResponseIsPassedOnUnchanged guards against an encoded body that was cut before its first byte and becomes an empty
// one when it is decoded.
func TestEncodedResponseIsPassedOnUnchanged(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		servers := &sequentialChooser{servers: []Server{{Name: "a", Address: respondRaw(t, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n", false)}}}
		answer, err := NewForwarder(func() {}).Forward(t.Context(), Request{Method: http.MethodGet, Path: "/", Header: http.Header{}, Repeatable: repeatable}, servers, unlimitedBudget{})
		if err == nil {
			require.Equal(t, "gzip", answer.Header.Get("Content-Encoding"), "a body of no bytes is not one that gzip has made")
		}
	}
}

// TestLengthInMalformedHeaderIsNotIgnored guards against a short body that looks whole: net/http takes a name that ends with a space
// for that of another header, and reads until the connection ends.
func TestLengthInMalformedHeaderIsNotIgnored(t *testing.T) {
	for _, header := range []string{"Content-Length : 9", "Transfer-Encoding : chunked"} {
		servers := &sequentialChooser{servers: []Server{{Name: "a", Address: respondRaw(t, "HTTP/1.1 200 OK\r\n"+header+"\r\n\r\nturn", false)}}}
		_, err := NewForwarder(func() {}).Forward(t.Context(), Request{Method: http.MethodPost, Path: "/", Header: http.Header{}}, servers, unlimitedBudget{})
		require.Error(t, err, header)
	}
}

// TestResetResponseIsNotWhole guards against a short body that looks whole: a server resets the connection while a long request is
// still written, and the write takes the error away from the read of the response.
func TestResetResponseIsNotWhole(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\ntu")
				}
				time.Sleep(5 * time.Millisecond)
				_ = connection.(*net.TCPConn).SetLinger(0)
				connection.Close()
			}()
		}
	}()
	request := Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: make([]byte, 16<<20)}
	for range 20 {
		servers := &sequentialChooser{servers: []Server{{Name: "a", Address: listener.Addr().String()}}}
		answer, err := NewForwarder(func() {}).Forward(t.Context(), request, servers, unlimitedBudget{})
		require.Error(t, err, "%+v", answer)
	}
}
