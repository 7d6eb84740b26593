package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/lab/faultwire"
	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// changeInterval is the time between two changes of the configuration.
	changeInterval = 330 * time.Millisecond
	// cutAfter and silentAfter are the times from the start of a turn until a node is cut from servers, and until connections
	// to some other nodes fall silent.
	cutAfter    = turnTime / 2
	silentAfter = 2 * turnTime / 3
	// silentPeers is the number of these other nodes.
	silentPeers = 2
)

// peerSilence is how the connections from other nodes to one fall silent, and how that ends.
type peerSilence struct {
	begin, end func(link *faultwire.Forwarder)
}

func silentIn(mode faultwire.Mode) peerSilence {
	return peerSilence{
		begin: func(link *faultwire.Forwarder) { link.SetMode(mode) },
		end:   func(link *faultwire.Forwarder) { link.SetMode(faultwire.ModeForward) },
	}
}

// silentForGood silences the connections that are open, and no later ones.
var silentForGood = peerSilence{begin: (*faultwire.Forwarder).SilenceOpen, end: func(*faultwire.Forwarder) {}}

// peerLink returns the link over which other nodes reach this one.
func (fixture *fixture) peerLink() *faultwire.Forwarder { return fixture.links[1] }

// unsteadyLoad sends requests of three routes to all nodes, while the configuration changes.
type unsteadyLoad struct {
	*partitionFixture
	deadline  time.Duration
	version   int64
	changedAt time.Time
	sent      sync.WaitGroup

	mutex sync.Mutex
	// begun and whole count streams, and requests and answered the requests of the other routes.
	begun, whole, requests, answered int
}

func newUnsteadyLoad(t *testing.T, deadline time.Duration) *unsteadyLoad {
	f := newBudgetedStreamFixture(t, fleetSize)
	for i := range 3 {
		f.startMachine(&standin.Machine{Name: fmt.Sprint("p", i), Service: "plain", Handler: standin.Respond(http.StatusOK, "done")})
	}
	for _, n := range f.nodes {
		n.waitUntil(func() bool { return n.knows(len(f.machines)) && n.make(idempotent).status == http.StatusOK })
	}
	return &unsteadyLoad{partitionFixture: f, deadline: deadline, version: 1}
}

// turn cuts one node from all servers, lets the connections to others fall silent meanwhile, and ends both.
func (l *unsteadyLoad) turn(node int, mode linkMode, silence peerSilence) {
	silent := false
	for since := time.Now(); time.Since(since) < 2*turnTime; time.Sleep(2 * sendInterval) {
		if time.Since(l.changedAt) >= changeInterval {
			l.version, l.changedAt = l.version+1, time.Now()
			l.store.Put(standin.KeyConfiguration, newDocument(l.version, key))
		}
		if time.Since(since) > cutAfter {
			l.links[node].set(mode)
		}
		if !silent && time.Since(since) > silentAfter {
			silent = true
			l.eachSilentPeer(node, silence.begin)
		}
		for _, n := range l.nodes {
			l.send(n)
		}
	}
	l.links[node].set(linksUp)
	l.eachSilentPeer(node, silence.end)
}

func (l *unsteadyLoad) eachSilentPeer(node int, do func(link *faultwire.Forwarder)) {
	for i := range silentPeers {
		do(l.nodes[(node+1+i)%fleetSize].peerLink())
	}
}

// send sends a request of each route to a node.
func (l *unsteadyLoad) send(n *fixture) {
	for _, c := range []routeCall{resumableStream, nonIdempotent, idempotent} {
		l.sent.Go(func() {
			got := n.send(c.method, c.path, "turn", func(r *http.Request) {
				if c == nonIdempotent {
					r.Header.Set(standin.HeaderRequestID, fmt.Sprintf("node-%s-%d", n.process.settings.Name, n.requests.Add(1)))
				}
				r.Header.Set(standin.HeaderDeadline, fmt.Sprint(l.deadline.Milliseconds()))
				setPromptHeaders(r)
			})
			l.record(c, got)
		})
	}
}

func (l *unsteadyLoad) record(c routeCall, got clientResult) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case c != resumableStream:
		l.requests++
		if got.err == nil {
			l.answered++
		}
	case got.status == http.StatusOK:
		l.begun++
		if isWholeStream(got, pacedEvents) {
			l.whole++
		} else {
			l.t.Logf("%d bytes, %v", len(got.body), got.err)
		}
	}
}

// requireEnds checks that all requests have got their end, and that none ran twice that may not.
func (l *unsteadyLoad) requireEnds() {
	l.sent.Wait()
	for i, n := range l.nodes {
		l.t.Logf("node %d: waits for a retry %d, for a server %d; retries granted %.0f, denied %.0f, borrowed %.0f", i, n.waits("retry"), n.waits("server"),
			n.metric("cloverrail_proxy_retries_total", "granted"), n.metric("cloverrail_proxy_retries_total", "denied"),
			n.metric("cloverrail_proxy_borrowed_retries_total", ""))
	}
	require.NotZero(l.t, l.begun)
	require.Equal(l.t, l.begun, l.whole, "streams that are whole")
	require.Equal(l.t, l.requests, l.answered, "requests that got a response")
	l.requireRunAtMostOnce()
}

// Guards against streams that the budget denies a retry while their server is silent, and which neither queue for one nor make
// their node borrow one, so that they are silent until their deadline although other nodes reach all servers.
func TestSilentStreamsGoOnWithinRetryBudget(t *testing.T) {
	t.Parallel()
	l := newUnsteadyLoad(t, 3*streamDeadline)
	for node := range fleetSize {
		l.turn(node, linksAcceptAndHang, silentIn(faultwire.ModeForward))
	}
	l.requireEnds()
}

// Guards against streams of a cut node that end without their end since the connections to the nodes they go on through fall
// silent, and are not reset.
func TestStreamsOutlastSilentPeers(t *testing.T) {
	t.Parallel()
	l := newUnsteadyLoad(t, 3*streamDeadline)
	for node, silence := range []peerSilence{silentForGood, silentIn(faultwire.ModeHoldResponses), silentIn(faultwire.ModeBlackhole)} {
		l.turn(node, linksReset, silence)
		l.turn(node+fleetSize/2, linksReset, silence)
	}
	l.requireEnds()
}
