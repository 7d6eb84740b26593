package outbound

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testTimeout = 100 * time.Millisecond
	// testLimit is the time by which a call that is bounded by testTimeout has certainly ended.
	testLimit = 10 * time.Second
)

// silentServer accepts calls, and responds with a head and the given text at most.
func silentServer(t *testing.T, text string) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if text != "" {
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return server
}

// call makes a call and reads its whole response.
func call(ctx context.Context, t *testing.T, client *http.Client, url string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	require.NoError(t, err)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

// Guards against calls that wait for good at a server that says nothing, or nothing more.
func TestCallEndsAfterTimeout(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "stalled after its head": "{"} {
		t.Run(name, func(t *testing.T) {
			server, client := silentServer(t, text), NewClient(testTimeout)
			ctx, cancel := context.WithTimeout(t.Context(), testLimit)
			defer cancel()
			require.ErrorIs(t, call(ctx, t, client, server.URL), context.DeadlineExceeded)
			require.NoError(t, ctx.Err())
		})
	}
}

func TestContextEndsCallEarlier(t *testing.T) {
	server, client := silentServer(t, ""), NewClient(testLimit)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.ErrorIs(t, call(ctx, t, client, server.URL), context.DeadlineExceeded)
}

func TestWithTimeoutReplacesTimeout(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * testTimeout)
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	client := NewClient(testTimeout)
	require.ErrorIs(t, call(t.Context(), t, client, server.URL), context.DeadlineExceeded)
	require.NoError(t, call(WithTimeout(t.Context(), testLimit), t, client, server.URL))
	silent := silentServer(t, "{")
	require.ErrorIs(t, call(WithTimeout(t.Context(), testTimeout), t, NewClient(testLimit), silent.URL), context.DeadlineExceeded)
}
