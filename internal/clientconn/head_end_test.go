package clientconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/admission"
)

// undrained is a listener that is closed at once when it is drained.
type undrained struct{ net.Listener }

func (l undrained) Drain(context.Context) error { return l.Close() }

// Guards against memory of heads that is lost, however a connection ends.
func TestHeadsHoldNothingOnceConnectionsHaveEnded(t *testing.T) {
	const bound = 100_000
	large := strings.Repeat("a", 50_000)
	begun := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nX: " + large
	whole := begun + "\r\n\r\n0123456789"
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	for name, test := range map[string]struct {
		text string
		// end is called before the client closes the connection.
		end func(c *net.TCPConn)
		// responses is how many responses are read before.
		responses int
		// open says that the client leaves the connection open, and drains that the server is drained meanwhile.
		open, drains bool
		memory       int64
	}{
		"closed in a head":               {text: begun},
		"reset in a head":                {text: begun, end: reset},
		"half closed in a head":          {text: begun, end: func(c *net.TCPConn) { _ = c.CloseWrite() }, open: true},
		"timeout of a head":              {text: begun, open: true},
		"closed after a request":         {text: whole, responses: 1},
		"reset before the response":      {text: whole, end: reset},
		"idle":                           {text: whole, responses: 1, open: true},
		"pipelined":                      {text: whole + whole + whole, responses: 3},
		"pipelined and left in a head":   {text: whole + whole + begun, responses: 2},
		"pipelined, left open in a head": {text: whole + begun, responses: 1, open: true},
		"closing request":                {text: strings.Replace(whole, "Host: h", "Host: h\r\nConnection: close", 1), responses: 1, open: true},
		"HTTP/1.0":                       {text: strings.Replace(whole, "HTTP/1.1", "HTTP/1.0", 1), responses: 1, open: true},
		"body unread":                    {text: strings.Replace(whole, "POST /", "POST /unread", 1), responses: 1},
		"body incomplete":                {text: begun + "\r\n\r\n0"},
		"panic":                          {text: strings.Replace(whole, "POST /", "POST /panic", 1), open: true},
		"malformed":                      {text: begun + "\r\nmalformed\r\n\r\n", responses: 1, open: true},
		"over the bound":                 {text: begun + large + large, responses: 1, open: true},
		"over the bound, then reset":     {text: begun + large + large, end: reset},
		"over the bound while drained":   {text: begun + large + large, responses: 1, open: true, drains: true},
		"over the memory":                {text: whole, responses: 1, open: true, memory: 200_000},
		"in a head while drained":        {text: begun, open: true, drains: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.memory == 0 {
				test.memory = 8 << 20
			}
			budget := admission.NewMemoryBudget(test.memory)
			heads := budget.Heads()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/panic":
					panic(http.ErrAbortHandler)
				case "/unread":
				default:
					_, _ = io.Copy(io.Discard, r.Body)
				}
			}))
			server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = time.Second, time.Second, 1<<30
			go func() {
				_ = server.Serve(&Listener{Listener: listener, Heads: &HeadLimits{MaxBytes: func() int { return bound }, Memory: heads}})
			}()
			defer server.Close()
			connection, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer connection.Close()
			go func() { _, _ = io.WriteString(connection, test.text) }()
			if test.drains {
				require.Eventually(t, func() bool { return server.Open() == 1 }, waitTimeout, time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				defer cancel()
				go server.Drain(ctx, undrained{listener})
			}
			reader := bufio.NewReader(connection)
			for range test.responses {
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
			}
			if test.responses == 0 {
				time.Sleep(50 * time.Millisecond)
			}
			if test.end != nil {
				test.end(connection.(*net.TCPConn))
			}
			if !test.open {
				_ = connection.Close()
			}
			require.Eventually(t, func() bool { return server.Open() == 0 }, waitTimeout, time.Millisecond)
			require.Zero(t, heads.Held())
			require.Zero(t, budget.Held())
		})
	}
}
