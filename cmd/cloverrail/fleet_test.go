package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// fleetFixture runs nodes in front of machines on which a request with a crashing body, from one
// tenant and on one path, or a part whose ID begins with crashingPart, crashes the server that runs it.
type fleetFixture struct {
	t            *testing.T
	store        *standin.Store
	storeAddress string
	nodes        []*fixture
	// running counts the nodes that were not killed.
	running  int
	machines []*standin.Machine
}

// newFleet starts nodes, and a number of machines for each of the two services.
func newFleet(t *testing.T, nodes, machines int) *fleetFixture {
	return newFleetInEra(t, 1, nodes, machines)
}

// newFleetInEra starts a fleet like newFleet, whose store begins in an era.
func newFleetInEra(t *testing.T, firstEra int64, nodes, machines int) *fleetFixture {
	f := &fleetFixture{t: t}
	f.store, f.storeAddress = newStore(t)
	f.store.BeginInEra(firstEra)
	for i := range machines {
		f.startMachine(&standin.Machine{Name: fmt.Sprint("p", i), Service: "plain", Handler: standin.Respond(http.StatusOK, "done")})
		f.startMachine(&standin.Machine{Name: fmt.Sprint("e", i), Service: "engines", Model: model, Handler: standin.StreamEvents(3, 0)})
	}
	for range nodes {
		f.addNode()
	}
	f.store.Put(standin.KeyConfiguration, newDocument(1, key))
	for _, n := range f.nodes {
		f.awaitReady(n)
	}
	return f
}

// addNode starts one more node.
func (f *fleetFixture) addNode() *fixture { return f.addNodeWith(func(*settings.Proxy) {}) }

// addNodeWith starts one more node with changed settings.
func (f *fleetFixture) addNodeWith(change func(config *settings.Proxy)) *fixture {
	return f.addNamedNode(fmt.Sprint("node-", len(f.nodes)), change)
}

func (f *fleetFixture) addNamedNode(name string, change func(config *settings.Proxy)) *fixture {
	n := newNodeWith(f.t, f.store, f.storeAddress, name, change)
	f.nodes = append(f.nodes, n)
	f.running++
	return n
}

// awaitReady waits until a node is ready, as the platform does before it sends clients there, has
// bootstrapped its rank in the fleet and knows all servers.
func (f *fleetFixture) awaitReady(n *fixture) {
	n.waitUntil(func() bool {
		return n.process.proxy.Ready(boottime.Now()) && n.process.registry.Bootstrapped() &&
			n.process.registry.Nodes() >= f.running && len(n.process.serverSet.Servers(time.Now())) >= len(f.machines)
	})
}

func (f *fleetFixture) startMachine(m *standin.Machine) {
	m.Zone, m.CrashDelay, m.Downtime = "a", 20*time.Millisecond, 400*time.Millisecond
	m.CausesCrash = func(r *http.Request, body []byte) bool {
		return strings.HasSuffix(r.URL.Path, "/x") && r.Header.Get(standin.HeaderTenant) == "one" &&
			(strings.HasPrefix(string(body), crashingBody) || strings.Contains(r.Header.Get(standin.HeaderPromptPrefix), crashingPart))
	}
	require.NoError(f.t, m.Start(f.store))
	f.t.Cleanup(m.Stop)
	f.machines = append(f.machines, m)
}

// crash ends a node at once: its callers' connections, its calls and what it answers other nodes.
func (fixture *fixture) crash() {
	fixture.setIsolated(true)
	fixture.frontend.CloseClientConnections()
	fixture.kill()
}
