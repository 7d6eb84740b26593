package wire

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

func hashes(count int) []prefix.Hash {
	chain := []prefix.Hash{}
	for index := range count {
		chain = append(chain, prefix.Next(9, uint64(index)))
	}
	return chain
}

// encodedBytes returns the size of one more message on a persistent connection,
// after the type descriptors were sent.
func encodedBytes(b *testing.B, message any) float64 {
	type envelope struct {
		Body    any
		Problem string
	}
	var sent bytes.Buffer
	encoder := gob.NewEncoder(&sent)
	if err := encoder.Encode(envelope{Body: message}); err != nil {
		b.Fatal(err)
	}
	first := sent.Len()
	count := 0
	for b.Loop() {
		if err := encoder.Encode(envelope{Body: message}); err != nil {
			b.Fatal(err)
		}
		count++
		if sent.Len() > 1<<24 {
			first, count = 0, 0
			sent.Reset()
		}
	}
	if count == 0 {
		return 0
	}
	return float64(sent.Len()-first) / float64(count)
}

// BenchmarkLookupBytes measures the lookup of a 64-block prompt held by three
// engines.
func BenchmarkLookupBytes(b *testing.B) {
	anchors := prefixindex.Anchors(hashes(64))
	b.Run("request", func(b *testing.B) {
		b.ReportMetric(encodedBytes(b, LookupRequest{Chain: anchors}), "B/message")
	})
	b.Run("answer", func(b *testing.B) {
		answer := LookupAnswer{}
		for range 3 {
			holder := prefixindex.NewHolder("espoo-a-0001", uuid.NewString())
			answer.Holdings = append(answer.Holdings, Holding{Depth: prefixindex.Depth{Holder: holder, Blocks: 40},
				Load: engineapi.Load{Running: 30, PrefillTokens: 9000}, LoadAge: 100 * time.Millisecond})
		}
		b.ReportMetric(encodedBytes(b, answer), "B/message")
	})
}

// BenchmarkUpdateBytes measures the index updates for one request that stores 26
// and evicts 26 blocks, whose anchors go to two index partitions.
func BenchmarkUpdateBytes(b *testing.B) {
	blocks := prefixindex.Anchors(hashes(52))[4:]
	update := IndexUpdate{Reader: "10.0.1.77:8081", Sequence: 100_000, Load: engineapi.Load{Running: 30, PrefillTokens: 9000},
		Update: prefixindex.Update{Holder: prefixindex.NewHolder("espoo-a-0001", uuid.NewString()), Stored: blocks[:3]}}
	b.ReportMetric(2*encodedBytes(b, update), "B/request")
}

// BenchmarkClaimBytes measures one claim request to one holder.
func BenchmarkClaimBytes(b *testing.B) {
	request := ClaimRequest{Roster: "10.0.0.1:8081,10.0.0.2:8081,10.0.0.3:8081", Owner: uuid.NewString()}
	request.Key.Tenant, request.Key.Value = "studio-aalto/vuoro-api", uuid.NewString()
	b.ReportMetric(encodedBytes(b, request), "B/message")
}
