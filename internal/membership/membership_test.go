package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/membership"
	"github.com/cloverrail/cloverrail/internal/property"
)

func TestNoFalseDeathsAtTwentyPercentLoss(t *testing.T) {
	network := newNetwork(Config{Nodes: 60, Seed: 1, Zones: 3, Delay: time.Millisecond, Loss: 0.2})
	network.Run(3 * time.Minute)
	require.Zero(t, network.Changes[membership.Dead], "no live node must be declared dead")
}

func TestFailureReachesAllNodes(t *testing.T) {
	network := newNetwork(Config{Nodes: 60, Seed: 2, Zones: 3, Delay: time.Millisecond, Loss: 0.05})
	network.Run(5 * time.Second)
	network.Nodes[7].Up = false
	network.Run(20 * time.Second)
	require.Equal(t, 59, network.CountWithStatus(network.Nodes[7].Address, membership.Dead))
	network.Restart(7)
	network.Run(20 * time.Second)
	require.Equal(t, 59, network.CountWithStatus(network.Nodes[7].Address, membership.Alive))
}

func TestPausedNodeRefutesItsDeathAndRejoins(t *testing.T) {
	network := newNetwork(Config{Nodes: 20, Seed: 3, Zones: 3, Delay: time.Millisecond})
	network.Run(5 * time.Second)
	paused := network.Nodes[4]
	before := paused.Machine.Self().Incarnation
	paused.Paused = true
	network.Run(30 * time.Second)
	require.Equal(t, 19, network.CountWithStatus(paused.Address, membership.Dead))
	paused.Paused = false
	network.Run(15 * time.Second)
	require.Greater(t, paused.Machine.Self().Incarnation, before)
	require.Equal(t, 19, network.CountWithStatus(paused.Address, membership.Alive))
}

func TestPartitionedNodesRejoinAfterHealing(t *testing.T) {
	network := newNetwork(Config{Nodes: 30, Seed: 4, Zones: 2, Delay: time.Millisecond})
	network.Run(5 * time.Second)
	network.Partition(func(index int) int { return index % 2 })
	network.Run(40 * time.Second)
	require.Equal(t, 15, network.CountWithStatus(network.Nodes[0].Address, membership.Dead))
	network.Partition(func(int) int { return 0 })
	network.Run(90 * time.Second)
	for _, node := range network.Nodes {
		require.Equal(t, 29, network.CountWithStatus(node.Address, membership.Alive), node.Address)
	}
}

// countUnexpected returns how many members, summed over the views of the live
// nodes, do not satisfy expected.
func (network *Network) countUnexpected(expected func(member membership.Member) bool) int {
	count := 0
	for _, node := range network.Nodes {
		if !node.Up {
			continue
		}
		for _, member := range node.Machine.Members() {
			if !expected(member) {
				count++
			}
		}
	}
	return count
}

func TestZoneFailureIsDetectedAndZoneRejoins(t *testing.T) {
	network := newNetwork(Config{Nodes: 100, Seed: 7, Zones: 5, Delay: 2 * time.Millisecond, Loss: 0.01})
	network.Run(5 * time.Second)
	for index, node := range network.Nodes {
		node.Up = index%5 != 0
	}
	network.Run(time.Second)
	network.ActivateRevision(1, 1)
	network.Run(3 * time.Second)
	for _, node := range network.Nodes {
		require.True(t, !node.Up || node.Revision == 1, "a revision must reach all live nodes in 3 s")
	}
	network.Run(50 * time.Second)
	dead := func(member membership.Member) bool {
		return (member.Zone == "zone-0") == (member.Status == membership.Dead)
	}
	require.Zero(t, network.countUnexpected(dead))
	for index := 0; index < len(network.Nodes); index += 5 {
		network.Restart(index)
	}
	network.Run(40 * time.Second)
	require.Zero(t, network.countUnexpected(func(member membership.Member) bool { return member.Status == membership.Alive }))
}

