package main

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/platform/standin"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	server := plainServer("i-1", standin.Respond(http.StatusCreated, "done"))
	fixture := newFixture(t).serve(server)
	got := fixture.send(http.MethodPost, "/once/a%2Fb/../c?x=1&y=%20", "turn", func(request *http.Request) {
		request.Header.Set("X-Kept", "yes")
		request.Header.Set("X-Hop", "no")
		request.Header.Set("Connection", "X-Hop")
		request.Header.Set(standin.HeaderTenant, "two")
		request.Header.Set(standin.HeaderCacheSalt, "stolen")
		request.Header.Set(standin.HeaderHold, "stolen")
		request.Header.Set(standin.HeaderBackupFrom, "stolen")
	})
	require.Equal(t, http.StatusCreated, got.status)
	require.Equal(t, "done", got.body)
	require.Equal(t, "i-1.stamp", got.header.Get(standin.HeaderStamp))
	arrival := server.Arrivals()[0]
	require.Equal(t, "/once/a%2Fb/../c?x=1&y=%20", arrival.Target)
	require.Equal(t, "turn", string(arrival.Body))
	require.Equal(t, host, arrival.Host)
	require.Equal(t, "yes", arrival.Header.Get("X-Kept"))
	require.Equal(t, "one", arrival.Header.Get(standin.HeaderTenant))
	require.Equal(t, "i-1", arrival.Header.Get(standin.HeaderExpectInstance))
	for _, name := range []string{"Authorization", "X-Hop", standin.HeaderCacheSalt, standin.HeaderHold, standin.HeaderBackupFrom} {
		require.Empty(t, arrival.Header.Get(name), name)
	}
	left, err := strconv.Atoi(arrival.Header.Get(standin.HeaderDeadline))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 15000)
}

func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	for name, handler := range map[string]standin.Handler{
		"dies": standin.AbortConnection, "crosses": standin.RespondToOtherRequest, "unsigned": standin.RespondUnstamped, "encodes": standin.RespondEncoded,
	} {
		t.Run(name, func(t *testing.T) {
			first, second := plainServer("i-1", handler), plainServer("i-2", handler)
			fixture := newFixture(t).serve(first, second)
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				got := fixture.send(method, "/once/", "", nil)
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Empty(t, got.header.Get("Retry-After"), "it may have run, so no retry is suggested")
				require.Empty(t, got.header.Get(standin.HeaderStamp))
			}
			require.Equal(t, 2, first.Runs()+second.Runs())
		})
	}
}

func TestIdempotentRequestIsRetriedOnAnotherServer(t *testing.T) {
	for name, handler := range map[string]standin.Handler{
		"dies": standin.AbortConnection, "crosses": standin.RespondToOtherRequest, "unsigned": standin.RespondUnstamped, "encodes": standin.RespondEncoded,
		"fails": standin.Respond(http.StatusInternalServerError, "sorry"), "sheds": standin.Reject,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newFixture(t).serve(plainServer("i-1", handler), plainServer("i-2", standin.Respond(http.StatusOK, "done")))
			fixture.awaitRetryShare()
			for range 4 {
				got := fixture.send(http.MethodGet, "/again/", "", nil)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "done", got.body)
			}
		})
	}
}

func TestRefusalByAllServersGuaranteesNotRun(t *testing.T) {
	server := plainServer("i-1", standin.Reject)
	fixture := newFixture(t).serve(server)
	got := fixture.send(http.MethodPost, "/once/", "turn", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, wait)
	require.Zero(t, server.Runs())
}

func TestServerErrorIsForwarded(t *testing.T) {
	fixture := newFixture(t).serve(plainServer("i-1", standin.Respond(http.StatusInternalServerError, "sorry")))
	got := fixture.send(http.MethodPost, "/once/", "turn", nil)
	require.Equal(t, http.StatusInternalServerError, got.status)
	require.Equal(t, "sorry", got.body)
	require.Equal(t, "i-1.stamp", got.header.Get(standin.HeaderStamp))
}

func TestBrokenStreamResumesOnAnotherServer(t *testing.T) {
	fixture := newFixture(t).serve(
		engine("i-1", standin.StreamEvents(6, 3)), engine("i-2", standin.StreamEvents(6, 5)), engine("i-3", standin.StreamEvents(6, 0)))
	for range 5 {
		got := fixture.send(http.MethodPost, "/stream/", "prompt", setPromptHeaders)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, eventText(6), got.body, "no event is duplicated or missing")
	}
}

func TestBrokenNonResumableStreamIsAborted(t *testing.T) {
	fixture := newFixture(t).serve(engine("i-1", standin.StreamEvents(6, 3)), engine("i-2", standin.StreamEvents(6, 3)))
	got := fixture.send(http.MethodPost, "/fixed/", "prompt", setPromptHeaders)
	require.Error(t, got.err, "it must not look complete")
	require.Equal(t, eventText(2), got.body)
}

