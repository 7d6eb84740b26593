package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
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

// These tests guard against a copy of a refusal that counts as the response to a later attempt of the same request: the caller
// was told that the request did not run, or it ran twice.

// copyTiming is when a server sends the copy of a refusal, on the connection of the refused attempt.
type copyTiming string

const (
	copyBehind copyTiming = "behind the refusal"
	copyLate   copyTiming = "before the response to the next request"
	copyAgain  copyTiming = "while the request is under way again"
)

var copyTimings = []copyTiming{copyBehind, copyLate, copyAgain}

const (
	// headerRefuse makes the server refuse the first arrival of a request with the status that it holds.
	headerRefuse = "X-Refuse"
	// runTime is how long a request runs on a server that sends copies of refusals.
	runTime = 20 * time.Millisecond
)

// copyingServer serves raw connections at one address, and sends copies of its refusals.
type copyingServer struct {
	t       *testing.T
	store   *standin.Store
	call    routeCall
	address string
	// onTakeover, if set, is called once a new instance has taken over the address, before the refusal that it does so with.
	onTakeover func(instance string)

	mutex     sync.Mutex
	timing    copyTiming
	current   *standin.Server
	instances int
	refused   map[string]bool
	runs      map[string]int
	// repeats counts the arrivals of requests that their connection had carried before.
	repeats int
}

// startCopyingServer starts a server of a route, and registers it in the store.
func startCopyingServer(t *testing.T, store *standin.Store, c routeCall) *copyingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &copyingServer{t: t, store: store, call: c, address: listener.Addr().String(), refused: map[string]bool{}, runs: map[string]int{}}
	s.replace()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection)
		}
	}()
	return s
}

// replace lets a new instance take over the address, and returns its ID.
func (s *copyingServer) replace() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current != nil {
		s.store.Remove(standin.PrefixServers + s.current.Instance)
	}
	s.instances++
	s.current = newInstance(s.call, fmt.Sprint("copying-", s.instances), s.run)
	service := "plain"
	if s.call.prompted {
		service = "engines"
	}
	s.store.Put(standin.PrefixServers+s.current.Instance, s.current.Entry(service, s.address, "a", "ready"))
	return s.current.Instance
}

// run runs a request.
func (s *copyingServer) run(server *standin.Server, w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.runs[r.Header.Get(standin.HeaderRequestID)]++
	s.mutex.Unlock()
	time.Sleep(runTime)
	if s.call.prompted {
		standin.StreamEvents(3, 0)(server, w, r)
		return
	}
	standin.Respond(http.StatusOK, "done")(server, w, r)
}

func (s *copyingServer) instance() *standin.Server {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current
}

// sendsCopies reports whether the server sends copies at a time.
func (s *copyingServer) sendsCopies(timing copyTiming) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.timing == timing
}

func (s *copyingServer) setTiming(timing copyTiming) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.timing = timing
}

func (s *copyingServer) repeatCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.repeats
}

func (s *copyingServer) runsOf(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// refuses reports whether an arrival is refused, which is so for the first one of a request that asks for it.
func (s *copyingServer) refuses(r *http.Request) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := r.Header.Get(standin.HeaderRequestID)
	if r.Header.Get(headerRefuse) == "" || s.refused[id] {
		return false
	}
	s.refused[id] = true
	return true
}

// copyingConnection is one connection of a copyingServer.
type copyingConnection struct {
	net.Conn
	server *copyingServer
	// refusals holds those that were sent, by the IDs of the requests, and late is the one whose copy is due.
	refusals map[string]string
	late     string
}

func (s *copyingServer) serve(plain net.Conn) {
	defer plain.Close()
	c := &copyingConnection{Conn: plain, server: s, refusals: map[string]string{}}
	for reader := bufio.NewReader(plain); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		c.respond(request)
	}
}

func (c *copyingConnection) respond(request *http.Request) {
	if c.server.refuses(request) {
		c.refuse(request)
		return
	}
	if refusal := c.refusals[request.Header.Get(standin.HeaderRequestID)]; refusal != "" {
		c.server.mutex.Lock()
		c.server.repeats++
		c.server.mutex.Unlock()
		if c.server.sendsCopies(copyAgain) {
			_, _ = io.WriteString(c, refusal)
		}
	}
	_, _ = io.WriteString(c, c.late)
	c.late = ""
	recorder := httptest.NewRecorder()
	c.server.instance().ServeHTTP(recorder, request)
	response := recorder.Result()
	response.ContentLength = int64(recorder.Body.Len())
	_ = response.Write(c)
}

func (c *copyingConnection) refuse(request *http.Request) {
	instance := c.server.instance().Instance
	if c.server.onTakeover != nil {
		instance = c.server.replace()
		c.server.onTakeover(instance)
	}
	id := request.Header.Get(standin.HeaderRequestID)
	refusal := fmt.Sprintf("HTTP/1.1 %s Text\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", request.Header.Get(headerRefuse),
		standin.HeaderRequestID, id, standin.HeaderInstance, instance, statement)
	c.refusals[id] = refusal
	_, _ = io.WriteString(c, refusal)
	switch {
	case c.server.sendsCopies(copyBehind):
		_, _ = io.WriteString(c, refusal)
	case c.server.sendsCopies(copyLate):
		c.late = refusal
	}
}

// sendRefused sends a request whose first arrival at a server is refused with a status.
func (fixture *fixture) sendRefused(c routeCall, id string, status int) clientResult {
	return fixture.send(c.method, c.path, "turn", func(r *http.Request) {
		if c.prompted {
			setPromptHeaders(r)
		}
		r.Header.Set(standin.HeaderRequestID, id)
		r.Header.Set(headerRefuse, fmt.Sprint(status))
	})
}

