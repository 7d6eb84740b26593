package reflector

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
)

// BenchmarkDelta measures encoding and decoding a typical response in a fleet of 295 nodes and
// 240 servers, in which only the work has changed.
func BenchmarkDelta(b *testing.B) {
	delta := Delta{Feed: "relay 1", Place: at(7), Age: time.Second, BeliefAge: time.Second, DisturbedAgo: -1, Weights: map[string]int64{"m": 3}, Kept: make([]byte, 1000)}
	for number := range 240 {
		delta.Others.Work = append(delta.Others.Work, backend.Work{Server: backend.ServerKey(string(rune(number))), Running: number % 5, QueuedTokens: number})
	}
	b.ReportAllocs()
	for b.Loop() {
		buffer := bytes.Buffer{}
		if err := delta.encode(&buffer); err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(buffer.Len()))
		var wired wireDelta
		if err := gob.NewDecoder(&buffer).Decode(&wired); err != nil {
			b.Fatal(err)
		}
		if _, err := wired.delta(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWholeList measures encoding and decoding the full list of 10,000 servers. When all
// nodes start, a relay encodes it for each of its followers, and each follower decodes it once.
func BenchmarkWholeList(b *testing.B) {
	delta := Delta{Feed: "relay 1", Place: at(7), Whole: true, Changed: newServers(10_000)}
	encoded := bytes.Buffer{}
	if err := delta.encode(&encoded); err != nil {
		b.Fatal(err)
	}
	b.Run("write", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := delta.encode(&bytes.Buffer{}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("read", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var wired wireDelta
			if err := gob.NewDecoder(bytes.NewReader(encoded.Bytes())).Decode(&wired); err != nil {
				b.Fatal(err)
			}
			if _, err := wired.delta(); err != nil {
				b.Fatal(err)
			}
		}
	})
}
