package dispatch

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/engineapi"
)

// cutEngine stops sending its responses at a byte, and closes or resets the connection.
type cutEngine struct {
	// sent is the number of bytes that are sent of each response.
	sent  atomic.Int64
	reset bool
	// framed says that responses have a length. Else they end with their connection.
	framed bool
	// resumes says that a stream that was cut is sent whole once it is resumed.
	resumes bool
}

// response returns the response to an attempt that continues at an offset.
func (e *cutEngine) response(attempt string, offset int) string {
	events := strings.Join(cutEvents[offset:], "")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\n%s: v\r\n", engineapi.HeaderAttempt, attempt, engineapi.HeaderEpoch, engineapi.HeaderWeights)
	if e.framed {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(events))
	}
	return head + "\r\n" + events
}

// cutEvents are the events of the whole stream.
var cutEvents = []string{"id: 0\ndata: ab\n\n", "id: 1\ndata: cd\n\n", "id: 2\ndata: end\n\n", "id: 3\ndata: usage\n\n", "id: 4\ndata: [DONE]\n\n"}

// ServeHTTP implements http.Handler.
func (e *cutEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	attempt, offset := r.Header.Get(engineapi.HeaderAttempt), 0
	if r.Method == http.MethodGet {
		attempt = strings.TrimPrefix(r.URL.Path, engineapi.PathStreams)
		after, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderLastEventID))
		offset = after + 1
	}
	text := e.response(attempt, offset)
	if e.resumes && r.Method == http.MethodGet {
		_, _ = io.WriteString(connection, text)
		return
	}
	sent := min(int(e.sent.Load()), len(text))
	_, _ = io.WriteString(connection, text[:sent])
	if e.reset && sent < len(text) {
		_ = connection.(*net.TCPConn).SetLinger(0)
	}
}

// textSink receives the text of a response.
type textSink struct{ text string }

// Emit implements Sink.
func (s *textSink) Emit(data []byte) (bool, error) {
	s.text += string(data) + " "
	return string(data) == "end" || string(data) == "usage", nil
}

// TestCutStreamIsNotWhole guards against streams of engines that were cut, at any byte of their events, and that callers got as whole ones, with
// an event of the text missing or twice. The usage behind the text may be lost with the connection.
func TestCutStreamIsNotWhole(t *testing.T) {
	const text, withoutUsage = "ab cd end usage ", "ab cd end "
	for variant := range 8 {
		reset, framed, resumes := variant&1 != 0, variant&2 != 0, variant&4 != 0
		t.Run(fmt.Sprintf("reset %v, framed %v, resumes %v", reset, framed, resumes), func(t *testing.T) {
			t.Parallel()
			engine := &cutEngine{reset: reset, framed: framed, resumes: resumes}
			server := httptest.NewServer(engine)
			defer server.Close()
			client, whole := engineapi.NewClient(), engine.response(uuid.NewString(), 0)
			for sent := strings.LastIndex(whole, "\r\n\r\n"); sent <= len(whole); sent++ {
				engine.sent.Store(int64(sent))
				sink := &textSink{}
				err := NewDriver(client, func(int) {}).Run(t.Context(), Call{
					Path: "/v1/completions", Body: func(int) ([]byte, error) { return []byte("{}"), nil },
					Placer: singleEnginePlacer{address: server.Listener.Addr().String()}, Sink: sink,
					Limits: Limits{MaxAttempts: 1, MaxResumes: 1, ReorderWindow: len(cutEvents)}, Budget: &fixedBudget{},
				})
				what := fmt.Sprintf("cut after %d: %q, %v", sent, sink.text, err)
				require.True(t, strings.HasPrefix(text, sink.text), what)
				if err == nil {
					require.Contains(t, []string{text, withoutUsage}, sink.text, what)
				} else {
					require.Less(t, sent, len(whole), what)
				}
			}
		})
	}
}
