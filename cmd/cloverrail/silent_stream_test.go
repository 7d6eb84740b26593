package main

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// silence is how long the first server of a stream is silent after its first event.
	silence = 1500 * time.Millisecond
	// silentStreamRetryExtra is the number of retries in the fleet's budget that do not depend on requests.
	silentStreamRetryExtra = 54
)

// serveSilentStream starts a node before two engines. The one that begins a stream is silent after the first event, and refuses
// a number of times to go on with it; the other one always refuses. onRefused is called before each of the other's refusals.
func serveSilentStream(t *testing.T, refusals int64, onRefused func(f *fixture)) *fixture {
	var once sync.Once
	var first string
	var remaining atomic.Int64
	remaining.Store(refusals)
	store, address := newStore(t)
	f := newNodeWith(t, store, address, "node", func(config *settings.Proxy) { config.Bounds.RetryExtra = silentStreamRetryExtra })
	handler := func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		once.Do(func() { first = server.Instance })
		resumes := r.Header.Get("Last-Event-Id") == "1"
		if server.Instance != first {
			onRefused(f)
		}
		if server.Instance != first || resumes && remaining.Add(-1) >= 0 {
			w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
			w.Header().Set(standin.HeaderNotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(standin.HeaderStamp, server.Instance+standin.StampSuffix)
		w.Header().Set("Content-Type", "text/event-stream")
		if resumes {
			_, _ = io.WriteString(w, "id: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n")
			return
		}
		_, _ = io.WriteString(w, "id: 1\ndata: token 1\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(silence):
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, "id: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n")
	}
	f.serve(engine("i-1", handler), engine("i-2", handler))
	f.awaitRetryShare()
	f.version++
	document := newDocument(f.version, key)
	for i := range document.Routes {
		document.Routes[i].GapTarget = 100
	}
	f.store.Put(standin.KeyConfiguration, document)
	f.waitUntil(func() bool { return f.process.replica.Load().Snapshot.Version == f.version })
	return f
}

// requireWholeStream sends a request for a stream and checks that its response is whole.
func (fixture *fixture) requireWholeStream() {
	got := fixture.send(http.MethodPost, "/stream/", "prompt", setPromptHeaders)
	require.NoError(fixture.t, got.err)
	require.Equal(fixture.t, http.StatusOK, got.status)
	require.Equal(fixture.t, eventText(3), got.body)
}

// Guards against streams that are cut since their server was silent for a moment, and the other one refused to go on with
// them.
func TestStreamOfSilentServerIsNotCut(t *testing.T) {
	t.Parallel()
	serveSilentStream(t, 0, func(*fixture) {}).requireWholeStream()
}

// Guards against streams that are cut since their server was silent for a moment, the other one refused to go on with them,
// and the retry budget was spent by then.
func TestStreamOfSilentServerOutlastsRetryBudget(t *testing.T) {
	t.Parallel()
	f := serveSilentStream(t, 0, func(f *fixture) { f.process.retryBudgets.ForService("engines").Drain() })
	f.requireWholeStream()
}

// Guards against streams that wait until their deadline since both servers refused them for a moment, after the one that began
// them was silent.
func TestStreamOfSilentServerIsOfferedAgain(t *testing.T) {
	t.Parallel()
	serveSilentStream(t, 1, func(*fixture) {}).requireWholeStream()
}
