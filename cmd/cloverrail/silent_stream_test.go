package main

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// Guards against streams that are cut since their server was silent for a moment, and the other one refused to go on with
// them.
func TestStreamOfSilentServerIsNotCut(t *testing.T) {
	t.Parallel()
	const silence = 1500 * time.Millisecond
	var once sync.Once
	var first string
	handler := func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		once.Do(func() { first = server.Instance })
		if server.Instance != first {
			w.Header().Set(standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
			w.Header().Set(standin.HeaderNotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(standin.HeaderStamp, server.Instance+standin.StampSuffix)
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Header.Get("Last-Event-Id") == "1" {
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
	f := newFixture(t).serve(engine("i-1", handler), engine("i-2", handler))
	f.awaitRetryShare()
	f.version++
	document := newDocument(f.version, key)
	for i := range document.Routes {
		document.Routes[i].GapTarget = 100
	}
	f.store.Put(standin.KeyConfiguration, document)
	f.waitUntil(func() bool { return f.process.replica.Load().Snapshot.Version == f.version })
	got := f.send(http.MethodPost, "/stream/", "prompt", setPromptHeaders)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, eventText(3), got.body)
}