func TestPartitionedRegionsMergeAfterHealing(t *testing.T) {
	network := newNetwork(Config{Nodes: 100, Seed: 8, Zones: 5, Delay: 2 * time.Millisecond, Loss: 0.01})
	network.Run(5 * time.Second)
	network.Partition(func(index int) int { return index % 5 / 3 })
	network.Run(4 * time.Minute)
	network.ActivateRevision(0, 1)
	network.Run(3 * time.Second)
	require.Zero(t, network.Nodes[4].Revision)
	network.Partition(func(int) int { return 0 })
	network.Run(90 * time.Second)
	require.Zero(t, network.countUnexpected(func(member membership.Member) bool { return member.Status == membership.Alive }))
	for _, node := range network.Nodes {
		require.EqualValues(t, 1, node.Revision)
	}
}

// TestRevisionsConvergeAndNeverDecrease restarts, pauses and partitions nodes at
// random while new revisions come into force, and checks every node after every
// step.
func TestRevisionsConvergeAndNeverDecrease(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		network := newNetwork(Config{Nodes: 12, Seed: rapid.Uint64().Draw(t, "seed"), Zones: 3, Delay: time.Millisecond, Loss: 0.1})
		revision := int64(0)
		highest := make([]int64, len(network.Nodes))
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			which := rapid.IntRange(0, 11).Draw(t, "node")
			node := network.Nodes[which]
			switch rapid.SampledFrom([]string{"change", "change", "pause", "resume", "split", "heal", "restart"}).Draw(t, "step") {
			case "change":
				revision++
				network.ActivateRevision(which, revision)
			case "pause":
				node.Paused = true
			case "resume":
				node.Paused = false
			case "split":
				network.Partition(func(index int) int { return index % 2 })
			case "heal":
				network.Partition(func(int) int { return 0 })
			case "restart":
				network.Restart(which)
				highest[which] = 0
			}
			network.Run(time.Duration(rapid.IntRange(100, 2000).Draw(t, "milliseconds")) * time.Millisecond)
			for index, node := range network.Nodes {
				require.GreaterOrEqual(t, node.Revision, highest[index], "a node's revision must not decrease")
				highest[index] = node.Revision
			}
		}
		network.Partition(func(int) int { return 0 })
		for _, node := range network.Nodes {
			node.Paused = false
		}
		network.Run(30 * time.Second)
		for _, node := range network.Nodes {
			require.Equal(t, revision, node.Revision, "all nodes must converge once the partition has healed")
		}
	})
}

func TestRevisionReachesAllNodesInThreeSeconds(t *testing.T) {
	for _, nodes := range []int{10, 100, 340} {
		network := newNetwork(Config{Nodes: nodes, Seed: 5, Zones: 5, Delay: 2 * time.Millisecond, Loss: 0.02})
		network.Run(3 * time.Second)
		for revision := int64(1); revision <= 5; revision++ {
			start := network.Now
			network.ActivateRevision(int(revision), revision)
			network.Run(3 * time.Second)
			for _, node := range network.Nodes {
				require.Equal(t, revision, node.Revision, "%d nodes", nodes)
				require.LessOrEqual(t, node.ActivatedAt.Sub(start), 3*time.Second)
			}
		}
	}
}

func TestBytesPerNodeDoNotGrowWithFleetSize(t *testing.T) {
	rates := map[int]float64{}
	for _, nodes := range []int{10, 340} {
		network := newNetwork(Config{Nodes: nodes, Seed: 6, Zones: 5, Delay: 2 * time.Millisecond, CountBytes: true})
		network.Run(30 * time.Second)
		sent := int64(0)
		for _, node := range network.Nodes {
			node.Sent = 0
		}
		network.Run(30 * time.Second)
		for _, node := range network.Nodes {
			sent += node.Sent
		}
		rates[nodes] = float64(sent) / float64(nodes) / 30
	}
	t.Logf("bytes sent per node and second: %.0f with 10 nodes, %.0f with 340", rates[10], rates[340])
	require.Less(t, rates[340], 1.3*rates[10])
}
