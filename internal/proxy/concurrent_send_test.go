package proxy

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
)

// concurrentSends is the number of attempts that are checked for silence while they are sent.
const concurrentSends = 20_000

// unreachableServers are Servers of which none can be reached.
type unreachableServers struct{}

func (unreachableServers) Send(context.Context, Dispatch) (*exchange.Reply, error) {
	return nil, &exchange.ErrUnreached{Reason: "test"}
}

func (unreachableServers) RefusesConnections(string) bool { return true }

// Guards against a process that ends, with all of its requests, because an attempt whose sending was held up is checked
// for silence meanwhile: both used the same maps.
func TestAttemptIsCheckedForSilenceWhileSent(t *testing.T) {
	for range concurrentSends {
		p := newTestPlacer(10, 3, 1)
		p.proxy.servers = unreachableServers{}
		p.admitted.route = &catalog.Route{Name: "r", Kind: catalog.Stream, TargetLatency: time.Millisecond}
		placed, unplaced := p.Place(nil)
		require.Nil(t, unplaced)
		var both sync.WaitGroup
		both.Go(func() { _, _ = placed.Send(t.Context(), false, 0) })
		both.Go(func() { placed.Stalled(time.Hour) })
		both.Wait()
	}
}
