package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// handoverEvents is the number of events of the streams, and handoverInterval the time between two.
	handoverEvents   = 20
	handoverInterval = 40 * time.Millisecond
	// maxRunOverlap is how long an earlier server may still work on a stream that goes on elsewhere.
	maxRunOverlap = 400 * time.Millisecond
	// soundStall is for how long a sound server may stall.
	soundStall = 1600 * time.Millisecond
	// callerPatience is the gap after which callers give a stream of the route "brief" up.
	callerPatience = 3200 * time.Millisecond
)

// briefStream is the resumable route whose events follow each other closely.
var briefStream = routeCall{method: http.MethodPost, path: "/brief/", prompted: true}

// handoverFixture is a fleet with a first engine, which can stall, and a second one that is registered once the
// first one works on a stream.
type handoverFixture struct {
	*fleetFixture
	first, second *standin.Server
	listener      *standin.StallingListener
	// links are those of the first node.
	links *serverLinks
	// begun gets a value for each request that the first engine begins to work on.
	begun chan struct{}
}

// The ways from the first node to the first engine.
const (
	wayDirect = "direct"
	wayDetour = "detour"
)

// newHandoverFixture starts two nodes before a first engine with a handler. On a detour, the first node cannot
// connect to that engine.
func newHandoverFixture(t *testing.T, way string, handler standin.Handler) *handoverFixture {
	f := &handoverFixture{fleetFixture: &fleetFixture{t: t}, begun: make(chan struct{}, 100)}
	f.store, f.storeAddress = newStore(t)
	for range 2 {
		f.addNode()
	}
	f.links = newServerLinks(f.nodes[0])
	document := newDocument(1, key)
	document.Routes = append(document.Routes, standin.Route{
		Name: "brief", Host: host, PathPrefix: briefStream.path, Kind: "streaming", Timeout: 15000, TargetLatency: 800, GapTarget: 100, Service: "engines", MaxAttempts: 3, Resumable: true,
	})
	f.store.Put(standin.KeyConfiguration, document)
	f.first = engine("i-1", func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		f.begun <- struct{}{}
		handler(server, w, r)
	})
	f.second = engine("i-2", standin.StreamPaced(handoverEvents, handoverInterval, "token"))
	f.listener = f.serveStalling(f.first)
	if way == wayDetour {
		f.links.set(linksReset, f.listener.Addr().String())
	}
	f.awaitServers(1)
	for _, n := range f.nodes {
		n.awaitRetryShare()
	}
	return f
}

// serveStalling serves and registers a server whose connections can be stalled.
func (f *handoverFixture) serveStalling(server *standin.Server) *standin.StallingListener {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	listener := standin.NewStallingListener(plain)
	serving := httptest.NewUnstartedServer(server)
	serving.Listener = listener
	serving.Start()
	f.t.Cleanup(func() {
		listener.SetStalled(false)
		serving.CloseClientConnections()
		serving.Close()
	})
	f.nodes[0].registerServer(server, plain.Addr().String(), "ready")
	return listener
}

// awaitServers waits until all nodes know a number of servers and each other.
func (f *handoverFixture) awaitServers(count int) {
	for _, n := range f.nodes {
		f.awaitReady(n)
		n.waitUntil(func() bool { return n.knows(count) })
	}
}

// receivedStream is a stream as its caller received it.
type receivedStream struct {
	events []string
	// longestGap is the longest time without an event, from the request to the end.
	longestGap time.Duration
	err        error
}

// stream sends a request on a route at the first node, and reads its response.
func (f *handoverFixture) stream(c routeCall) receivedStream {
	n := f.nodes[0]
	request, err := http.NewRequest(c.method, n.frontend.URL+c.path+"x", strings.NewReader("prompt"))
	require.NoError(f.t, err)
	request.Host = host
	request.Header.Set(standin.HeaderRequestID, fmt.Sprint("request-", n.requests.Add(1)))
	request.Header.Set(standin.HeaderDeadline, "15000")
	request.Header.Set("Authorization", "Bearer "+key)
	setPromptHeaders(request)
	last, received := time.Now(), receivedStream{}
	advance := func() {
		received.longestGap, last = max(received.longestGap, time.Since(last)), time.Now()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		received.err = err
		return received
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if line, found := strings.CutPrefix(scanner.Text(), "data: "); found {
			advance()
			received.events = append(received.events, line)
		}
	}
	advance()
	received.err = scanner.Err()
	return received
}

// requireWhole requires that the caller has received all events in order.
func (s receivedStream) requireWhole(t *testing.T) {
	t.Helper()
	require.NoError(t, s.err)
	var want []string
	for id := range handoverEvents {
		want = append(want, fmt.Sprint("token ", id+1))
	}
	require.Equal(t, want, s.events)
}

// requireHandover requires that the second engine has got the stream, and not while the first one worked on it.
func (f *handoverFixture) requireHandover() {
	f.t.Helper()
	later := f.second.Arrivals()
	require.Len(f.t, later, 1)
	f.nodes[0].waitUntil(func() bool { return !f.first.Arrivals()[0].EndedAt.IsZero() })
	for _, earlier := range f.first.Arrivals() {
		require.Less(f.t, earlier.EndedAt.Sub(later[0].At), maxRunOverlap, "two servers worked on one stream")
	}
}

// stage is how far a stream has come when its server fails.
type stage struct {
	name string
	// events is the number of events that the caller has.
	events int
}

var stages = []stage{{"before the first event", 0}, {"between events", 3}}