func TestClientResumesStream(t *testing.T) {
	server := engine("i-1", standin.StreamEvents(4, 0))
	fixture := newFixture(t).serve(server)
	got := fixture.send(http.MethodPost, "/stream/", "prompt", func(request *http.Request) {
		setPromptHeaders(request)
		request.Header.Set(standin.HeaderLastEventID, "2")
	})
	require.Equal(t, eventText(4)[len(eventText(2)):], got.body)
	require.Equal(t, "2", server.Arrivals()[0].Header.Get(standin.HeaderLastEventID))
}

func TestPromptsCarryCacheSaltAndVersion(t *testing.T) {
	server := engine("i-1", standin.StreamEvents(1, 0))
	fixture := newFixture(t).serve(server)
	fixture.send(http.MethodPost, "/stream/", "prompt", setPromptHeaders)
	fixture.send(http.MethodPost, "/stream/", "prompt", func(request *http.Request) {
		setPromptHeaders(request)
		request.Header.Set("Authorization", "Bearer key-of-two")
	})
	arrivals := server.Arrivals()
	require.Len(t, arrivals, 2)
	shared, isolated := arrivals[0].Header, arrivals[1].Header
	require.NotEmpty(t, shared.Get(standin.HeaderCacheSalt))
	require.NotEqual(t, shared.Get(standin.HeaderCacheSalt), isolated.Get(standin.HeaderCacheSalt), "tenant two is isolated")
	require.Equal(t, "1", shared.Get(standin.HeaderExpectVersion))
	require.Equal(t, prefixStoreAddress, shared.Get(standin.HeaderFetch))
	require.Equal(t, "5c1e:800,91bd:410,e440:250", shared.Get(standin.HeaderPromptPrefix))
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	server := plainServer("i-1", standin.Respond(http.StatusOK, "done"))
	fixture := newFixture(t)
	require.Equal(t, http.StatusServiceUnavailable, fixture.send(http.MethodGet, "/again/", "", nil).status, "nothing is declared yet")
	fixture.serve(server)
	without := func(name string) func(*http.Request) {
		return func(request *http.Request) { request.Header.Del(name) }
	}
	with := func(name, value string) func(*http.Request) {
		return func(request *http.Request) { request.Header.Set(name, value) }
	}
	for name, test := range map[string]struct {
		path, body string
		change     func(*http.Request)
		status     int
	}{
		"no key":       {"/once/", "", without("Authorization"), http.StatusUnauthorized},
		"unknown key":  {"/once/", "", with("Authorization", "Bearer x"), http.StatusUnauthorized},
		"no route":     {"/none/", "", nil, http.StatusNotFound},
		"no id":        {"/once/", "", without(standin.HeaderRequestID), http.StatusBadRequest},
		"bad deadline": {"/once/", "", with(standin.HeaderDeadline, "soon"), http.StatusBadRequest},
		"long body":    {"/once/", strings.Repeat("x", 1001), nil, http.StatusRequestEntityTooLarge},
		"long head":    {"/once/", "", with("X-Long", strings.Repeat("x", 5000)), http.StatusRequestHeaderFieldsTooLarge},
		"malformed prompt": {"/stream/", "", func(request *http.Request) {
			setPromptHeaders(request)
			request.Header.Set(standin.HeaderPromptPrefix, "a")
		}, http.StatusBadRequest},
	} {
		require.Equal(t, test.status, fixture.send(http.MethodPost, test.path, test.body, test.change).status, name)
	}
	require.Empty(t, server.Arrivals())
	require.Equal(t, http.StatusOK, fixture.send(http.MethodGet, "/open/", "", without("Authorization")).status, "the route is public")
}

func TestRemovedKeyIsRejected(t *testing.T) {
	server := plainServer("i-1", standin.Respond(http.StatusOK, "done"))
	fixture := newFixture(t).serve(server)
	require.Equal(t, http.StatusOK, fixture.send(http.MethodGet, "/again/", "", nil).status)
	fixture.declare("another")
	require.Equal(t, http.StatusUnauthorized, fixture.send(http.MethodGet, "/again/", "", nil).status)
}

