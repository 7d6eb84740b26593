package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/failure"
)

const (
	largeResponseEvents = 60_000
	eventSize           = 1000
)

// largeResponseEngine streams about 60 MB as fast as it can and counts the events
// written.
type largeResponseEngine struct{ written atomic.Int64 }

func (engine *largeResponseEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	for _, name := range []string{engineapi.HeaderAttempt, engineapi.HeaderEpoch, engineapi.HeaderWeights} {
		writer.Header().Set(name, request.Header.Get(name))
	}
	text := strings.Repeat("x", eventSize)
	for offset := range largeResponseEvents {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", offset, text); err != nil {
			return
		}
		engine.written.Add(1)
	}
	_, _ = fmt.Fprintf(writer, "id: %d\ndata: [DONE]\n\n", largeResponseEvents)
}

// singleEnginePlacer places every attempt on one engine.
type singleEnginePlacer struct{ address string }

func (placer singleEnginePlacer) Place(context.Context, []string) (Target, *failure.Failure) {
	return Target{Endpoint: "e", Address: placer.address, Epoch: "1", Weights: "v"}, nil
}
func (singleEnginePlacer) ReportResult(Target, bool)                 {}
func (singleEnginePlacer) IncarnationContext(Target) context.Context { return context.Background() }
func (singleEnginePlacer) ReportStale(Target)                        {}

// blockingSink reads nothing until it is released.
type blockingSink struct {
	released chan struct{}
	received int
}

func (sink *blockingSink) Emit([]byte) (bool, error) {
	<-sink.released
	sink.received++
	return false, nil
}

// TestSlowCallerAppliesBackpressure blocks the caller and checks that the node
// does not buffer the engine's response in memory meanwhile.
func TestSlowCallerAppliesBackpressure(t *testing.T) {
	engine := &largeResponseEngine{}
	server := httptest.NewServer(engine)
	defer server.Close()
	sink := &blockingSink{released: make(chan struct{})}
	driver := NewDriver(engineapi.NewClient(), func(int) {})
	done := make(chan error)
	go func() {
		done <- driver.Run(context.Background(), Call{
			Path: "/v1/completions", Body: func(int) ([]byte, error) { return []byte("{}"), nil },
			Placer: singleEnginePlacer{address: strings.TrimPrefix(server.URL, "http://")}, Sink: sink, Limits: DefaultLimits, Budget: &fixedBudget{},
		})
	}()
	// The engine blocks once the socket buffers are full.
	for last := int64(-1); last != engine.written.Load() || last <= 0; time.Sleep(100 * time.Millisecond) {
		last = engine.written.Load()
	}
	require.Less(t, engine.written.Load(), int64(largeResponseEvents/2))
	close(sink.released)
	require.NoError(t, <-done)
	require.Equal(t, largeResponseEvents, sink.received)
}

// failingSink fails on its first event.
type failingSink struct{ err error }

func (sink failingSink) Emit([]byte) (bool, error) { return false, sink.err }

// TestSinkErrorFailsRequest checks that a request whose sink cannot forward an
// event does not succeed.
func TestSinkErrorFailsRequest(t *testing.T) {
	server := httptest.NewServer(&largeResponseEngine{})
	defer server.Close()
	for err, kind := range map[error]failure.Kind{
		ErrMalformedEvent:         failure.KindStreamBroken,
		errors.New("caller left"): failure.KindCallerLeft,
	} {
		driver := NewDriver(engineapi.NewClient(), func(int) {})
		result := driver.Run(context.Background(), Call{
			Path: "/v1/completions", Body: func(int) ([]byte, error) { return []byte("{}"), nil },
			Placer: singleEnginePlacer{address: strings.TrimPrefix(server.URL, "http://")}, Sink: failingSink{err: err}, Limits: DefaultLimits, Budget: &fixedBudget{},
		})
		require.True(t, failure.Is(result, kind), "%v", result)
	}
}

// failOnceEngine answers the first request with the given status and serves all
// later ones.
type failOnceEngine struct {
	status   int
	requests atomic.Int32
}

func (engine *failOnceEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if engine.requests.Add(1) == 1 {
		http.Error(writer, `{"error":{}}`, engine.status)
		return
	}
	for _, name := range []string{engineapi.HeaderAttempt, engineapi.HeaderEpoch, engineapi.HeaderWeights} {
		writer.Header().Set(name, request.Header.Get(name))
	}
	_, _ = fmt.Fprint(writer, "id: 0\ndata: text\n\nid: 1\ndata: [DONE]\n\n")
}

// countingSink accepts and counts all events.
type countingSink struct{ received int }

func (sink *countingSink) Emit([]byte) (bool, error) {
	sink.received++
	return false, nil
}

// TestOnlyClientErrorsAreFinal checks that a status that blames the request is
// forwarded to the caller, and that a status that blames the engine is retried.
func TestOnlyClientErrorsAreFinal(t *testing.T) {
	for status, final := range map[int]bool{400: true, 404: true, 422: true, 408: false, 429: false, 500: false, 503: false} {
		engine := &failOnceEngine{status: status}
		server := httptest.NewServer(engine)
		sink := &countingSink{}
		driver := NewDriver(engineapi.NewClient(), func(int) {})
		err := driver.Run(context.Background(), Call{
			Path: "/v1/completions", Body: func(int) ([]byte, error) { return []byte("{}"), nil },
			Placer: singleEnginePlacer{address: strings.TrimPrefix(server.URL, "http://")}, Sink: sink, Limits: DefaultLimits, Budget: &fixedBudget{remaining: 3},
		})
		var rejection *Rejection
		require.Equal(t, final, errors.As(err, &rejection), "status %d: %v", status, err)
		require.Equal(t, !final, sink.received == 1, "status %d", status)
		server.Close()
	}
}
