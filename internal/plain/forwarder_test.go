package plain

import (
	"context"
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
type inOrder struct {
	servers []Server
}

func (chooser *inOrder) Choose(excluded []string) (Server, *failure.Failure) {
	if len(excluded) >= len(chooser.servers) {
		return Server{}, failure.New(failure.KindNoEndpoint, "none", "wait").WithRetryAfter(time.Second)
	}
	return chooser.servers[len(excluded)], nil
}

func (*inOrder) Ended(Server, bool) {}

type generous struct{}

func (generous) Withdraw(time.Time) bool { return true }

// behavior is the handler of a test server.
type behaviour func(writer http.ResponseWriter, request *http.Request)

func answers(text string) behaviour {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(engineapi.HeaderAttempt, request.Header.Get(engineapi.HeaderAttempt))
		_, _ = io.WriteString(writer, text)
	}
}

func refuses(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(engineapi.HeaderRefused, "leaving")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func dies(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func crosses(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(engineapi.HeaderAttempt, "another attempt")
	_, _ = io.WriteString(writer, "somebody else's answer")
}

// unreachableAddress is an address on which nothing listens.
const dead = "127.0.0.1:1"

// forward sends one request over servers with the given behaviors, where nil
// stands for an unreachable server. It returns the number of requests received.
func forward(t *testing.T, repeatable bool, behaviours ...behaviour) (answer *Answer, reached int, err error) {
	t.Helper()
	var count atomic.Int32
	chooser := &inOrder{}
	for _, behave := range behaviours {
		if behave == nil {
			chooser.servers = append(chooser.servers, Server{Name: "dead", Address: dead})
			continue
		}
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			count.Add(1)
			behave(writer, request)
		}))
		t.Cleanup(server.Close)
		chooser.servers = append(chooser.servers, Server{Name: server.URL, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	forwarder := NewForwarder(func() {})
	request := Request{Method: http.MethodPost, Path: "/turns", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("turn"), Repeatable: repeatable}
	answer, err = forwarder.Forward(context.Background(), request, chooser, generous{})
	return answer, int(count.Load()), err
}

func TestWhatDidNotStartGoesToTheNextServer(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		answer, _, err := forward(t, repeatable, nil, refuses, answers("done"))
		require.NoError(t, err)
		require.Equal(t, "done", string(answer.Body))
	}
}

func TestWhatMayHaveRunIsNotSentAgain(t *testing.T) {
	for _, harm := range []behaviour{dies, crosses} {
		_, reached, err := forward(t, false, harm, answers("done"))
		require.Equal(t, failure.Unknown, failure.As(err).Outcome)
		require.Equal(t, 1, reached)
	}
}

func TestRepeatableRequestsAreSentAgain(t *testing.T) {
	for _, harm := range []behaviour{dies, crosses} {
		answer, reached, err := forward(t, true, harm, answers("done"))
		require.NoError(t, err)
		require.Equal(t, "done", string(answer.Body), "the answer of another attempt is discarded")
		require.Equal(t, 2, reached)
	}
}

func TestNothingReachedIsNotRun(t *testing.T) {
	_, reached, err := forward(t, false, nil, refuses)
	require.Equal(t, failure.NotRun, failure.As(err).Outcome)
	require.Positive(t, failure.As(err).RetryAfter)
	require.Equal(t, 1, reached)
}