func TestTenantOverLimitIsRejectedAsNotRun(t *testing.T) {
	server := plainServer("i-1", standin.Respond(http.StatusOK, "done"))
	fixture := newFixture(t).serve(server)
	limited := func(request *http.Request) { request.Header.Set("Authorization", "Bearer "+limitedKey) }
	answered := 0
	for range 200 {
		got := fixture.send(http.MethodPost, "/once/", "", limited)
		switch got.status {
		case http.StatusOK:
			answered++
		case http.StatusTooManyRequests:
			require.NotEmpty(t, got.header.Get("Retry-After"))
			require.Contains(t, got.body, "the tenant is limited to 20 requests per second;")
		default:
			require.Fail(t, "another status", got.status)
		}
	}
	require.Less(t, answered, 200)
	require.Len(t, server.Arrivals(), answered, "rejected requests do not reach a server")
	require.Equal(t, http.StatusOK, fixture.send(http.MethodPost, "/once/", "", nil).status, "other tenants are not affected")
}

func TestInternalHeadersFromClientsAreDropped(t *testing.T) {
	server := engine("i-1", standin.StreamEvents(3, 0))
	fixture := newFixture(t).serve(server)
	forged := standin.ForgedInternalHeaders()
	got := fixture.send(http.MethodPost, "/stream/", "", func(request *http.Request) {
		setPromptHeaders(request)
		for name, value := range forged {
			request.Header.Set(name, value)
		}
	})
	require.Equal(t, http.StatusOK, got.status)
	require.NotEmpty(t, server.Arrivals())
	for _, arrival := range server.Arrivals() {
		for name, value := range forged {
			require.NotEqual(t, value, arrival.Header.Get(name), name)
		}
	}
}

func TestNodeWithStaleKeysServesOnlyPublicRoutes(t *testing.T) {
	fixture := newFixture(t).serve(plainServer("i-1", standin.Respond(http.StatusOK, "done")))
	fixture.store.SetFault(func(*http.Request) standin.Fault { return standin.FaultNoResponse })
	fixture.waitUntil(func() bool {
		return fixture.send(http.MethodGet, "/again/", "", nil).status == http.StatusServiceUnavailable
	})
	require.False(t, fixture.process.proxy.Ready(time.Now()))
	require.Equal(t, http.StatusServiceUnavailable, fixture.send(http.MethodGet, "/none/", "", nil).status, "the route may have been declared since")
	require.Equal(t, http.StatusOK, fixture.send(http.MethodGet, "/open/", "", nil).status)
	fixture.store.SetFault(nil)
	fixture.waitUntil(func() bool { return fixture.send(http.MethodGet, "/again/", "", nil).status == http.StatusOK })
}

func TestUnreadableEntriesAreSkipped(t *testing.T) {
	fixture := newFixture(t).serve(plainServer("i-1", standin.Respond(http.StatusOK, "done")))
	fixture.store.Put(standin.PrefixServers+"i-broken", "not an entry")
	fixture.store.PutModelVersion("x", 7)
	fixture.store.Put(standin.KeyConfiguration, "not a document")
	fixture.addServer(plainServer("i-2", standin.Respond(http.StatusOK, "done")))
	fixture.waitUntil(func() bool { return len(fixture.process.serverSet.Servers(time.Now())) == 2 })
	require.Equal(t, http.StatusOK, fixture.send(http.MethodGet, "/again/", "", nil).status, "the last valid declaration stays in force")
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	draining := plainServer("i-1", standin.Respond(http.StatusOK, "done"))
	staying := plainServer("i-2", standin.Respond(http.StatusOK, "done"))
	fixture := newFixture(t).serve(draining, staying)
	fixture.registerServer(draining, "127.0.0.1:9", "draining")
	fixture.waitUntil(func() bool {
		server, found := fixture.listedServer("i-1")
		return found && server.Draining
	})
	before := len(draining.Arrivals())
	for range 10 {
		require.Equal(t, http.StatusOK, fixture.send(http.MethodPost, "/once/", "", nil).status)
	}
	require.Len(t, draining.Arrivals(), before)
}

func TestReusedAddressIsDetectedBeforeRunning(t *testing.T) {
	other := plainServer("i-other", standin.Respond(http.StatusOK, "wrong"))
	fixture := newFixture(t)
	fixture.addServer(other)
	fixture.declare(key)
	fixture.waitUntil(func() bool { return len(fixture.process.serverSet.Servers(time.Now())) == 1 })
	server, _ := fixture.listedServer("i-other")
	fixture.store.Put(standin.PrefixServers+"i-gone", plainServer("i-gone", nil).Entry("plain", server.Address, "a", "ready"))
	fixture.store.Remove(standin.PrefixServers + "i-other")
	fixture.waitUntil(func() bool { _, found := fixture.listedServer("i-gone"); return found })
	got := fixture.send(http.MethodPost, "/once/", "turn", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Zero(t, other.Runs())
}

func TestNewWeightsReachEveryServer(t *testing.T) {
	servers := []*standin.Server{}
	for _, name := range []string{"i-1", "i-2", "i-3"} {
		server := engine(name, standin.StreamEvents(2, 0))
		server.LoadTime = 20 * time.Millisecond
		servers = append(servers, server)
	}
	fixture := newFixture(t).serve(servers...)
	for version := int64(2); version <= 3; version++ {
		fixture.store.ReleaseVersion(model, version)
		fixture.waitUntil(func() bool {
			got := fixture.send(http.MethodPost, "/stream/", "prompt", setPromptHeaders)
			require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, got.status)
			for _, server := range servers {
				if server.Version() != version {
					return false
				}
			}
			return true
		})
	}
	for _, server := range servers {
		require.Equal(t, 2, server.Orders(), "one order for each version")
	}
}

