package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/lab/address"
	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform"
	"github.com/cloverrail/cloverrail/platform/standin"
)

// lapseObserved is how long the shares of nodes are watched after their registrations have lapsed: longer than
// until their next renewal.
const lapseObserved = 7 * time.Second

// Guards against nodes that take the fleet for smaller, and their shares of retry budgets and limits for larger,
// after the store has lost the registrations of nodes that live.
func TestSharesHoldWhileRegistrationsLapse(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultNone, standin.FaultUnavailable, standin.FaultNoResponse} {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 4, 1)
			for _, n := range f.nodes {
				n.waitUntil(func() bool {
					return n.process.registry.Settled() && n.process.sharedSize.Nodes(boottime.Now()) == len(f.nodes)
				})
			}
			f.disrupt(fault)
			f.store.ExpireLeases()
			time.Sleep(time.Second)
			f.store.SetFault(nil)
			lapsed := false
			for end := time.Now().Add(lapseObserved); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for _, n := range f.nodes {
					lapsed = lapsed || !n.process.registry.Settled()
					require.GreaterOrEqual(t, n.process.sharedSize.Nodes(boottime.Now()), len(f.nodes))
				}
			}
			require.True(t, lapsed, "no node has seen that registrations lapsed")
			for _, n := range f.nodes {
				n.waitUntil(func() bool { return n.process.registry.Settled() && n.process.registry.Nodes() == len(f.nodes) })
			}
		})
	}
}

// Guards against a node that keeps the share of a node that does not know the fleet: it registers before it takes part
// in the fleet's retries, and no other node comes after it.
func TestNodeSharesRetriesOnceItKnowsFleet(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	n := f.nodes[0]
	n.waitUntil(n.process.registry.Bootstrapped)
	n.waitUntil(func() bool { return n.process.retryBudgets.Nodes() == 1 })
}

const (
	// sharedRate is a limit of requests a second for a whole fleet, of a tenant or of a server.
	sharedRate = 20
	// sharedRateLoad is how long callers ask for more than it.
	sharedRateLoad = 8 * time.Second
)

// newRestartableFleet starts nodes at peer addresses that they keep, in front of some plain servers, and waits until
// starting nodes can read of them in the store.
func newRestartableFleet(t *testing.T, nodes, servers int) *fleetFixture {
	f := newFleet(t, 0, 0)
	for i := range servers {
		f.startMachine(&standin.Machine{Name: fmt.Sprint("p", i), Service: "plain", Handler: standin.Respond(http.StatusOK, "done")})
	}
	for range nodes {
		peerAddress := address.Free()
		f.addNodeWith(func(config *settings.Proxy) { config.PeerAddress = peerAddress })
	}
	for _, n := range f.nodes {
		f.awaitReady(n)
	}
	f.nodes[0].waitUntil(func() bool { return len(f.store.Keys(platform.KeyView)) > 0 })
	return f
}

// startUnregistered starts the nodes of a fleet again while the store refuses their registrations, and waits until they
// serve.
func startUnregistered(f *fleetFixture) {
	f.store.SetFault(func(request *http.Request) standin.Fault {
		if standin.IsWrite(request) {
			return standin.FaultRateLimited
		}
		return standin.FaultNone
	})
	f.store.ExpireLeases()
	former := f.nodes
	for _, n := range former {
		n.crash()
	}
	f.nodes, f.running = nil, 0
	for _, n := range former {
		f.addNodeWith(func(config *settings.Proxy) { config.PeerAddress = n.process.settings.PeerAddress })
	}
	for _, n := range f.nodes {
		n.waitUntil(func() bool {
			return n.process.proxy.Ready(boottime.Now()) && n.process.registry.Bootstrapped() && len(n.process.serverSet.Servers(time.Now())) == len(f.machines)
		})
	}
}

// loadNodes sends requests with a key to all nodes, more than sharedRate together, and returns how many were served.
func loadNodes(f *fleetFixture, key string) int {
	served := atomic.Int64{}
	var done sync.WaitGroup
	for _, n := range f.nodes {
		done.Go(func() {
			for began := time.Now(); time.Since(began) < sharedRateLoad; time.Sleep(50 * time.Millisecond) {
				result := n.send(http.MethodPost, "/again/y", "body", func(r *http.Request) {
					r.Header.Set(standin.HeaderRequestID, uuid.NewString())
					r.Header.Set("Authorization", "Bearer "+key)
				})
				if result.status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	done.Wait()
	return int(served.Load())
}

// Guards against nodes that each admit the whole limit of a tenant, or almost nothing of it, because the store refuses
// their registrations.
func TestTenantLimitHoldsWhileNodesCannotRegister(t *testing.T) {
	t.Parallel()
	f := newRestartableFleet(t, 6, 2)
	startUnregistered(f)
	served := float64(loadNodes(f, limitedKey))
	require.LessOrEqual(t, served, 1.2*(sharedRate*sharedRateLoad.Seconds()+5))
	require.GreaterOrEqual(t, served, minUtilization*sharedRate*sharedRateLoad.Seconds())
}

// Guards against nodes that each send a server all that it accepts from the fleet, or almost nothing of it, because the
// store refuses their registrations.
func TestServerLimitHoldsWhileNodesCannotRegister(t *testing.T) {
	t.Parallel()
	f := newRestartableFleet(t, 6, 1)
	startUnregistered(f)
	for _, m := range f.machines {
		for _, s := range m.Incarnations() {
			s.AdvertiseLimit(strconv.Itoa(sharedRate))
		}
	}
	// The first responses tell all nodes of the limit.
	for _, n := range f.nodes {
		n.send(http.MethodPost, "/again/y", "body", nil)
	}
	time.Sleep(f.nodes[0].contact())
	began := time.Now()
	served := float64(loadNodes(f, key))
	for _, m := range f.machines {
		for _, s := range m.Incarnations() {
			require.LessOrEqual(t, s.PeakReceived(limitWindow, began), maxInWindow(sharedRate))
		}
	}
	require.GreaterOrEqual(t, served, minUtilization*sharedRate*sharedRateLoad.Seconds())
}
