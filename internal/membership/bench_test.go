package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkSteadyState reports the cost per node and second in a stable fleet:
// processor time, bytes transferred, and memory.
func BenchmarkSteadyState(b *testing.B) {
	for _, nodes := range []int{10, 100, 340} {
		b.Run(fmt.Sprint(nodes, "nodes"), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			network := newNetwork(Config{Nodes: nodes, Seed: 1, Zones: 5, Delay: 2 * time.Millisecond, CountBytes: true})
			network.Run(20 * time.Second)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for _, node := range network.Nodes {
				node.Sent, node.Received = 0, 0
			}
			seconds := 0
			for b.Loop() {
				network.Run(time.Second)
				seconds++
			}
			sent, received := int64(0), int64(0)
			for _, node := range network.Nodes {
				sent += node.Sent
				received += node.Received
			}
			nodeSeconds := float64(nodes * seconds)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/nodeSeconds, "us/node-s")
			b.ReportMetric(float64(sent+received)/nodeSeconds, "B/node-s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(nodes), "B/node")
		})
	}
}

// BenchmarkRevisionPropagation reports the virtual time that a revision takes to
// reach the last node.
func BenchmarkRevisionPropagation(b *testing.B) {
	for _, nodes := range []int{10, 100, 340} {
		b.Run(fmt.Sprint(nodes, "nodes"), func(b *testing.B) {
			network := newNetwork(Config{Nodes: nodes, Seed: 1, Zones: 5, Delay: 2 * time.Millisecond, Loss: 0.02})
			network.Run(5 * time.Second)
			revision, slowest := int64(0), time.Duration(0)
			for b.Loop() {
				revision++
				start := network.Now
				network.ActivateRevision(int(revision)%nodes, revision)
				network.Run(3 * time.Second)
				for _, node := range network.Nodes {
					if node.Revision < revision {
						b.Fatalf("a node is still at revision %d after 3 s", node.Revision)
					}
					slowest = max(slowest, node.ActivatedAt.Sub(start))
				}
			}
			b.ReportMetric(float64(slowest.Milliseconds()), "ms-slowest")
		})
	}
}
