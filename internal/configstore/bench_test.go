package configstore

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cloverrail/cloverrail/internal/configuration"
)

func declarationWithTenants(count int) *configuration.Declaration {
	declaration := &configuration.Declaration{Version: 1, Fleet: "bench"}
	for index := range count {
		name := fmt.Sprintf("tenant-%05d", index)
		declaration.Tenants = append(declaration.Tenants, configuration.Tenant{
			Name: name, KeyDigests: []string{configuration.Digest(name)}, Pools: []string{"pool-a", "pool-b"}, Class: "interactive", Weight: 1,
			Limits: configuration.Limits{RequestsPerSecond: 5, Burst: 10, Streams: 20},
		})
	}
	return declaration
}

// BenchmarkCompileChange joins and compiles a complete declaration, as a node
// does for every change, and reports its stored size and its size in memory.
func BenchmarkCompileChange(b *testing.B) {
	for _, tenants := range []int{100, 3_100, 31_000} {
		b.Run(fmt.Sprint(tenants, "tenants"), func(b *testing.B) {
			parts, err := Split(declarationWithTenants(tenants))
			if err != nil {
				b.Fatal(err)
			}
			bytes := 0
			for _, part := range parts {
				bytes += len(part.Data)
			}
			version := &Version{Revision: 1, Parts: parts}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			snapshot, err := version.Compile()
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			// One part differs, as after a change to one tenant.
			changed := parts[len(parts)-1]
			changed.Data, _ = changed.Bytes()
			for b.Loop() {
				next := &Version{Revision: 2, Parts: append([]Part(nil), version.Parts...)}
				next.Parts[len(parts)-1] = Part{Name: changed.Name, Digest: changed.Digest, Data: changed.Data}
				if _, err := next.Compile(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(tenants), "B-stored/tenant")
			// The first heap reading includes the stored bytes, which Compile releases.
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc)+float64(bytes))/float64(tenants), "B-held/tenant")
			b.ReportMetric(float64(bytes)/float64(len(parts)), "B/part")
			runtime.KeepAlive(snapshot)
		})
	}
}
