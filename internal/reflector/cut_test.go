package reflector

import (
	"bytes"
	"encoding/gob"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/fleet"
)

// TestCutMessageIsNotWhole guards against messages of other nodes, of this build and of former ones, that were cut, at any byte,
// and are taken for whole ones: a list of servers without some, or a report without load.
func TestCutMessageIsNotWhole(t *testing.T) {
	var delta, group, question bytes.Buffer
	require.NoError(t, Delta{Feed: "f", Whole: true, Changed: []backend.Server{{Instance: "i-1"}, {Instance: "i-2"}}, Gone: []string{"i-3"}, Weights: map[string]int64{"m": 2}}.encode(&delta))
	require.NoError(t, Group{Loads: &backend.Loads{}}.encode(&group))
	require.NoError(t, PollRequest{Feed: "f", Node: "n"}.encode(&question))
	messages := map[string][]byte{"delta": delta.Bytes(), "group": group.Bytes(), "question": question.Bytes()}
	for _, name := range []string{"delta", "group", "question", "view"} {
		former, err := os.ReadFile(filepath.Join("testdata", "former", name+".gob"))
		require.NoError(t, err)
		messages["former "+name] = former
	}
	for name, whole := range messages {
		decode := func(message []byte) error {
			switch {
			case strings.HasSuffix(name, "question"):
				_, err := decodePollRequest(bytes.NewReader(message))
				return err
			case strings.HasSuffix(name, "view"):
				var w fleet.WireView
				return gob.NewDecoder(bytes.NewReader(message)).Decode(&w)
			case strings.HasSuffix(name, "group"):
				var w wireGroup
				return gob.NewDecoder(bytes.NewReader(message)).Decode(&w)
			default:
				var w wireDelta
				return gob.NewDecoder(bytes.NewReader(message)).Decode(&w)
			}
		}
		require.NoError(t, decode(whole), name)
		for length := range len(whole) {
			require.Error(t, decode(whole[:length]), "%s cut after %d of %d bytes", name, length, len(whole))
		}
	}
}

// TestCutPollIsNotWhole is the same for the calls to other nodes, whose responses may end with their connection.
func TestCutPollIsNotWhole(t *testing.T) {
	var delta, group bytes.Buffer
	require.NoError(t, Delta{Feed: "f"}.encode(&delta))
	require.NoError(t, Group{}.encode(&group))
	length := 0
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		message := delta.Bytes()
		if r.URL.Path == PathWork {
			message = group.Bytes()
		}
		_, _ = w.Write(message[:min(length, len(message))])
	}))
	defer node.Close()
	client, address := &PeerClient{Client: node.Client()}, strings.TrimPrefix(node.URL, "http://")
	for length = range max(delta.Len(), group.Len()) + 1 {
		_, err := client.Poll(t.Context(), address, PollRequest{Feed: "f"})
		require.Equal(t, length >= delta.Len(), err == nil, "a delta cut after %d of %d bytes: %v", length, delta.Len(), err)
		_, err = client.Group(t.Context(), address, GroupRequest{})
		require.Equal(t, length >= group.Len(), err == nil, "a group cut after %d of %d bytes: %v", length, group.Len(), err)
	}
}
