package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/clientconn"
	"github.com/cloverrail/cloverrail/internal/connlimit"
	"github.com/cloverrail/cloverrail/internal/forward"
	"github.com/cloverrail/cloverrail/internal/lab/faultwire"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/internal/outbound"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	host  = "shop.example"
	key   = "key-of-one"
	model = "m"
	// limitedKey belongs to a tenant that is limited to 20 requests per second with a burst of 5.
	limitedKey = "key-of-three"
)

// waitTimeout bounds each wait for a condition. No passing test waits that long.
const waitTimeout = 20 * time.Second

// fixture runs a proxy between a client and stand-ins for the platform.
type fixture struct {
	t        testing.TB
	store    *standin.Store
	process  *process
	frontend *httptest.Server
	// clientServer is the server that frontend runs.
	clientServer *clientconn.Server
	// clients is the listener of frontend.
	clients  *connlimit.Listener
	requests atomic.Int64
	version  int64
	// kill stops the node as seen from other nodes.
	kill func()
	// links are the connections from the node to the store and from other nodes to it. isolated
	// cuts the node's own calls to other nodes.
	links    []*faultwire.Forwarder
	isolated atomic.Bool
	// keepNoOrigins makes the node answer other nodes as a build that keeps no origins of streams.
	keepNoOrigins atomic.Bool
	// passesAnyStatus makes the node forward attempts of other nodes as a build that passes on any status of a server.
	passesAnyStatus atomic.Bool
}

// setIsolated cuts or restores the node's connections to the store and to other nodes.
func (fixture *fixture) setIsolated(isolated bool) {
	mode := faultwire.ModeForward
	if isolated {
		mode = faultwire.ModeReset
	}
	for _, link := range fixture.links {
		link.SetMode(mode)
	}
	fixture.isolated.Store(isolated)
}

var errIsolated = errors.New("the node is isolated")

// RoundTrip calls other nodes, unless the node is isolated.
func (fixture *fixture) RoundTrip(request *http.Request) (*http.Response, error) {
	if fixture.isolated.Load() {
		return nil, errIsolated
	}
	return http.DefaultTransport.RoundTrip(request)
}

// newLink returns the address of a fault-injecting link to an address.
func (fixture *fixture) newLink(address string) string {
	wire, err := faultwire.New(address)
	require.NoError(fixture.t, err)
	fixture.links = append(fixture.links, wire)
	return wire.Address()
}

const prefixStoreAddress = "127.0.0.1:9"

func newDocument(version int64, keys ...string) standin.Document {
	return standin.Document{
		Version: version,
		Routes: []standin.Route{
			{Name: "once", Host: host, PathPrefix: "/once/", Kind: "non_idempotent", Timeout: 15000, TargetLatency: 300, Service: "plain", MaxAttempts: 1},
			{Name: "again", Host: host, PathPrefix: "/again/", Kind: "idempotent", Timeout: 15000, TargetLatency: 300, Service: "plain", MaxAttempts: 3},
			{Name: "short", Host: host, PathPrefix: "/short/", Kind: "non_idempotent", Timeout: 100, TargetLatency: 50, Service: "plain", MaxAttempts: 1},
			{Name: "stream", Host: host, PathPrefix: "/stream/", Kind: "streaming", Timeout: 15000, TargetLatency: 800, GapTarget: 500, Service: "engines", MaxAttempts: 3, Resumable: true},
			{Name: "fixed", Host: host, PathPrefix: "/fixed/", Kind: "streaming", Timeout: 15000, TargetLatency: 800, GapTarget: 500, Service: "engines", MaxAttempts: 1},
			{Name: "open", Host: host, PathPrefix: "/open/", Kind: "idempotent", Timeout: 15000, TargetLatency: 300, Service: "plain", MaxAttempts: 1, Public: true},
		},
		Services: []standin.Service{
			{Name: "plain"},
			{Name: "engines", Engine: &standin.Engine{Slots: 8, CapacityTokens: 100_000, TokenBytes: 1000, LinkMegabits: 1e6}},
			{Name: "kept", StoreAddress: prefixStoreAddress, Capacity: 1_000_000},
		},
		Limits: standin.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1000},
		Tenants: []standin.Tenant{
			{Name: "one", Keys: keys},
			{Name: "two", Keys: []string{"key-of-two"}, Isolated: true},
			{Name: "three", Keys: []string{limitedKey}, Rate: 20, Burst: 5},
		},
	}
}

