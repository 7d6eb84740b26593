package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

var errLost = errors.New("no response")

// blocked is an output whose writes block until released is closed.
type stuck struct{ freed chan struct{} }

func (stuck stuck) Write(data []byte) (int, error) {
	<-stuck.freed
	return len(data), nil
}

func TestAStuckOutputBlocksNobody(t *testing.T) {
	output := stuck{freed: make(chan struct{})}
	defer close(output.freed)
	writer := NewWriter(output)
	for range 3 * queuedLines {
		_, err := writer.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Positive(t, writer.Dropped())
}

// logBuffer is an output that is safe for concurrent use.
type page struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (page *page) Write(data []byte) (int, error) {
	page.mutex.Lock()
	defer page.mutex.Unlock()
	return page.text.Write(data)
}

func (page *page) lines() []string {
	page.mutex.Lock()
	defer page.mutex.Unlock()
	return strings.Split(strings.TrimSpace(page.text.String()), "\n")
}

func TestLinesAreWrittenInTheirOrder(t *testing.T) {
	page := &page{}
	writer := NewWriter(page)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = writer.Write([]byte(line))
	}
	require.Eventually(t, func() bool { return len(page.lines()) == 3 }, 20*time.Second, time.Millisecond)
	require.Equal(t, []string{"a", "b", "c"}, page.lines())
}

// Retries of a request have different ids; the fingerprint on the lines of broken attempts shows
// that they are the same request.
func TestABrokenAttemptTellsWhichTriesAreTheSameRequest(t *testing.T) {
	page := &page{}
	recorder := NewRecorder(zerolog.New(page), NewMetrics(&catalog.Holder{}))
	for _, id := range []string{"a", "b"} {
		recorder.Attempt(&proxy.Request{ID: id}, "i-1", exchange.Broken{Reason: "EOF"}, 0x2a)
	}
	recorder.Attempt(&proxy.Request{ID: "c"}, "i-1", exchange.Refused{Reason: "503"}, 0)
	lines := page.lines()
	require.Contains(t, lines[0], `"fingerprint":"000000000000002a"`)
	require.Contains(t, lines[1], `"fingerprint":"000000000000002a"`)
	require.NotContains(t, lines[2], "fingerprint")
}

func TestTheLinesOfRequestsAreBoundedAndTheRestIsCounted(t *testing.T) {
	page := &page{}
	recorder := NewRecorder(zerolog.New(page), NewMetrics(&catalog.Holder{}))
	request := &proxy.Request{ID: "r", Key: "secret", Body: []byte("private")}
	for range 10 * burstLines {
		recorder.Request(request, nil, 1, exchange.Outcome{})
	}
	// Suppressed lines are reported by the next line that is written, which may not exist yet.
	require.Less(t, len(page.lines()), 2*burstLines)
	left := testutil.ToFloat64(recorder.metrics.suppressedLines)
	require.Equal(t, 10*burstLines, len(page.lines())+int(left), "each line is written or counted")
	require.Positive(t, left)
	require.NotContains(t, page.text.String(), "secret")
	require.NotContains(t, page.text.String(), "private")
}

func TestALostStoreIsToldOnce(t *testing.T) {
	page := &page{}
	recorder := NewRecorder(zerolog.New(page), NewMetrics(&catalog.Holder{}))
	for range 5 {
		recorder.Read(time.Second, errLost)
	}
	recorder.Read(time.Second, nil)
	recorder.Read(time.Second, nil)
	require.Len(t, page.lines(), 2)
}

// The first server list of a large fleet is logged in one line, a few changes in one line each.
func TestTheLinesOfAListAreBounded(t *testing.T) {
	written := &bytes.Buffer{}
	recorder := NewRecorder(zerolog.New(written), NewMetrics(&catalog.Holder{}))
	changes := make([]backend.Change, 10_000)
	changes[3].Gone, changes[4].Server.Draining = true, true
	recorder.Listed(changes)
	require.JSONEq(t, `{"level":"info","changes":10000,"draining":1,"gone":1,"message":"many server list entries changed"}`, written.String())
	written.Reset()
	recorder.Listed(changes[:mostChanges])
	require.Equal(t, mostChanges, bytes.Count(written.Bytes(), []byte("server list entry changed")))
}

// Unknown headers are counted, and logged once each up to a bound, so that a server with arbitrary
// headers cannot flood the log.
func TestAWordThatNobodyKnowsIsToldOnce(t *testing.T) {
	output := &page{}
	metrics := NewMetrics(&catalog.Holder{})
	recorder := NewRecorder(zerolog.New(output), metrics)
	for range 3 {
		recorder.Noticed("i-1", backend.Notice{Unknown: "Server-Mood"}, backend.Notice{}, nil)
	}
	require.Len(t, output.lines(), 1)
	require.Contains(t, output.lines()[0], "Server-Mood")
	for i := range 3 * mostWords {
		recorder.Noticed("i-1", backend.Notice{Unknown: fmt.Sprint("Server-Word-", i)}, backend.Notice{}, nil)
	}
	require.Len(t, output.lines(), mostWords)
	require.Equal(t, float64(3+3*mostWords), testutil.ToFloat64(metrics.notices.WithLabelValues("unknown")))
}
