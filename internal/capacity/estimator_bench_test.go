package capacity

import (
	"testing"
	"time"
)

// BenchmarkEstimateFleet measures the estimates of all 72 servers, as one placement needs them, while
// reports and samples arrive at usual rates.
func BenchmarkEstimateFleet(b *testing.B) {
	const servers = 72
	s, r := newSimulation(), report{}
	for server := range uint64(servers) {
		s.observe(server, 50_000, 4000, 1)
		r.add(server, 50_000)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(10 * time.Millisecond)
		for server := range uint64(servers) {
			s.Estimate("s", server, s.now)
		}
	}
}

// BenchmarkObserve measures learning from one attempt.
func BenchmarkObserve(b *testing.B) {
	s := newSimulation()
	b.ReportAllocs()
	for b.Loop() {
		s.observe(1, 50_000, 4000, 1)
	}
}

// BenchmarkSetPeerVotes measures one report of votes on 72 servers.
func BenchmarkSetPeerVotes(b *testing.B) {
	s, r := newSimulation(), report{}
	for server := range uint64(72) {
		r.add(server, 50_000)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(200 * time.Millisecond)
		s.SetPeerVotes(r.all, s.now)
	}
}