// stopsAfter returns a handler that sends events, calls stop after a number of them, and goes on when the
// connection permits.
func stopsAfter(events int, stop func()) standin.Handler {
	return func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		standin.StreamPaced(events, handoverInterval, "token")(server, w, r)
		stop()
		r.Header.Set(standin.HeaderLastEventID, fmt.Sprint(events))
		standin.StreamPaced(handoverEvents, handoverInterval, "token")(server, w, r)
	}
}

// stallOnce returns a handler whose server stalls in the middle of its first stream, and the function that sets
// what stalls.
func stallOnce(events int) (handler standin.Handler, use func(l *standin.StallingListener)) {
	listeners := make(chan *standin.StallingListener, 1)
	handler = stopsAfter(events, func() {
		select {
		case l := <-listeners:
			l.SetStalled(true)
		default:
		}
	})
	return handler, func(l *standin.StallingListener) { listeners <- l }
}

// Guards against streams on which two servers work: a stream that its node had given up went on at another server
// at once, although the first one stalled and had not ended it.
func TestStalledStreamIsEndedBeforeItGoesOn(t *testing.T) {
	for _, s := range stages {
		for _, way := range []string{wayDirect, wayDetour} {
			t.Run(s.name+", "+way, func(t *testing.T) {
				t.Parallel()
				handler, stall := stallOnce(s.events)
				f := newHandoverFixture(t, way, handler)
				stall(f.listener)
				result := make(chan receivedStream, 1)
				go func() { result <- f.stream(briefStream) }()
				<-f.begun
				stalledAt := time.Now()
				f.serveStalling(f.second)
				f.awaitServers(2)
				time.Sleep(time.Until(stalledAt.Add(soundStall)))
				f.listener.SetStalled(false)
				got := <-result
				got.requireWhole(t)
				f.requireHandover()
			})
		}
	}
}

// Guards against streams on which two servers work: a server that answered others counted as one that had ended the
// stream, while that stream alone stood still.
func TestStreamThatAloneStallsIsEndedBeforeItGoesOn(t *testing.T) {
	for _, s := range stages {
		for _, way := range []string{wayDirect, wayDetour} {
			t.Run(s.name+", "+way, func(t *testing.T) {
				t.Parallel()
				var once sync.Once
				f := newHandoverFixture(t, way, stopsAfter(s.events, func() {
					once.Do(func() { time.Sleep(soundStall) })
				}))
				result := make(chan receivedStream, 1)
				go func() { result <- f.stream(briefStream) }()
				<-f.begun
				f.serveStalling(f.second)
				f.awaitServers(2)
				got := <-result
				got.requireWhole(t)
				require.Less(t, got.longestGap, callerPatience)
				f.requireHandover()
			})
		}
	}
}

// Guards against streams that are lost, or for which callers wait in vain, since their server never goes on: they go on
// elsewhere before callers give them up.
func TestStreamOfServerThatNeverGoesOnIsContinued(t *testing.T) {
	for _, s := range stages {
		for _, way := range []string{wayDirect, wayDetour} {
			t.Run(s.name+", "+way, func(t *testing.T) {
				t.Parallel()
				handler, stall := stallOnce(s.events)
				f := newHandoverFixture(t, way, handler)
				stall(f.listener)
				result := make(chan receivedStream, 1)
				go func() { result <- f.stream(briefStream) }()
				<-f.begun
				f.serveStalling(f.second)
				got := <-result
				got.requireWhole(t)
				require.Less(t, got.longestGap, callerPatience)
				require.Len(t, f.second.Arrivals(), 1)
			})
		}
	}
}

// Guards against waiting for a server that ends what is given up at once: a stream that alone is silent goes on
// elsewhere as soon as its server has ended it.
func TestStreamOfServerThatEndsItIsContinuedAtOnce(t *testing.T) {
	const maxFirstEvent = 1300 * time.Millisecond
	for _, way := range []string{wayDirect, wayDetour} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			f := newHandoverFixture(t, way, standin.Hang)
			result := make(chan receivedStream, 1)
			go func() { result <- f.stream(briefStream) }()
			<-f.begun
			f.serveStalling(f.second)
			got := <-result
			got.requireWhole(t)
			require.Less(t, got.longestGap, maxFirstEvent)
			f.requireHandover()
		})
	}
}

// Guards against waiting for a server that cannot notice that a stream was given up, since the connection hangs: once it has
// responded otherwise for a while, the stream goes on elsewhere.
func TestStreamOnConnectionThatHangsIsContinued(t *testing.T) {
	for _, load := range []struct {
		name    string
		callers int
		// maxGap exceeds by 0.3 to 1 s the silence after which a stream is given up, which is longer if its server answers
		// others.
		maxGap time.Duration
	}{{"idle", 0, 2 * time.Second}, {"busy", 4, 2300 * time.Millisecond}} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			listed, stopped := make(chan struct{}), make(chan struct{})
			f := newHandoverFixture(t, wayDirect, func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
				first := len(server.Arrivals()) == 1
				if first {
					<-listed
				}
				standin.StreamPaced(3, handoverInterval, "token")(server, w, r)
				if first {
					close(stopped)
					<-r.Context().Done()
				}
			})
			result := make(chan receivedStream, 1)
			go func() { result <- f.stream(briefStream) }()
			<-f.begun
			f.serveStalling(f.second)
			f.awaitServers(2)
			close(listed)
			<-stopped
			f.links.set(linksHang)
			f.links.set(linksUp)
			var callers sync.WaitGroup
			for range load.callers {
				callers.Go(func() {
					for len(result) == 0 {
						f.stream(plainStream)
					}
				})
			}
			callers.Wait()
			got := <-result
			got.requireWhole(t)
			require.Less(t, got.longestGap, load.maxGap)
		})
	}
}
