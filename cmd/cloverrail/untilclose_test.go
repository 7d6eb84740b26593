package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against responses with neither a length nor chunks, which end with their connection: one that was
// cut short must not look complete.

// A complete response passes, whatever the kind of route, and its connection's end is no sign of anything else.
func TestResponseThatEndsWithItsConnectionIsPassedOn(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t).serve(
		plainServer("i-1", standin.UntilClose(standin.Respond(http.StatusOK, "done"), false)),
		engine("i-2", standin.UntilClose(standin.StreamEvents(3, 0), false)))
	for range 20 {
		for _, kind := range []string{"once", "again"} {
			got := fixture.send(http.MethodPost, "/"+kind+"/", "turn", nil)
			require.Equal(t, "done", got.body)
			require.False(t, got.closesConnection)
		}
		for _, kind := range []string{"fixed", "stream"} {
			got := fixture.send(http.MethodPost, "/"+kind+"/", "prompt", setPromptHeaders)
			require.NoError(t, got.err)
			require.Equal(t, eventText(3), got.body)
		}
	}
	require.False(t, fixture.process.quarantineLedger.Active())
	for _, instance := range []string{"i-1", "i-2"} {
		require.True(t, fixture.process.serverSet.InService(instance))
	}
}

// A stream that ends inside an event was cut short: it is continued at another server if it may be, and else aborted.
func TestStreamThatEndsInsideEventIsNotComplete(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			t.Parallel()
			cut := engine("i-1", standin.UntilClose(standin.StreamEvents(5, 3), reset))
			fixture := newFixture(t).serve(cut)
			got := fixture.send(http.MethodPost, "/fixed/", "prompt", setPromptHeaders)
			require.True(t, got.err != nil || got.status != http.StatusOK, "%d %q", got.status, got.body)
			fixture.addServer(engine("i-2", standin.UntilClose(standin.StreamEvents(5, 0), false)))
			fixture.waitUntil(func() bool { _, found := fixture.listedServer("i-2"); return found })
			for range 10 {
				got := fixture.send(http.MethodPost, "/stream/", "prompt", setPromptHeaders)
				require.NoError(t, got.err)
				require.Equal(t, eventText(5), got.body)
			}
		})
	}
}

// A stream that ends with its connection before its first event, or a response that is reset, is not complete.
func TestResponseThatEndsBeforeItsContentIsNotComplete(t *testing.T) {
	t.Parallel()
	empty := func(server *standin.Server, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(standin.HeaderStamp, server.Instance+standin.StampSuffix)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	half := func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		standin.Respond(http.StatusOK, strings.Repeat("half", 1000))(server, w, r)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	fixture := newFixture(t).serve(engine("i-1", standin.UntilClose(empty, false)), plainServer("i-2", standin.UntilClose(half, true)))
	got := fixture.send(http.MethodPost, "/fixed/", "prompt", setPromptHeaders)
	require.True(t, got.err != nil || got.status != http.StatusOK, "%d %q", got.status, got.body)
	got = fixture.send(http.MethodPost, "/once/", "turn", nil)
	require.True(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
}

// TestContinuationWithoutEventIsNotComplete guards against streams that end early and look complete: the server that goes on
// with a stream, for the node or for a client that comes again, stops right after a head without a length.
func TestContinuationWithoutEventIsNotComplete(t *testing.T) {
	t.Parallel()
	cut := standin.UntilClose(standin.StreamEvents(5, 3), false)
	stopsAfterHead := standin.UntilClose(func(server *standin.Server, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(standin.HeaderStamp, server.Instance+standin.StampSuffix)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}, false)
	handler := func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(standin.HeaderLastEventID) != "" {
			stopsAfterHead(server, w, r)
			return
		}
		cut(server, w, r)
	}
	fixture := newFixture(t).serve(engine("i-1", handler), engine("i-2", handler))
	resumes := func(request *http.Request) {
		setPromptHeaders(request)
		request.Header.Set(standin.HeaderLastEventID, "2")
	}
	for range 5 {
		for _, set := range []func(*http.Request){setPromptHeaders, resumes} {
			got := fixture.send(http.MethodPost, "/stream/", "prompt", set)
			require.True(t, got.err != nil || got.status != http.StatusOK, "%d %q", got.status, got.body)
		}
	}
}

// Servers whose responses end with their connections crash under a part, at the end of an event: what they wrote looks
// complete, and must not clear the part.
func TestCrashAfterWholeEventDoesNotClearPart(t *testing.T) {
	t.Parallel()
	f := newPartFleet(t, 3)
	for _, m := range f.machines {
		if m.Model != "" {
			m.Handler, m.EndsWithConnection = standin.UntilClose(m.Handler, false), true
		}
	}
	sound := f.sendSound("fixed", 6, f.nodes)
	client := &partClient{fleet: f, kind: "fixed"}
	tries := sync.WaitGroup{}
	defer tries.Wait()
	begin := time.Now()
	for request := 0; time.Since(begin) < 12*time.Second; request++ {
		tries.Go(func() { client.send(f.nodes[request%len(f.nodes)], "system", "bad") })
		time.Sleep(crashingInterval)
	}
	f.requirePartHeldOff("bad")
	sound.requireServed(f.partCrashTimes("bad")[partCrashThreshold-1].Add(propagationTime))
}
