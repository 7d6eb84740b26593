package main

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// Guards against requests without a response on a connection that the node has closed without notice, since it took the
// response to a HEAD request on a route of streams for a stream that had broken off.
func TestConnectionIsUsableAfterHeadOfStream(t *testing.T) {
	for _, path := range []string{"/stream/x", "/fixed/x"} {
		t.Run(path, func(t *testing.T) {
			fixture := newFixture(t).serve(engine("i-1", standin.StreamEvents(3, 0)))
			for range 20 {
				for _, method := range []string{http.MethodHead, http.MethodPost} {
					got := fixture.send(method, path, "", setPromptHeaders)
					require.NoError(t, got.err, method)
					require.Equal(t, http.StatusOK, got.status, method)
				}
			}
		})
	}
}