// requireTrue checks that the response to a request neither denies that it ran nor loses it.
func (s *copyingServer) requireTrue(c routeCall, id string, got clientResult) {
	s.t.Helper()
	require.NoError(s.t, got.err, id)
	// A copy may still reach a node behind the response.
	time.Sleep(2 * runTime)
	runs := s.runsOf(id)
	require.Contains(s.t, []int{http.StatusOK, http.StatusServiceUnavailable}, got.status, "%s, which ran %d times: %s", id, runs, got.body)
	if got.status == http.StatusServiceUnavailable {
		require.Zero(s.t, runs, "%s was refused as not run: %s", id, got.body)
		return
	}
	require.Equal(s.t, 1, runs, id)
	if c.prompted {
		require.Equal(s.t, 3, strings.Count(got.body, "id: "), "%s: %q", id, got.body)
	}
}

// awaitServed waits until a node serves a route.
func (fixture *fixture) awaitServed(c routeCall) {
	fixture.t.Helper()
	fixture.waitUntil(func() bool { return countServed(fixture.makeMany(c, 2)) == 2 })
}

// repeatConnections returns the number of attempts that a node has kept off the connection of an earlier one.
func (fixture *fixture) repeatConnections() float64 {
	return fixture.metric("cloverrail_proxy_repeat_connections_total", "")
}

// send sends a request that is refused once to a node, whose attempts the sender makes, and checks the response. It returns
// whether the request was served, and how many of its attempts met the connection of an earlier one.
func (s *copyingServer) send(n, sender *fixture, id string, status int) (served bool, met int) {
	before := sender.repeatConnections()
	got := n.sendRefused(s.call, id, status)
	s.requireTrue(s.call, id, got)
	return got.status == http.StatusOK, int(sender.repeatConnections() - before)
}

// copySituation is nodes before a server that sends copies of its refusals.
type copySituation struct {
	server *copyingServer
	// entries are the nodes to which the caller sends each request, one after the other, and sender makes their attempts.
	entries []*fixture
	sender  *fixture
}

// check sends a request for each time of a copy and status of a refusal.
func (s copySituation) check(t *testing.T) {
	for _, timing := range copyTimings {
		s.server.setTiming(timing)
		served, met := 0, 0
		for _, status := range promises {
			for _, n := range s.entries {
				n.awaitServed(s.server.call)
			}
			for _, n := range s.entries {
				isServed, meetings := s.server.send(n, s.sender, fmt.Sprintf("%s %d", timing, status), status)
				met += meetings
				if isServed {
					served++
				}
			}
		}
		t.Logf("%s: served %d of %d, met the connection of an earlier attempt %d", timing, served, len(promises), met)
		require.True(t, timing == copyBehind || met > 0, "no attempt met the connection of an earlier one, %s", timing)
	}
	require.Zero(t, s.server.repeatCount(), "a connection carried a request twice")
}

// forEachKind runs a test in parallel for each kind of route.
func forEachKind(t *testing.T, run func(t *testing.T, c routeCall)) {
	for kind, c := range allCalls {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			run(t, c)
		})
	}
}

// listOn makes a takeover wait until nodes list the new instance.
func (s *copyingServer) listOn(nodes ...*fixture) {
	s.onTakeover = func(instance string) {
		for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			listed := 0
			for _, n := range nodes {
				if _, found := n.listedServer(instance); found {
					listed++
				}
			}
			if listed == len(nodes) {
				return
			}
		}
	}
}

// Guards against a server that takes over an address: the request comes again to the address that refused it.
func TestCopyOfRefusalAfterTakeover(t *testing.T) {
	forEachKind(t, func(t *testing.T, c routeCall) {
		f := newFixture(t)
		s := startCopyingServer(t, f.store, c)
		s.listOn(f)
		f.declare(key)
		f.awaitServed(c)
		f.awaitRetryShare()
		copySituation{server: s, entries: []*fixture{f}, sender: f}.check(t)
	})
}

// newCopyingFleet starts nodes before one server, all but the last of which are cut off from it.
func newCopyingFleet(t *testing.T, nodes int, c routeCall) (*partitionFixture, *copyingServer) {
	f := &partitionFixture{fleetFixture: newFleet(t, nodes, 0)}
	s := startCopyingServer(t, f.store, c)
	cut := []int{}
	for i, n := range f.nodes {
		f.links = append(f.links, newServerLinks(n))
		if i < nodes-1 {
			cut = append(cut, i)
		}
	}
	f.warmUp(c)
	for _, n := range f.nodes {
		n.awaitRetryShare()
	}
	f.cut(c, linksReset, cut)
	return f, s
}

// Guards against a node that passes a request on twice for one that is cut off.
func TestCopyOfRefusalThroughOtherNode(t *testing.T) {
	forEachKind(t, func(t *testing.T, c routeCall) {
		f, s := newCopyingFleet(t, 2, c)
		s.listOn(f.nodes...)
		copySituation{server: s, entries: f.nodes[:1], sender: f.nodes[1]}.check(t)
	})
}

// Guards against a node that passes the same request on for two others.
func TestCopyOfRefusalForTwoNodesThroughThird(t *testing.T) {
	forEachKind(t, func(t *testing.T, c routeCall) {
		f, s := newCopyingFleet(t, 3, c)
		copySituation{server: s, entries: f.nodes[:2], sender: f.nodes[2]}.check(t)
	})
}
