package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAdmit measures a decision among 80 tenants at five times their limits, of which peers
// report all ranks and appointments.
func BenchmarkAdmit(b *testing.B) {
	const tenants = 80
	l := New(overloadBounds, rand.Float64, start)
	l.Resize(74)
	peers := Report{Nodes: 73}
	names := make([]string, tenants)
	for i := range names {
		names[i] = fmt.Sprint("tenant-", i)
		key := TenantKey(names[i])
		peers.Usages = append(peers.Usages, Usage{Key: key, Requested: 700_000, Admitted: 140_000})
		for rank := range rankCount {
			peers.Rows = append(peers.Rows, Usage{Key: rowKey(key, tenantRankRow+rowKind(rank)), Requested: 70_000, Admitted: 14_000})
		}
		peers.Rows = append(peers.Rows, Usage{Key: rowKey(key, tenantPromisedRow), Requested: 100_000})
	}
	now, caller := start, uint64(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			l.SetPeerUsage(peers, now)
		}
		now = now.Add(100 * time.Microsecond)
		caller++
		request := Request{Cost: 400, Rank: i % rankCount, Caller: func() uint64 { return caller }, Remaining: 5 * time.Second, AnswerTime: time.Second}
		if _, err := l.Admit(names[i%tenants], tokenLimit(140_000), request, now); err != nil {
			b.Fatal(err)
		}
	}
}
