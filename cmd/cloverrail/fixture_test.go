package main

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

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/lab/faultwire"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform"
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
const eventually = 20 * time.Second

// fixture runs a proxy between a client and stand-ins for the platform.
type fixture struct {
	t        testing.TB
	store    *standin.Store
	process  *process
	front    *httptest.Server
	requests atomic.Int64
	version  int64
	// kill stops the node as seen from other nodes.
	kill func()
	// links are the connections from the node to the store and from other nodes to it. isolated
	// cuts the node's own calls to other nodes.
	ways   []*faultwire.Wire
	cutOff atomic.Bool
}

// setIsolated cuts or restores the node's connections to the store and to other nodes.
func (fixture *fixture) cut(off bool) {
	mode := faultwire.Sound
	if off {
		mode = faultwire.Reset
	}
	for _, way := range fixture.ways {
		way.Set(mode)
	}
	fixture.cutOff.Store(off)
}

var errCutOff = errors.New("the node is isolated")

// RoundTrip calls other nodes, unless the node is isolated.
func (fixture *fixture) RoundTrip(request *http.Request) (*http.Response, error) {
	if fixture.cutOff.Load() {
		return nil, errCutOff
	}
	return http.DefaultTransport.RoundTrip(request)
}

// newLink returns the address of a fault-injecting link to an address.
func (fixture *fixture) way(address string) string {
	wire, err := faultwire.New(address)
	require.NoError(fixture.t, err)
	fixture.ways = append(fixture.ways, wire)
	return wire.Address()
}

const keptAddress = "127.0.0.1:9"

func declared(version int64, keys ...string) standin.Document {
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
			{Name: "kept", StoreAddress: keptAddress, Capacity: 1_000_000},
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
	fixture := &fixture{t: t, store: store}
	peers := httptest.NewUnstartedServer(nil)
	given := settings.ProxyDefaults()
	given.Name, given.Zone = name, "a"
	given.Zones = map[string]string{"a": "r", "b": "r"}
	given.StoreAddress = fixture.way(storeAddress)
	given.PeerAddress = fixture.way(peers.Listener.Addr().String())
	given.StoreLeastLease = 500 * time.Millisecond
	given.Heartbeat = 300 * time.Millisecond
	given.Bounds.Configuration = 250 * time.Millisecond
	given.Bounds.Revocation = 2 * time.Second
	given.Bounds.HolderChange = time.Second
	given.Bounds.RetryExtra = 1e6
	given.LogLevel = "error"
	var err error
	fixture.process, err = newProcess(given)
	require.NoError(t, err)
	fixture.process.peers.Transport = fixture
	ctx, cancel := context.WithCancel(context.Background())
	fixture.kill = func() {
		cancel()
		peers.Close()
	}
	t.Cleanup(fixture.kill)
	peers.Config.Handler = fixture.process.peerHandler()
	peers.Start()
	go fixture.process.reflector.Run(ctx)
	fixture.process.keep(ctx)
	fixture.front = httptest.NewServer(&platform.Ingress{Proxy: fixture.process.proxy, Stopping: fixture.process.stopping.Load})
	t.Cleanup(fixture.front.Close)
	return fixture
}

// serve starts servers and waits until the proxy has read them and the declaration.
func (fixture *fixture) serve(servers ...*standin.Server) *fixture {
	for _, server := range servers {
		fixture.add(server)
	}
	fixture.declare(key)
	fixture.until(func() bool { return len(fixture.process.set.Servers(time.Now())) == len(servers) })
	return fixture
}

func (fixture *fixture) add(server *standin.Server) {
	listener := httptest.NewServer(server)
	fixture.t.Cleanup(listener.Close)
	fixture.list(server, listener.Listener.Addr().String(), "ready")
}

func (fixture *fixture) list(server *standin.Server, address, state string) {
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
	fixture.store.Put(standin.KeyConfiguration, declared(version, keys...))
	fixture.until(func() bool {
		belief := fixture.process.belief.Load()
		return belief != nil && belief.Snapshot != nil && belief.Snapshot.Version >= version
	})
}

// listedServer returns a server from the proxy's list.
func (fixture *fixture) known(instance string) (backend.Server, bool) {
	for _, server := range fixture.process.set.Servers(time.Now()) {
		if server.Instance == instance {
			return server, true
		}
	}
	return backend.Server{}, false
}

func (fixture *fixture) until(condition func() bool) {
	fixture.t.Helper()
	require.Eventually(fixture.t, condition, eventually, 5*time.Millisecond)
}

// clientResult is what the client received.
type answer struct {
	status int
	header http.Header
	closes bool
	body   string
	err    error
}

// send sends a request with the usual headers; change may modify it first.
func (fixture *fixture) send(method, path, body string, change func(*http.Request)) answer {
	request, err := http.NewRequest(method, fixture.front.URL+path, strings.NewReader(body))
	require.NoError(fixture.t, err)
	request.Host = host
	request.Header.Set(standin.HeaderRequestID, fmt.Sprint("request-", fixture.requests.Add(1)))
	request.Header.Set(standin.HeaderDeadline, "15000")
	request.Header.Set("Authorization", "Bearer "+key)
	if change != nil {
		change(request)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, closes: response.Close, body: string(data), err: err}
}

// setPromptHeaders adds the headers that describe a prompt.
func prompt(request *http.Request) {
	request.Header.Set(standin.HeaderModel, model)
	request.Header.Set(standin.HeaderTokenCount, "1460,80")
	request.Header.Set(standin.HeaderPromptPrefix, "5c1e:800,91bd:410,e440:250")
}

func plainServer(instance string, manner standin.Manner) *standin.Server {
	return standin.NewServer(instance, "", 0, manner)
}

func engine(instance string, manner standin.Manner) *standin.Server {
	return standin.NewServer(instance, model, 1, manner)
}

// eventText returns the text of a stream's events with the ids 1 to last.
func events(last int) string {
	text := strings.Builder{}
	for id := range last {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id+1, id+1)
	}
	return text.String()
}
