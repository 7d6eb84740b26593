package workshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/property"
	"github.com/cloverrail/cloverrail/internal/quota"
)

var begin = time.Unix(1000, 0)

// node is a node with its own work and quota usage.
type node struct {
	name  string
	work  []backend.Work
	uses  []quota.Use
	board *Board
}

func newNode(name string) *node {
	n := &node{name: name}
	n.board = New(func() Report { return Report{Work: n.work, Quota: quota.Report{Nodes: 1, Uses: n.uses}} })
	return n
}

// Whatever the nodes report, each receives the sum of all others' reports without its own.
func TestEachNodeHearsOfAllOthers(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		readers, all := []*node{}, []*node{}
		asks := map[*node]*node{}
		for i := range rapid.IntRange(1, 10).Draw(t, "readers") {
			readers = append(readers, newNode(fmt.Sprint("reader-", i)))
		}
		all = append(all, readers...)
		for i := range rapid.IntRange(0, 30).Draw(t, "followers") {
			follower := newNode(fmt.Sprint("follower-", i))
			asks[follower] = rapid.SampledFrom(readers).Draw(t, "asks")
			all = append(all, follower)
		}
		whole := newTotals()
		for _, n := range all {
			for server := range rapid.Uint64Range(0, 5).Draw(t, "servers") {
				n.work = append(n.work, backend.Work{Server: server, Running: rapid.IntRange(0, 9).Draw(t, "running")})
			}
			for tenant := range rapid.Uint64Range(0, 5).Draw(t, "tenants") {
				n.uses = append(n.uses, quota.Use{Tenant: tenant, Asked: float64(rapid.IntRange(0, 9).Draw(t, "asked"))})
			}
			whole.add(n.board.Own())
		}
		for follower, reader := range asks {
			reader.board.TakeFollower(follower.name, follower.board.Own(), begin)
		}
		for _, a := range readers {
			for _, b := range readers {
				if a != b {
					a.board.TakeGroup(b.name, b.board.Group(begin), begin)
				}
			}
		}
		for _, n := range all {
			heard := n.board.Others("", begin)
			if reader := asks[n]; reader != nil {
				heard = reader.board.Others(n.name, begin)
			}
			sum := newTotals()
			sum.add(heard)
			sum.add(n.board.Own())
			require.Equal(t, len(all), sum.nodes, n.name)
			for server := range whole.work {
				require.Equal(t, whole.work[server].Running, sum.work[server].Running, n.name)
			}
			for tenant := range whole.uses {
				require.Equal(t, whole.uses[tenant].Asked, sum.uses[tenant].Asked, n.name)
			}
		}
	})
}

func TestAnOldWordDoesNotCount(t *testing.T) {
	b := New(func() Report { return Report{} })
	b.TakeFollower("a", Report{Work: []backend.Work{{Server: 1, Running: 2}}}, begin)
	b.TakeGroup("r", Report{Work: []backend.Work{{Server: 1, Running: 3}}}, begin.Add(reportLife))
	require.Equal(t, []backend.Work{{Server: 1, Running: 5}}, b.Others("", begin.Add(reportLife)).Work)
	require.Equal(t, []backend.Work{{Server: 1, Running: 3}}, b.Others("", begin.Add(reportLife+1)).Work)
	require.Empty(t, b.Others("", begin.Add(3*reportLife)).Work)
}

func TestWhatMattersMostIsToldIfThereIsTooMuch(t *testing.T) {
	b := New(func() Report { return Report{} })
	work := []backend.Work{{Server: 9999, Suspects: 1}}
	for i := range 2 * mostTold {
		work = append(work, backend.Work{Server: uint64(i), QueuedTokens: i})
	}
	b.TakeGroup("r", Report{Work: work}, begin)
	told := b.Others("", begin).Work
	require.Len(t, told, mostTold)
	require.Equal(t, uint64(9999), told[0].Server)
	require.Equal(t, 2*mostTold-1, told[1].QueuedTokens)
}
