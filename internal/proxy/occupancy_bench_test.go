package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/cloverrail/cloverrail/internal/catalog"
)

// BenchmarkPlaceAmongOccupied measures one placement of a long prompt among 72 servers on which other
// nodes report work, for a service that routes of different priority share, and for one that is as it
// was without that.
func BenchmarkPlaceAmongOccupied(b *testing.B) {
	for _, shared := range []bool{false, true} {
		b.Run(fmt.Sprint("shared=", shared), func(b *testing.B) {
			p := longPromptPlacer(72, cacheTokensB).ofTenant(3, 1)
			if !shared {
				declaration := *p.admitted.replica.Snapshot.Declaration()
				declaration.Routes = declaration.Routes[:1]
				p.admitted.replica = &catalog.Replica{Snapshot: catalog.New(declaration)}
			}
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				if number%1024 == 0 {
					// Reports expire after a second.
					p.reportBusyServers(time.Now())
				}
				clear(p.pieces)
				placement, unplaced := p.Place(nil)
				if unplaced != nil {
					b.Fatal(unplaced.Reason)
				}
				placement.End(0)
			}
		})
	}
}

// BenchmarkCandidatesOfOccupiedServers measures the state of 72 servers as a placement reads it, with
// and without the memory that running requests hold.
func BenchmarkCandidatesOfOccupiedServers(b *testing.B) {
	for _, memory := range []bool{false, true} {
		b.Run(fmt.Sprint("memory=", memory), func(b *testing.B) {
			p := longPromptPlacer(72, cacheTokensB).ofTenant(3, 1)
			p.reportBusyServers(time.Now())
			now := time.Now()
			query := p.query(now)
			if !memory {
				query.Shared = nil
			}
			candidates := p.proxy.set.Candidates(nil, query, now)
			b.ReportAllocs()
			for b.Loop() {
				candidates = p.proxy.set.Candidates(candidates[:0], query, now)
			}
		})
	}
}
