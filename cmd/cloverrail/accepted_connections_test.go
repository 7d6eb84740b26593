package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// contactTime is the time from which nodes must have adapted to a partition.
	contactTime = 4 * time.Second
	// restoredTime is the time within which a path that heals must be used again.
	restoredTime = 2 * time.Second
	// servedShare is the fraction of first tries that cut nodes must serve.
	servedShare = 0.95
	// sendInterval is the time between two requests to a node.
	sendInterval = 100 * time.Millisecond
	// fleetSize is the number of nodes of the tests of accepted connections.
	fleetSize = 6
)

// sendFor sends requests to nodes at intervals for some time, whether or not earlier ones have ended, and returns how
// many were sent and how many of them were served.
func (f *partitionFixture) sendFor(c routeCall, duration time.Duration, nodes ...int) (sent, served int) {
	return f.startSending(c, duration, nodes...)()
}

// startSending is like sendFor, and returns once all requests are sent. The function that it returns waits for their
// ends.
func (f *partitionFixture) startSending(c routeCall, duration time.Duration, nodes ...int) (await func() (sent, served int)) {
	var mutex sync.Mutex
	var done sync.WaitGroup
	sent, served := 0, 0
	for since := time.Now(); time.Since(since) < duration; time.Sleep(sendInterval) {
		for _, i := range nodes {
			sent++
			id := fmt.Sprintf("node-%d-%d", i, f.nodes[i].requests.Add(1))
			done.Go(func() {
				got := f.nodes[i].send(c.method, c.path, "turn", func(r *http.Request) {
					r.Header.Set(standin.HeaderRequestID, id)
					r.Header.Set(standin.HeaderDeadline, "4000")
					if c.prompted {
						setPromptHeaders(r)
					}
				})
				mutex.Lock()
				defer mutex.Unlock()
				if got.err == nil && got.status == http.StatusOK {
					served++
				} else {
					f.t.Logf("%s: %d %q %v", id, got.status, got.body, got.err)
				}
			})
		}
	}
	return func() (int, int) {
		done.Wait()
		return sent, served
	}
}

// pathChanges returns how often the paths of a node have changed.
func (f *partitionFixture) pathChanges(node int) float64 {
	return f.nodes[node].metric("cloverrail_proxy_path_changes_total", "")
}

// requireRunAtMostOnce checks that no server has run a request of sendFor that another attempt has run.
func (f *partitionFixture) requireRunAtMostOnce() {
	runs := map[string]int{}
	for _, m := range f.machines {
		for _, server := range m.Incarnations() {
			for _, arrival := range server.Arrivals() {
				if id := arrival.Header.Get(standin.HeaderRequestID); arrival.Ran && strings.HasPrefix(id, "node-") {
					runs[id]++
				}
			}
		}
	}
	require.NotEmpty(f.t, runs)
	for id, count := range runs {
		require.Equal(f.t, 1, count, id)
	}
}

func firstNodes(n int) (nodes []int) {
	for i := range n {
		nodes = append(nodes, i)
	}
	return nodes
}

// Guards against nodes whose connections to servers are accepted and bring nothing, and which take the end of the
// handshake for a path that works: they failed nearly all requests instead of sending them through other nodes.
func TestAcceptedConnectionsAreNotTakenForPaths(t *testing.T) {
	for _, cut := range []int{1, 2, 3, 5} {
		// All nodes share the processors of this process, and must renew what they know of the configuration within a fraction of
		// a second: only the fleets of one group run at once.
		t.Run(fmt.Sprintf("%d of %d nodes", cut, fleetSize), func(t *testing.T) {
			for name, mode := range acceptingModes {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					testAcceptedConnections(t, mode, cut)
				})
			}
		})
	}
}

// testAcceptedConnections cuts the first nodes of a fleet, which must serve meanwhile through others, and by themselves again
// after that.
func testAcceptedConnections(t *testing.T, mode linkMode, cut int) {
	f := newPartitionFixture(t, fleetSize)
	f.warmUp(nonIdempotent)
	all, nodes := firstNodes(fleetSize), firstNodes(cut)
	for _, i := range nodes {
		f.links[i].set(mode)
	}
	adapting := f.startSending(nonIdempotent, contactTime, all...)
	changes := map[int]float64{}
	for _, i := range nodes {
		changes[i] = f.pathChanges(i)
	}
	const duration = 3 * time.Second
	sent, served := f.sendFor(nonIdempotent, duration, nodes...)
	t.Logf("%d of %d served", served, sent)
	require.GreaterOrEqual(t, float64(served), servedShare*float64(sent), "%d of %d served", served, sent)
	for _, i := range nodes {
		require.LessOrEqual(t, f.pathChanges(i)-changes[i], duration.Seconds(), "changes of node %d", i)
	}
	for _, i := range nodes {
		f.links[i].set(linksUp)
	}
	healing := f.startSending(nonIdempotent, restoredTime, all...)
	for _, i := range nodes {
		require.Zero(t, f.nodes[i].metric("cloverrail_proxy_broken_paths", ""), "node %d", i)
	}
	sent, served = f.sendFor(nonIdempotent, time.Second, nodes...)
	require.Equal(t, sent, served, "after the partition")
	adapting()
	healing()
	f.requireRunAtMostOnce()
}