// newFixture starts a proxy with short bounds, which keep tests short. The store holds no
// declaration yet.
func newFixture(t testing.TB) *fixture {
	store, address := newStore(t)
	return newNode(t, store, address, "node")
}

// newStore starts a stand-in for the platform's store.
func newStore(t testing.TB) (store *standin.Store, address string) {
	store = standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return store, server.Listener.Addr().String()
}

// newNode starts one node of a fleet and serves its peer address.
func newNode(t testing.TB, store *standin.Store, storeAddress, name string) *fixture {
	return newNodeWith(t, store, storeAddress, name, func(*settings.Proxy) {})
}

// newNodeWith starts a node with changed settings. At a peer address of their own, other nodes reach it without a link.
func newNodeWith(t testing.TB, store *standin.Store, storeAddress, name string, change func(config *settings.Proxy)) *fixture {
	fixture := &fixture{t: t, store: store}
	peers := httptest.NewUnstartedServer(nil)
	config := settings.ProxyDefaults()
	config.Name, config.Zone = name, "a"
	config.Zones = map[string]string{"a": "r", "b": "r"}
	config.StoreAddress = fixture.newLink(storeAddress)
	config.PeerAddress = fixture.newLink(peers.Listener.Addr().String())
	config.MinStoreLease = 500 * time.Millisecond
	config.Heartbeat = 300 * time.Millisecond
	config.Bounds.Configuration = 250 * time.Millisecond
	config.Bounds.Revocation = 2 * time.Second
	config.Bounds.LeaderHandover = time.Second
	config.Bounds.RetryExtra = 1e6
	config.LogLevel = "error"
	linked := config.PeerAddress
	change(&config)
	var err error
	if config.PeerAddress != linked {
		_ = peers.Listener.Close()
		peers.Listener, err = net.Listen("tcp", config.PeerAddress)
		require.NoError(t, err)
	}
	fixture.process, err = newProcess(config)
	require.NoError(t, err)
	fixture.process.peerClient.Transport = &outbound.Transport{Base: fixture, Timeout: peerTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	fixture.kill = func() {
		cancel()
		peers.Close()
	}
	t.Cleanup(fixture.kill)
	handler, formerForward := fixture.process.peerHandler(), newFormerForwardHandler(fixture.process)
	peers.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fixture.keepNoOrigins.Load() && slices.Contains([]string{origin.PathRecords, origin.PathLookup, origin.PathOpen}, r.URL.Path) {
			http.NotFound(w, r)
			return
		}
		if fixture.passesAnyStatus.Load() && r.URL.Path == forward.Path {
			formerForward.ServeHTTP(w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
	peers.Start()
	go fixture.process.reflector.Run(ctx)
	fixture.process.runBackgroundTasks(ctx)
	fixture.frontend = httptest.NewUnstartedServer(nil)
	fixture.clientServer = fixture.process.newClientServer()
	fixture.frontend.Config = &fixture.clientServer.Server
	fixture.clients = &connlimit.Listener{Listener: fixture.frontend.Listener, Gate: connlimit.NewGate(0)}
	fixture.frontend.Listener = fixture.process.observeClients(fixture.clients)
	fixture.frontend.Start()
	t.Cleanup(fixture.frontend.Close)
	return fixture
}

// serve starts servers and waits until the proxy has read them and the declaration.
func (fixture *fixture) serve(servers ...*standin.Server) *fixture {
	for _, server := range servers {
		fixture.addServer(server)
	}
	fixture.declare(key)
	fixture.waitUntil(func() bool { return fixture.knows(len(servers)) })
	return fixture
}

// knows reports whether the proxy knows a number of servers, and may begin streams at all of them.
func (fixture *fixture) knows(servers int) bool {
	set := fixture.process.serverSet
	return len(set.Servers(time.Now())) == servers && len(set.UnrecordedSoftware()) == 0
}

func (fixture *fixture) addServer(server *standin.Server) {
	listener := httptest.NewServer(server)
	fixture.t.Cleanup(listener.Close)
	fixture.registerServer(server, listener.Listener.Addr().String(), "ready")
}

func (fixture *fixture) registerServer(server *standin.Server, address, state string) {
	service := "plain"
	if server.Model != "" {
		service = "engines"
	}
	fixture.store.Put(standin.PrefixServers+server.Instance, server.Entry(service, address, "a", state))
}

// declare writes a newer declaration with the keys of tenant one, and waits until it is in force.
func (fixture *fixture) declare(keys ...string) {
	fixture.version++
	version := fixture.version
	fixture.store.Put(standin.KeyConfiguration, newDocument(version, keys...))
	fixture.waitUntil(func() bool {
		replica := fixture.process.replica.Load()
		return replica != nil && replica.Snapshot != nil && replica.Snapshot.Version >= version
	})
}

// listedServer returns a server from the proxy's list.
func (fixture *fixture) listedServer(instance string) (backend.Server, bool) {
	for _, server := range fixture.process.serverSet.Servers(time.Now()) {
		if server.Instance == instance {
			return server, true
		}
	}
	return backend.Server{}, false
}

// awaitRetryShare waits until the node has its share of the fleet's retries. Until then it repeats what its own requests
// have earned.
func (fixture *fixture) awaitRetryShare() {
	fixture.t.Helper()
	fixture.waitUntil(func() bool { return fixture.process.retryBudgets.Nodes() > 0 })
}

func (fixture *fixture) waitUntil(condition func() bool) {
	fixture.t.Helper()
	require.Eventually(fixture.t, condition, waitTimeout, 5*time.Millisecond)
}

// clientResult is what the client received.
type clientResult struct {
	status int
	header http.Header
	// closesConnection says that the response announced the end of the connection.
	closesConnection bool
	body             string
	err              error
}

// send sends a request with the usual headers; change may modify it first.
func (fixture *fixture) send(method, path, body string, change func(*http.Request)) clientResult {
	request, err := http.NewRequest(method, fixture.frontend.URL+path, strings.NewReader(body))
	require.NoError(fixture.t, err)
	request.Host = host
	request.Header.Set(standin.HeaderRequestID, fmt.Sprint("request-", fixture.requests.Add(1)))
	request.Header.Set(standin.HeaderDeadline, "15000")
	request.Header.Set("Authorization", "Bearer "+key)
	if change != nil {
		change(request)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return clientResult{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return clientResult{status: response.StatusCode, header: response.Header, closesConnection: response.Close, body: string(data), err: err}
}

// setPromptHeaders adds the headers that describe a prompt.
func setPromptHeaders(request *http.Request) {
	request.Header.Set(standin.HeaderModel, model)
	request.Header.Set(standin.HeaderTokenCount, "1460,80")
	request.Header.Set(standin.HeaderPromptPrefix, "5c1e:800,91bd:410,e440:250")
}

func plainServer(instance string, handler standin.Handler) *standin.Server {
	return standin.NewServer(instance, "", 0, handler)
}

func engine(instance string, handler standin.Handler) *standin.Server {
	return standin.NewServer(instance, model, 1, handler)
}

// eventText returns the text of a stream's events with the ids 1 to last.
func eventText(last int) string {
	text := strings.Builder{}
	for id := range last {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id+1, id+1)
	}
	return text.String()
}
