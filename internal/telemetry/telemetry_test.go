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
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/proxy"
	"github.com/cloverrail/cloverrail/internal/quarantine"
)

var errNoResponse = errors.New("no response")

// blocked is an output whose writes block until released is closed.
type blocked struct{ released chan struct{} }

func (blocked blocked) Write(data []byte) (int, error) {
	<-blocked.released
	return len(data), nil
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	output := blocked{released: make(chan struct{})}
	defer close(output.released)
	writer := NewWriter(output)
	for range 3 * maxQueuedLines {
		_, err := writer.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.Positive(t, writer.Dropped())
}

// The last lines of a process are written before it ends.
func TestFlushWritesQueuedLines(t *testing.T) {
	output := &logBuffer{}
	writer := NewWriter(output)
	line := strings.Repeat("x", flushBytes/100) + "\n"
	for range maxQueuedLines {
		_, err := writer.Write([]byte(line))
		require.NoError(t, err)
	}
	writer.Flush(time.Minute)
	require.Len(t, output.lines(), maxQueuedLines)
	writer.Flush(time.Minute)
}

// A process ends even if its output takes nothing.
func TestFlushOfBlockedOutputEnds(t *testing.T) {
	output := blocked{released: make(chan struct{})}
	defer close(output.released)
	writer := NewWriter(output)
	_, err := writer.Write([]byte("line\n"))
	require.NoError(t, err)
	writer.Flush(2 * flushInterval)
	writer.Flush(2 * flushInterval)
}

// logBuffer is an output that is safe for concurrent use.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (logBuffer *logBuffer) Write(data []byte) (int, error) {
	logBuffer.mutex.Lock()
	defer logBuffer.mutex.Unlock()
	return logBuffer.text.Write(data)
}

func (logBuffer *logBuffer) lines() []string {
	logBuffer.mutex.Lock()
	defer logBuffer.mutex.Unlock()
	return strings.Split(strings.TrimSpace(logBuffer.text.String()), "\n")
}

func TestWriterKeepsLineOrder(t *testing.T) {
	logBuffer := &logBuffer{}
	writer := NewWriter(logBuffer)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = writer.Write([]byte(line))
	}
	require.Eventually(t, func() bool { return len(logBuffer.lines()) == 3 }, 20*time.Second, time.Millisecond)
	require.Equal(t, []string{"a", "b", "c"}, logBuffer.lines())
}

// Retries of a request have different ids; the fingerprint on the lines of broken attempts shows
// that they are the same request. Those of the parts of its prompt show what it shares with others.
func TestBrokenAttemptLogsFingerprint(t *testing.T) {
	logBuffer := &logBuffer{}
	recorder := NewRecorder(zerolog.New(logBuffer), NewMetrics(&catalog.AtomicReplica{}))
	for _, id := range []string{"a", "b"} {
		recorder.Attempt(&proxy.Request{ID: id}, "i-1", exchange.Broken{Reason: "EOF"}, quarantine.Suspects{Request: 0x2a, Parts: []quarantine.Fingerprint{0x2b, 0x2c}})
	}
	recorder.Attempt(&proxy.Request{ID: "c"}, "i-1", exchange.Refused{Reason: "503"}, quarantine.Suspects{})
	lines := logBuffer.lines()
	require.Contains(t, lines[0], `"fingerprint":"000000000000002a"`)
	require.Contains(t, lines[1], `"fingerprint":"000000000000002a"`)
	require.Contains(t, lines[1], `"parts":["000000000000002b","000000000000002c"]`)
	require.NotContains(t, lines[2], "fingerprint")
}

func TestRequestLinesAreRateLimitedAndCounted(t *testing.T) {
	logBuffer := &logBuffer{}
	recorder := NewRecorder(zerolog.New(logBuffer), NewMetrics(&catalog.AtomicReplica{}))
	request := &proxy.Request{ID: "r", Key: "secret", Body: []byte("private")}
	for range 10 * lineBurst {
		recorder.Request(request, nil, 1, exchange.Outcome{})
	}
	// Suppressed lines are reported by the next line that is written, which may not exist yet.
	require.Less(t, len(logBuffer.lines()), 2*lineBurst)
	suppressed := testutil.ToFloat64(recorder.metrics.suppressedLines)
	require.Equal(t, 10*lineBurst, len(logBuffer.lines())+int(suppressed), "each line is written or counted")
	require.Positive(t, suppressed)
	require.NotContains(t, logBuffer.text.String(), "secret")
	require.NotContains(t, logBuffer.text.String(), "private")
}

func TestStoreOutageIsLoggedOnce(t *testing.T) {
	logBuffer := &logBuffer{}
	recorder := NewRecorder(zerolog.New(logBuffer), NewMetrics(&catalog.AtomicReplica{}))
	for range 5 {
		recorder.ReadDone(time.Second, errNoResponse)
	}
	recorder.ReadDone(time.Second, nil)
	recorder.ReadDone(time.Second, nil)
	require.Len(t, logBuffer.lines(), 2)
}

// The first server list of a large fleet is logged in one line, a few changes in one line each.
func TestManyServerChangesAreSummarized(t *testing.T) {
	written := &bytes.Buffer{}
	recorder := NewRecorder(zerolog.New(written), NewMetrics(&catalog.AtomicReplica{}))
	changes := make([]backend.Change, 10_000)
	changes[3].Gone, changes[4].Server.Draining = true, true
	recorder.ServersChanged(changes)
	require.JSONEq(t, `{"level":"info","changes":10000,"draining":1,"gone":1,"message":"many server list entries changed"}`, written.String())
	written.Reset()
	recorder.ServersChanged(changes[:maxChangeLines])
	require.Equal(t, maxChangeLines, bytes.Count(written.Bytes(), []byte("server list entry changed")))
}

