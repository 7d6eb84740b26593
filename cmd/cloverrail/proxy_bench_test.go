package main

import (
	"net/http"
	"testing"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// BenchmarkStreamedRequest measures the time and allocations of one request whose response is
// a stream of 50 events, over sockets, with the client and the engine in the same process.
func BenchmarkStreamedRequest(b *testing.B) {
	fixture := newFixture(b).serve(engine("i-1", standin.Streams(50, 0)))
	b.ReportAllocs()
	for b.Loop() {
		if got := fixture.send(http.MethodPost, "/stream/", "", prompt); got.status != http.StatusOK {
			b.Fatal(got.status, got.err)
		}
	}
}
