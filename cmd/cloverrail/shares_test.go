package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/boottime"
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
				n.waitUntil(func() bool { return n.process.sharedSize.Nodes(boottime.Now()) == len(f.nodes) })
			}
			f.disrupt(fault)
			f.store.ExpireLeases()
			time.Sleep(time.Second)
			f.store.SetFault(nil)
			fewest := len(f.nodes)
			for end := time.Now().Add(lapseObserved); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for _, n := range f.nodes {
					fewest = min(fewest, n.process.registry.Nodes())
					require.GreaterOrEqual(t, n.process.sharedSize.Nodes(boottime.Now()), len(f.nodes))
				}
			}
			require.Less(t, fewest, len(f.nodes), "no node has seen that registrations lapsed")
			for _, n := range f.nodes {
				n.waitUntil(func() bool { return n.process.registry.Nodes() == len(f.nodes) })
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
