package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// The incident: a request ended three servers of a service and went on to be sent to
// servers, 14 times more; 23 ended in all, and took with them all that they ran.
//
// How: its caller came again and again, at any node. Attempts were counted within one try
// alone, and each try was a new request to every node, the one that had just seen a server
// end under it included. Of servers a fleet believed much (which fail, which rest); of
// requests, nothing.
//
// Cause: what a request has done was not remembered beyond the request and the node.
//
// Proof: lines of attempts that broke show one fingerprint, the same caller, method, host,
// target and body, at each server's end, and the tests below, which send such a request to
// the nodes in turn.

const (
	deadly = "deadly"
	// contact is the time in which all nodes have heard what one of them knows.
	contact = 3 * time.Second
	// enoughEnds servers that ended under a request are enough to hold it off, and
	// fewMore tries may still reach a server after that and the time of contact.
	enoughEnds = 3
	fewMore    = 3
)

// fleetFixture is a number of nodes before machines on which a deadly body ends the server that
// runs it, if it comes from one tenant on one path.
type fleetFixture struct {
	t            *testing.T
	store        *standin.Store
	storeAddress string
	nodes        []*fixture
	machines     []*standin.Machine
}

// newFleet starts nodes and, for each of the two services, a number of machines.
func newFleet(t *testing.T, nodes, machines int) *fleetFixture {
	f := &fleetFixture{t: t}
	f.store, f.storeAddress = newStore(t)
	for i := range machines {
		f.start(&standin.Machine{Name: fmt.Sprint("p", i), Service: "plain", Manner: standin.Answers(http.StatusOK, "done")})
		f.start(&standin.Machine{Name: fmt.Sprint("e", i), Service: "engines", Model: model, Manner: standin.Streams(3, 0)})
	}
	for range nodes {
		f.join()
	}
	f.store.Put(standin.KeyConfiguration, declared(1, key))
	for _, n := range f.nodes {
		f.await(n)
	}
	return f
}

// join starts one more node.
func (f *fleetFixture) join() *fixture {
	n := newNode(f.t, f.store, f.storeAddress, fmt.Sprint("node-", len(f.nodes)))
	f.nodes = append(f.nodes, n)
	return n
}

// await waits until a node has its place in the fleet and knows all servers.
func (f *fleetFixture) await(n *fixture) {
	n.until(func() bool {
		belief := n.process.belief.Load()
		return belief != nil && belief.Snapshot != nil && n.process.registry.Settled() &&
			n.process.registry.Nodes() >= len(f.nodes) && len(n.process.set.Servers(time.Now())) >= len(f.machines)
	})
}

func (f *fleetFixture) start(m *standin.Machine) {
	m.Zone, m.After, m.Down = "a", 20*time.Millisecond, 400*time.Millisecond
	m.Deadly = func(r *http.Request, body []byte) bool {
		return strings.HasPrefix(string(body), deadly) && strings.HasSuffix(r.URL.Path, "/x") && r.Header.Get(standin.HeaderTenant) == "one"
	}
	require.NoError(f.t, m.Start(f.store))
	f.t.Cleanup(m.Stop)
	f.machines = append(f.machines, m)
}

// ends returns when runs of the deadly body began that ended a server, in order, and how
// many arrivals of it there were.
func (f *fleetFixture) ends(body string) (begun []time.Time) {
	for _, m := range f.machines {
		for _, end := range m.Ends() {
			if end.Body == body {
				begun = append(begun, end.Begun)
			}
		}
	}
	return begun
}

// kinds are the kinds of route: what may run once, what may run again, a stream that may
// be resumed and one that may not.
var kinds = map[string]func(*http.Request){"once": nil, "again": nil, "stream": prompt, "fixed": prompt}

// comeAgain sends the deadly body to the nodes in turn until at least a number of tries
// were made and a time has passed since servers enough have ended. It returns the last
// answer, and how long that took.
func (f *fleetFixture) comeAgain(kind, body string, nodes []*fixture) (last answer, took time.Duration) {
	settled := time.Time{}
	for try := 0; settled.IsZero() || time.Since(settled) < contact+time.Second; try++ {
		begun := time.Now()
		last = nodes[try%len(nodes)].send(http.MethodPost, "/"+kind+"/x", body, kinds[kind])
		took = time.Since(begun)
		if settled.IsZero() && len(f.ends(body)) >= enoughEnds {
			settled = time.Now()
		}
		require.Less(f.t, try, 300, "the request never ended servers enough")
		time.Sleep(100 * time.Millisecond)
	}
	return last, took
}

// requireHeldOff checks that hardly a try reached a server once all could know.
func (f *fleetFixture) requireHeldOff(body string) {
	begun := f.ends(body)
	slices.SortFunc(begun, time.Time.Compare)
	third := begun[enoughEnds-1]
	late := 0
	for _, at := range begun {
		if at.After(third.Add(contact)) {
			late++
		}
	}
	require.LessOrEqual(f.t, late, fewMore, "of %d servers that ended in all", len(begun))
}

// A request that ends the servers that run it is held off over the whole fleet, whatever
// kind of route it takes, and its callers get a final answer at once that is true.
func TestARequestThatEndsServersIsHeldOff(t *testing.T) {
	for kind := range kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, 8)
			last, took := f.comeAgain(kind, deadly, f.nodes)
			f.requireHeldOff(deadly)
			require.Equal(t, http.StatusServiceUnavailable, last.status, "not run, and it says so")
			require.NotEmpty(t, last.header.Get("Retry-After"))
			require.Less(t, took, time.Second)
			others := sync.WaitGroup{}
			for name, change := range map[string]struct {
				path, body string
				request    func(*http.Request)
			}{
				"another body":   {"/" + kind + "/x", "harmless", nil},
				"another path":   {"/" + kind + "/y", deadly, nil},
				"another caller": {"/" + kind + "/x", deadly, func(r *http.Request) { r.Header.Set("Authorization", "Bearer key-of-two") }},
			} {
				others.Go(func() {
					got := f.nodes[0].send(http.MethodPost, change.path, change.body, func(r *http.Request) {
						if kinds[kind] != nil {
							kinds[kind](r)
						}
						if change.request != nil {
							change.request(r)
						}
					})
					if got.status != http.StatusOK {
						t.Errorf("%s: status %d, %v", name, got.status, got.err)
					}
				})
			}
			others.Wait()
		})
	}
}
