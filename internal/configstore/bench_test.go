package configstore

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cloverrail/cloverrail/internal/configuration"
)

func fullTenants(count int) *configuration.Declaration {
	declared := &configuration.Declaration{Version: 1, Fleet: "bench"}
	for index := range count {
		name := fmt.Sprintf("tenant-%05d", index)
		declared.Tenants = append(declared.Tenants, configuration.Tenant{
			Name: name, KeyDigests: []string{configuration.Digest(name)}, Pools: []string{"pool-a", "pool-b"}, Class: "interactive", Weight: 1,
			Limits: configuration.Limits{RequestsPerSecond: 5, Burst: 10, Streams: 20},
		})
	}
	return declared
}

// BenchmarkSwap joins and compiles a whole declaration, as a node does for every
// change, and reports its size.
func BenchmarkSwap(b *testing.B) {
	for _, tenants := range []int{100, 3_100, 31_000} {
		b.Run(fmt.Sprint(tenants, "tenants"), func(b *testing.B) {
			parts, err := Split(fullTenants(tenants))
			if err != nil {
				b.Fatal(err)
			}
			bytes := 0
			for _, part := range parts {
				bytes += len(part.Data)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			version := &Version{Revision: 1, Parts: parts}
			snapshot, err := version.Compile()
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				if _, err := version.Compile(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(tenants), "B-stored/tenant")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tenants), "B-compiled/tenant")
			b.ReportMetric(float64(bytes)/float64(len(parts)), "B/part")
			runtime.KeepAlive(snapshot)
		})
	}
}