// Unknown headers are counted, and logged once each up to a bound, so that a server with arbitrary
// headers cannot flood the log.
func TestUnknownHeaderIsLoggedOnce(t *testing.T) {
	output := &logBuffer{}
	metrics := NewMetrics(&catalog.AtomicReplica{})
	recorder := NewRecorder(zerolog.New(output), metrics)
	for range 3 {
		recorder.NoticeReceived("i-1", backend.Notice{UnknownHeader: "Server-Mood"}, backend.Notice{}, nil)
	}
	require.Len(t, output.lines(), 1)
	require.Contains(t, output.lines()[0], "Server-Mood")
	for i := range 3 * maxUnknownHeaders {
		recorder.NoticeReceived("i-1", backend.Notice{UnknownHeader: fmt.Sprint("Server-Word-", i)}, backend.Notice{}, nil)
	}
	require.Len(t, output.lines(), maxUnknownHeaders)
	require.Equal(t, float64(3+3*maxUnknownHeaders), testutil.ToFloat64(metrics.notices.WithLabelValues("unknown")))
}

func TestPlacementLogsPrediction(t *testing.T) {
	logBuffer := &logBuffer{}
	recorder := NewRecorder(zerolog.New(logBuffer), NewMetrics(&catalog.AtomicReplica{}))
	prediction := proxy.Prediction{Known: true, FirstToken: 120 * time.Millisecond, Target: 790 * time.Millisecond, Met: true}
	recorder.Placed(&proxy.Request{ID: "a"}, proxy.PlacementDecision{Prediction: prediction})
	recorder.Placed(&proxy.Request{ID: "b"}, proxy.PlacementDecision{})
	lines := logBuffer.lines()
	require.Contains(t, lines[0], `"predicted":120,"target":790,"meets":true`)
	require.NotContains(t, lines[1], "predicted")
}

func TestPredictionErrorsAreCountedByDirection(t *testing.T) {
	metrics := NewMetrics(&catalog.AtomicReplica{})
	recorder := NewRecorder(zerolog.New(&logBuffer{}), metrics)
	recorder.FirstTokenPredicted(100*time.Millisecond, 160*time.Millisecond)
	recorder.FirstTokenPredicted(100*time.Millisecond, 90*time.Millisecond)
	families, err := metrics.Registry.Gather()
	require.NoError(t, err)
	sums := map[string]float64{}
	for _, family := range families {
		if family.GetName() == "cloverrail_proxy_first_token_error_seconds" {
			for _, metric := range family.GetMetric() {
				sums[metric.GetLabel()[0].GetValue()] = metric.GetHistogram().GetSampleSum()
			}
		}
	}
	require.InDeltaMapValues(t, map[string]float64{"late": 0.06, "early": 0.01}, sums, 1e-9)
}

// A request that ended without a response says so in its line, and how many events its caller has.
func TestRequestLineTellsAbortedResponses(t *testing.T) {
	output := &logBuffer{}
	recorder := NewRecorder(zerolog.New(output), NewMetrics(&catalog.AtomicReplica{}))
	left := failure.New(failure.KindCallerLeft, "the caller disconnected: reset", "send the request again")
	recorder.Request(&proxy.Request{ID: "r-1"}, nil, 7, exchange.Outcome{Failure: left, Status: 200, Events: 3})
	recorder.Request(&proxy.Request{ID: "r-2"}, nil, 7, exchange.Outcome{Status: 200})
	lines := output.lines()
	require.Contains(t, lines[0], `"aborted":true`)
	require.Contains(t, lines[0], `"events":3`)
	require.Contains(t, lines[0], "reset")
	require.NotContains(t, lines[1], "aborted")
}

// Requests that ended without a response are logged although other requests have used up the limit of lines.
func TestOtherRequestsDoNotDisplaceAbortedOnes(t *testing.T) {
	output := &logBuffer{}
	recorder := NewRecorder(zerolog.New(output), NewMetrics(&catalog.AtomicReplica{}))
	for range 3 * lineBurst {
		recorder.Request(&proxy.Request{ID: "r"}, nil, 7, exchange.Outcome{Status: 200})
	}
	left := failure.New(failure.KindCallerLeft, "the caller disconnected: reset", "send the request again")
	for range 5 * abortedLineBurst {
		recorder.Request(&proxy.Request{ID: "r-left"}, nil, 7, exchange.Outcome{Failure: left})
	}
	logged := strings.Count(strings.Join(output.lines(), "\n"), `"aborted":true`)
	require.GreaterOrEqual(t, logged, abortedLineBurst)
	require.Less(t, logged, 2*abortedLineBurst)
}

// What ends before a request is admitted leaves a line and is counted.
func TestUnreadRequestsAndConnectionErrorsAreLogged(t *testing.T) {
	output := &logBuffer{}
	recorder := NewRecorder(zerolog.New(output), NewMetrics(&catalog.AtomicReplica{}))
	clients := NewClientRecorder(recorder)
	clients.RejectedUnread("r-1", failure.New(failure.KindTooLarge, "request body exceeds the size limit", "send a shorter body"))
	_, err := clients.Write([]byte("http: panic serving 10.0.0.1:9: index out of range\n"))
	require.NoError(t, err)
	lines := output.lines()
	require.Contains(t, lines[0], `"id":"r-1"`)
	require.Contains(t, lines[0], string(failure.KindTooLarge))
	require.Contains(t, lines[1], "panic serving")
	require.EqualValues(t, 1, testutil.ToFloat64(clients.errors))
	require.EqualValues(t, 1, testutil.ToFloat64(clients.unread.WithLabelValues(string(failure.KindTooLarge))))
}
