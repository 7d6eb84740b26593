package reflector

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/coordination"
)

// The store is restored from a backup: revisions are lower, one server is missing, and another
// one is new. Nodes that do not read the store receive the new era and only the differences from
// the old list. A node that was partitioned during the restore, and polls others with a higher
// revision of the earlier era, must not bring back the lost server.
func TestFleetConvergesAfterStoreRestore(t *testing.T) {
	t.Parallel()
	const servers = 200
	fullList := bytes.Buffer{}
	require.NoError(t, Delta{Whole: true, Changed: newServers(servers)}.encode(&fullList))
	for _, nodes := range []int{7, 100, 985} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			s := newLargeSimFleet(t, nodes, 7)
			for _, node := range s.nodes {
				node.Eras = &coordination.EraTracker{}
				node.Eras.Observe(coordination.EraOf(1))
			}
			list := newServers(servers)
			s.loadFromStore(list)
			s.runUntilCurrent()
			idle := int(s.meanBytesPerRound(2))
			reader := s.firstReader()
			reader.applyServers(serverUpdate{changed: []backend.Server{{Instance: "i-late", Service: "engines", Revision: servers + 50}}, position: at(servers + 50), readAt: time.Now()})
			s.runUntilCurrent()
			isolated := reader
			for _, node := range s.nodes {
				// The node of the highest rank: no other node polls it.
				if node.Registry.Rank() > isolated.Registry.Rank() {
					isolated = node
				}
			}
			isolated.partitioned = true

			reader.Eras.Observe(coordination.EraOf(2))
			restored := append(list[1:len(list):len(list)], backend.Server{Instance: "i-new", Service: "engines", Revision: servers + 1, Created: servers + 1})
			reader.applyServers(serverUpdate{whole: true, changed: restored, position: coordination.Position{Era: coordination.EraOf(2), Revision: servers + 1}, readAt: time.Now()})
			clear(s.bytes)
			for range 3 {
				s.runRound()
			}
			bytesPerNode := s.sum()/nodes - 3*idle
			t.Logf("%d nodes: %d bytes per node on top of %d per idle round; a full list has %d", nodes, bytesPerNode, idle, fullList.Len())
			require.Less(t, bytesPerNode, 2000, "only the differences are sent")
			for name, node := range s.nodes {
				if node != isolated {
					require.Equal(t, coordination.EraOf(2), node.Eras.Current(), name)
					require.Equal(t, reader.Feed.servers.sum, node.Feed.servers.sum, name)
				}
			}
			isolated.partitioned = false
			require.LessOrEqual(t, s.runUntilCurrent(), 2)
			require.NotContains(t, isolated.Feed.servers.servers, "i-late")
			require.Contains(t, isolated.Feed.servers.servers, "i-new")
		})
	}
}
