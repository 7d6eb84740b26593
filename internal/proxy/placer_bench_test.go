package proxy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace measures the time and the allocations of one placement by number of servers.
func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{24, 90, 240, 720, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			placer := newTestPlacer(500, servers, 3)
			b.ReportAllocs()
			for b.Loop() {
				clear(placer.pieces)
				placement, unplaced := placer.Place(nil)
				if unplaced != nil {
					b.Fatal(unplaced.Reason)
				}
				placement.End(0)
			}
		})
	}
}

// BenchmarkPlaceOnAllProcessors measures the time of one placement while all processors place
// requests with the same prompt, by number of servers.
func BenchmarkPlaceOnAllProcessors(b *testing.B) {
	for _, servers := range []int{12, 9_998} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			p := newTestPlacer(500, servers, 3)
			b.RunParallel(func(each *testing.PB) {
				for number := 0; each.Next(); number++ {
					placement, unplaced := p.withRequestID(number).Place(nil)
					if unplaced != nil {
						b.Error(unplaced.Reason)
						return
					}
					placement.End(0)
				}
			})
		})
	}
}

// BenchmarkPlaceByTarget measures one placement among 72 servers by their cost alone, and by the
// estimated capacity and a target.
func BenchmarkPlaceByTarget(b *testing.B) {
	var servers []string
	for i := range 72 {
		servers = append(servers, fmt.Sprint("i-", i))
	}
	for name, mixed := range map[string]bool{"cost": false, "target": true} {
		b.Run(name, func(b *testing.B) {
			placer := newSharedPlacer(500, len(servers), time.Hour, mixed)
			placer.teach(servers, 50_000)
			b.ReportAllocs()
			for b.Loop() {
				clear(placer.pieces)
				placement, unplaced := placer.Place(nil)
				if unplaced != nil {
					b.Fatal(unplaced.Reason)
				}
				placement.End(0)
			}
		})
	}
}