// Guards against detours that the links of one server cost at others, and against requests that are still sent there.
func TestServerThatResetsConnectionsCostsNoDetour(t *testing.T) {
	for name, mode := range acceptingModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionFixture(t, 3)
			f.warmUp(nonIdempotent)
			all := firstNodes(3)
			for _, i := range all {
				f.links[i].set(mode, f.machines[0].Address())
			}
			adapting := f.startSending(nonIdempotent, contactTime, all...)
			forwarded := 0.0
			for _, n := range f.nodes {
				forwarded -= n.metric("cloverrail_proxy_forwarded_total", "answered")
			}
			sent, served := f.sendFor(nonIdempotent, 2*time.Second, all...)
			require.GreaterOrEqual(t, float64(served), servedShare*float64(sent), "%d of %d served", served, sent)
			for _, n := range f.nodes {
				forwarded += n.metric("cloverrail_proxy_forwarded_total", "answered")
			}
			require.Zero(t, forwarded, "attempts through other nodes")
			adapting()
			f.requireRunAtMostOnce()
		})
	}
}

// Guards against nodes that take turns in being cut, and ask each other while the former state still holds.
func TestAcceptedConnectionsOfNodesInTurn(t *testing.T) {
	for name, mode := range acceptingModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionFixture(t, fleetSize)
			f.warmUp(nonIdempotent)
			all := firstNodes(fleetSize)
			var adapting []func() (int, int)
			for turn := range 3 {
				cut := turn % 2
				f.links[1-cut].set(linksUp)
				f.links[cut].set(mode)
				adapting = append(adapting, f.startSending(nonIdempotent, contactTime, all...))
				sent, served := f.sendFor(nonIdempotent, 2*time.Second, 0, 1)
				require.GreaterOrEqual(t, float64(served), servedShare*float64(sent), "%d of %d served in turn %d", served, sent, turn)
			}
			for _, await := range adapting {
				await()
			}
			f.requireRunAtMostOnce()
		})
	}
}

// isWholeStream reports whether an answer holds each event of a stream once, all from servers of one software version.
func isWholeStream(got clientResult, events int) bool {
	_, rest, _ := strings.Cut(got.body, "data: ")
	software, _, _ := strings.Cut(rest, " ")
	whole := &strings.Builder{}
	for id := range events {
		fmt.Fprintf(whole, "id: %d\ndata: %s %d\n\n", id+1, software, id+1)
	}
	return got.err == nil && got.body == whole.String()
}

// resettingModes are those of acceptingModes that reset connections.
var resettingModes = map[string]linkMode{"reset at once": linksAcceptAndReset, "reset after the head": linksResetAfterHead, "reset later": linksResetLater}

const (
	// pacedEvents is the number of events of a stream that is cut meanwhile, and pacedEventGap the time between two of them.
	pacedEvents   = 30
	pacedEventGap = 50 * time.Millisecond
	// turnTime is the time of a turn in which a node is cut, all but the first third of it.
	turnTime = 1500 * time.Millisecond
)

// newStreamFixture starts a fleet before engines of two software versions. Streams of the one run out of servers first, and those
// of the other out of the runs that their route allows.
func newStreamFixture(t *testing.T, nodes int) *partitionFixture {
	return newStreamFixtureWith(t, nodes, []string{"v1", "v1", "v2", "v2", "v2", "v2"}, func(*settings.Proxy) {})
}

// newStreamFixtureWith starts a fleet with changed settings before an engine of each of the software versions.
func newStreamFixtureWith(t *testing.T, nodes int, versions []string, change func(config *settings.Proxy)) *partitionFixture {
	f := &partitionFixture{fleetFixture: newFleet(t, 0, 0)}
	for i, software := range versions {
		f.startMachine(&standin.Machine{
			Name: fmt.Sprint("e", i), Service: "engines", Model: model, Software: software, Handler: standin.StreamSoftware(pacedEvents, pacedEventGap),
		})
	}
	for range nodes {
		f.links = append(f.links, newServerLinks(f.addNodeWith(change)))
	}
	for _, n := range f.nodes {
		f.awaitReady(n)
		n.waitUntil(func() bool { return n.knows(len(f.machines)) && n.make(resumableStream).status == http.StatusOK })
	}
	return f
}

// requireWholeStreams cuts one node a turn, in which streams are sent to it and the configuration changes, and checks that all
// streams that begin are whole.
func (f *partitionFixture) requireWholeStreams(mode linkMode, turns ...int) {
	var streams sync.WaitGroup
	var begun, whole atomic.Int64
	for turn, node := range turns {
		for since := time.Now(); time.Since(since) < turnTime; time.Sleep(sendInterval) {
			if time.Since(since) > turnTime/3 {
				f.links[node].set(mode)
			}
			streams.Go(func() {
				got := f.nodes[node].make(resumableStream)
				if got.status == http.StatusOK {
					begun.Add(1)
				}
				if isWholeStream(got, pacedEvents) {
					whole.Add(1)
				}
			})
		}
		f.store.Put(standin.KeyConfiguration, newDocument(int64(turn+2), key))
		f.links[node].set(linksUp)
	}
	streams.Wait()
	require.NotZero(f.t, begun.Load())
	require.Equal(f.t, begun.Load(), whole.Load(), "streams that are whole")
}

// Guards against streams that end without their end since each attempt to continue them goes over another link that accepts it
// and resets it, until no server or no run is left.
func TestStreamsOutlastAcceptedConnections(t *testing.T) {
	for name, mode := range resettingModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			newStreamFixture(t, 3).requireWholeStreams(mode, 0, 0, 0, 0)
		})
	}
}

// Guards against the same at streams that go on through another node, which is cut in its turn.
func TestStreamsOutlastAcceptedConnectionsOfNodesInTurn(t *testing.T) {
	for name, mode := range resettingModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			newStreamFixture(t, 3).requireWholeStreams(mode, 0, 1, 0, 1)
		})
	}
}

// Guards against streams that wait until their deadline at links that accept connections and stay silent, although other nodes,
// and then this one, reach all servers.
func TestStreamsOutlastSilentLinks(t *testing.T) {
	newStreamFixture(t, 3).requireWholeStreams(linksAcceptAndHang, 0, 0, 0, 0)
}
