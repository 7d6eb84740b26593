package plain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/failure"
)

// sequentialChooser selects servers in list order.
type sequentialChooser struct {
	servers []Server
}

func (chooser *sequentialChooser) Choose(excluded []string) (Server, *failure.Failure) {
	if len(excluded) >= len(chooser.servers) {
		return Server{}, failure.New(failure.KindNoEndpoint, "none", "wait").WithRetryAfter(time.Second)
	}
	return chooser.servers[len(excluded)], nil
}

func (*sequentialChooser) ReportResult(Server, bool) {}

type unlimitedBudget struct{}

func (unlimitedBudget) Withdraw(time.Time) bool { return true }

// behavior is the handler of a test server.
type behavior func(writer http.ResponseWriter, request *http.Request)

func respondsWith(text string) behavior {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(engineapi.HeaderAttempt, request.Header.Get(engineapi.HeaderAttempt))
		_, _ = io.WriteString(writer, text)
	}
}

func rejects(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(engineapi.HeaderNotStarted, "leaving")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func dropsConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func echoesOtherAttempt(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(engineapi.HeaderAttempt, "another attempt")
	_, _ = io.WriteString(writer, "somebody else's answer")
}

// rejectsOtherAttempt runs the request, and responds with the rejection of another attempt.
func rejectsOtherAttempt(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(engineapi.HeaderAttempt, "another attempt")
	writer.Header().Set(engineapi.HeaderNotStarted, "leaving")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// unreachableAddress is an address on which nothing listens.
const unreachableAddress = "127.0.0.1:1"

// forward sends one request over servers with the given behaviors, where nil
// stands for an unreachable server. It returns the number of requests received.
func forward(t *testing.T, repeatable bool, behaviors ...behavior) (answer *Answer, reached int, err error) {
	t.Helper()
	var count atomic.Int32
	chooser := &sequentialChooser{}
	for _, handle := range behaviors {
		if handle == nil {
			chooser.servers = append(chooser.servers, Server{Name: "dead", Address: unreachableAddress})
			continue
		}
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			count.Add(1)
			handle(writer, request)
		}))
		t.Cleanup(server.Close)
		chooser.servers = append(chooser.servers, Server{Name: server.URL, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	forwarder := NewForwarder(func() {})
	request := Request{Method: http.MethodPost, Path: "/turns", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("turn"), Repeatable: repeatable}
	answer, err = forwarder.Forward(context.Background(), request, chooser, unlimitedBudget{})
	return answer, int(count.Load()), err
}

func TestUnstartedRequestIsRetriedOnNextServer(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		answer, _, err := forward(t, repeatable, nil, rejects, respondsWith("done"))
		require.NoError(t, err)
		require.Equal(t, "done", string(answer.Body))
	}
}

func TestNonRepeatableRequestIsNotRetriedAfterSend(t *testing.T) {
	for _, fault := range []behavior{dropsConnection, echoesOtherAttempt, rejectsOtherAttempt} {
		_, reached, err := forward(t, false, fault, respondsWith("done"))
		require.Equal(t, failure.Unknown, failure.As(err).Outcome)
		require.Equal(t, 1, reached)
	}
}

func TestRepeatableRequestIsRetriedAfterSend(t *testing.T) {
	for _, fault := range []behavior{dropsConnection, echoesOtherAttempt} {
		answer, reached, err := forward(t, true, fault, respondsWith("done"))
		require.NoError(t, err)
		require.Equal(t, "done", string(answer.Body), "the answer of another attempt is discarded")
		require.Equal(t, 2, reached)
	}
}

func TestUnreachedRequestReportsNotRun(t *testing.T) {
	_, reached, err := forward(t, false, nil, rejects)
	require.Equal(t, failure.NotRun, failure.As(err).Outcome)
	require.Positive(t, failure.As(err).RetryAfter)
	require.Equal(t, 1, reached)
}

// respondsWithStatus sends a status line as it is, which net/http would not.
func respondsWithStatus(status string) behavior {
	return func(writer http.ResponseWriter, request *http.Request) {
		connection, buffered, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer connection.Close()
		fmt.Fprintf(buffered, "HTTP/1.1 %s Odd\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", status, engineapi.HeaderAttempt, request.Header.Get(engineapi.HeaderAttempt))
		_ = buffered.Flush()
	}
}

// Guards against callers that get the end of the connection, as the handler panics that writes such a status.
func TestStatusOfNoFinalResponseIsFailure(t *testing.T) {
	for _, status := range []string{"000", "+42", "101"} {
		_, _, err := forward(t, false, respondsWithStatus(status))
		var failed *failure.Failure
		require.ErrorAs(t, err, &failed, status)
		require.Equal(t, failure.Unknown, failed.Outcome)
		answer, _, err := forward(t, true, respondsWithStatus(status), respondsWith("done"))
		require.NoError(t, err)
		require.Equal(t, "done", string(answer.Body))
	}
}
