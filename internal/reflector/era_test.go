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
func TestAFleetFollowsAStoreThatGoesBack(t *testing.T) {
	t.Parallel()
	const servers = 200
	whole := bytes.Buffer{}
	require.NoError(t, Delta{Whole: true, Changed: manyServers(servers)}.encode(&whole))
	for _, nodes := range []int{7, 100, 985} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := newLargeCrowd(t, nodes, 7)
			for _, node := range c.nodes {
				node.Eras = &coordination.Eras{}
				node.Eras.Observe(1)
			}
			list := manyServers(servers)
			c.begin(list)
			c.rounds()
			rest := int(c.perRound(2))
			reader := c.first()
			reader.takeServers(listing{changed: []backend.Server{{Instance: "i-late", Service: "engines", Revision: servers + 50}}, at: at(servers + 50), readAt: time.Now()})
			c.rounds()
			lost := reader
			for _, node := range c.nodes {
				// The node of the highest rank: no other node polls it.
				if node.Registry.Rank() > lost.Registry.Rank() {
					lost = node
				}
			}
			lost.cut = true

			reader.Eras.Observe(2)
			rewritten := append(list[1:len(list):len(list)], backend.Server{Instance: "i-new", Service: "engines", Revision: servers + 1, Created: servers + 1})
			reader.takeServers(listing{whole: true, changed: rewritten, at: coordination.Position{Era: 2, Revision: servers + 1}, readAt: time.Now()})
			clear(c.bytes)
			for range 3 {
				c.round()
			}
			told := c.sum()/nodes - 3*rest
			t.Logf("%d nodes: %d bytes per node on top of %d per idle round; a full list has %d", nodes, told, rest, whole.Len())
			require.Less(t, told, 2000, "only the differences are sent")
			for name, node := range c.nodes {
				if node != lost {
					require.EqualValues(t, 2, node.Eras.Current(), name)
					require.Equal(t, reader.Feed.servers.sum, node.Feed.servers.sum, name)
				}
			}
			lost.cut = false
			require.LessOrEqual(t, c.rounds(), 2)
			require.NotContains(t, lost.Feed.servers.servers, "i-late")
			require.Contains(t, lost.Feed.servers.servers, "i-new")
		})
	}
}
