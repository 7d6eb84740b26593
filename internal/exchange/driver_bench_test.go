package exchange

import (
	"context"
	"io"
	"net/http"
	"testing"
)

// discardCaller is a Caller that discards the response.
type discardCaller struct{}

func (discardCaller) Answer(*Answer) error        { return nil }
func (discardCaller) Open(int, http.Header) error { return nil }
func (discardCaller) Forward([]byte) error        { return nil }

// BenchmarkStream measures the time and the allocations of forwarding a stream of 50 events
// without network connections.
func BenchmarkStream(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		placer := &placer{servers: []fakeServer{streams(50, io.EOF)}}
		outcome := Run(context.Background(), Request{Rules: singleRun, Budget: &fixedBudget{}, Placer: placer, Caller: discardCaller{}})
		if outcome.Failure != nil {
			b.Fatal(outcome.Failure)
		}
	}
}
