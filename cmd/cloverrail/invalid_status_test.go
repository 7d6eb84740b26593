package main

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// Guards against requests that end with a closed connection because their server has sent a status that no response to
// a client can have.
func TestInvalidStatusOfServerGetsFailure(t *testing.T) {
	for _, status := range []string{"000", "+42", "101"} {
		for _, path := range []string{"/once/x", "/stream/x"} {
			t.Run(status+path, func(t *testing.T) {
				respond := func(_ *standin.Server, w http.ResponseWriter, r *http.Request) {
					connection, buffered, err := http.NewResponseController(w).Hijack()
					if err != nil {
						panic(http.ErrAbortHandler)
					}
					defer connection.Close()
					fmt.Fprintf(buffered, "HTTP/1.1 %s Odd\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", status, standin.HeaderRequestID, r.Header.Get(standin.HeaderRequestID))
					_ = buffered.Flush()
				}
				fixture := newFixture(t).serve(plainServer("i-1", respond), engine("i-2", respond))
				got := fixture.send(http.MethodPost, path, "x", nil)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status, got.body)
			})
		}
	}
}
