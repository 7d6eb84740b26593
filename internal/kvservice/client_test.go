package kvservice

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestResponseWithoutBodyIsNotResult guards against a 200 of the service that has no body and is taken for one without fields:
// a key that does not exist, an empty list, or a lease that has ended.
func TestResponseWithoutBodyIsNotResult(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "0") }))
	defer service.Close()
	client := NewClient(strings.TrimPrefix(service.URL, "http://"))
	for name, call := range map[string]func() error{
		"get":       func() error { _, err := client.Get(t.Context(), "k"); return err },
		"list":      func() error { _, err := client.List(t.Context(), "k"); return err },
		"commit":    func() error { _, err := client.Commit(t.Context(), TxnRequest{}); return err },
		"grant":     func() error { _, err := client.GrantLease(t.Context(), time.Second); return err },
		"keepalive": func() error { _, err := client.KeepAlive(t.Context(), 1); return err },
	} {
		require.Error(t, call(), name)
	}
}