func TestRouteTimeoutEndsRequest(t *testing.T) {
	server := plainServer("i-1", standin.Hang)
	fixture := newFixture(t).serve(server)
	got := fixture.send(http.MethodPost, "/short/", "turn", nil)
	require.Equal(t, http.StatusGatewayTimeout, got.status, "it may have run")
	require.Empty(t, got.header.Get("Retry-After"))
}

func TestClientDisconnectCancelsServerRequest(t *testing.T) {
	ended := make(chan struct{})
	server := plainServer("i-1", func(_ *standin.Server, _ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		close(ended)
	})
	fixture := newFixture(t).serve(server)
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		fixture.waitUntil(func() bool { return len(server.Arrivals()) == 1 })
		disconnect()
	}()
	fixture.send(http.MethodPost, "/once/", "turn", func(request *http.Request) { *request = *request.WithContext(ctx) })
	<-ended
}

func TestReloadIgnoresInvalidSettings(t *testing.T) {
	defer zerolog.SetGlobalLevel(zerolog.GlobalLevel())
	fixture := newFixture(t).serve(plainServer("i-1", standin.Respond(http.StatusOK, "done")))
	file := filepath.Join(t.TempDir(), "proxy.yaml")
	text := "name: node\nzone: a\ncallerAddress: 127.0.0.1:1\nreadinessAddress: 127.0.0.1:2\npeerAddress: 127.0.0.1:3\nstoreAddress: 127.0.0.1:4\nlogLevel: "
	require.NoError(t, os.WriteFile(file, []byte(text+"warn\n"), 0o600))
	fixture.process.reload(file)
	require.Equal(t, zerolog.WarnLevel, zerolog.GlobalLevel())
	require.NoError(t, os.WriteFile(file, []byte(text+"loud\n"), 0o600))
	fixture.process.reload(file)
	require.Equal(t, zerolog.WarnLevel, zerolog.GlobalLevel())
	require.Equal(t, http.StatusOK, fixture.send(http.MethodGet, "/again/", "", nil).status)
}

func TestGracefulStopAnswersOpenRequests(t *testing.T) {
	server := plainServer("i-1", standin.Hang)
	fixture := newFixture(t).serve(server)
	answers := make(chan clientResult)
	go func() { answers <- fixture.send(http.MethodPost, "/once/", "turn", nil) }()
	fixture.waitUntil(func() bool { return len(server.Arrivals()) == 1 })
	fixture.process.stopping.Store(true)
	fixture.process.proxy.Drain(context.Background(), 0)
	got := <-answers
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadGateway, got.status)
	require.True(t, got.closesConnection, "the next request goes elsewhere")
}

func TestEngineCacheIsWatchedAndDroppedOnNewWeights(t *testing.T) {
	server := engine("i-1", standin.StreamEvents(2, 0))
	server.LoadTime = 20 * time.Millisecond
	fixture := newFixture(t).serve(server)
	fixture.process.watchHolders(t.Context())
	require.Equal(t, http.StatusOK, fixture.send(http.MethodPost, "/stream/", "prompt", setPromptHeaders).status)
	known, _ := fixture.listedServer("i-1")
	arrivals := server.Arrivals()
	salt := arrivals[len(arrivals)-1].Header.Get(standin.HeaderCacheSalt)
	shared := []residency.Piece{{Key: residency.NewKey(salt, "5c1e"), Tokens: 800}}
	// Asks for an incarnation to which this node has sent nothing, so that only the watched cache
	// counts, and not the parts that the node expects to be cached after its own requests.
	cachedTokens := func() int { return fixture.process.cacheLedger.CachedTokens(known.Address, "told", shared, time.Now()) }
	fixture.waitUntil(func() bool { return cachedTokens() == 800 })
	fixture.store.ReleaseVersion(model, 2)
	fixture.waitUntil(func() bool { return cachedTokens() == 0 })
	for _, arrival := range server.Arrivals() {
		require.NotContains(t, arrival.Target, "/api/", "calls of the node itself do not count as requests")
	}
}
