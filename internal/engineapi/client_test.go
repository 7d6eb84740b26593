package engineapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestResponseWithoutBodyIsNotResult guards against a 200 of an engine that has no body and is taken for one without fields: an
// engine that serves no model, or an empty prefix cache.
func TestResponseWithoutBodyIsNotResult(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "0") }))
	defer engine.Close()
	client, address := NewClient(), strings.TrimPrefix(engine.URL, "http://")
	_, err := client.Status(t.Context(), address)
	require.Error(t, err)
	_, err = client.Snapshot(t.Context(), address)
	require.Error(t, err)
}
