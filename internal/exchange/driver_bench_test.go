package exchange

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// discardCaller is a Caller that discards the response.
type quiet struct{}

func (quiet) Answer(*Answer) error        { return nil }
func (quiet) Open(int, http.Header) error { return nil }
func (quiet) Forward([]byte) error        { return nil }

// BenchmarkStream measures the time and the allocations of forwarding a stream of 50 events
// without network connections.
func BenchmarkStream(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		servers := &servers{list: []server{streams(50, io.EOF)}}
		outcome := Run(context.Background(), Request{Rules: once, Budget: &purse{}, Placer: servers, Caller: quiet{}})
		if outcome.Failure != nil {
			b.Fatal(outcome.Failure)
		}
	}
}
