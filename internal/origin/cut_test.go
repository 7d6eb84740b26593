package origin

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/fleet"
)

// TestCutMessageIsNotWhole guards against messages and entries of the store that were cut, at any byte, and are taken for whole
// ones with fewer streams.
func TestCutMessageIsNotWhole(t *testing.T) {
	streams := map[Key]Origin{1: {Service: "a", Software: "1"}, 2: {Service: "a", Software: "2"}, 3: {Service: "b", Software: "1"}}
	entry, err := encodeEntry(streams)
	require.NoError(t, err)
	report, err := openReport{node: "n", sequence: 3, streams: streams}.encode()
	require.NoError(t, err)
	sent, err := records{Origin{Service: "a", Software: "1"}, []Key{1, 2, 3}}.encode()
	require.NoError(t, err)
	for name, c := range map[string]struct {
		whole  []byte
		decode func(cut []byte) error
	}{
		"entry":   {entry, func(cut []byte) error { _, err := decodeEntry(cut); return err }},
		"report":  {report, func(cut []byte) error { _, err := decodeReport(bytes.NewReader(cut)); return err }},
		"records": {sent, func(cut []byte) error { _, err := decodeRecords(bytes.NewReader(cut)); return err }},
	} {
		require.NoError(t, c.decode(c.whole), name)
		for length := range len(c.whole) {
			require.Error(t, c.decode(c.whole[:length]), "%s cut after %d of %d bytes", name, length, len(c.whole))
		}
	}
}

// TestCutAnswerIsNotAbsence guards against an answer that was cut, at any byte, and is taken for one that a stream has no record.
func TestCutAnswerIsNotAbsence(t *testing.T) {
	ledger := NewLedger()
	ledger.Learn(7, Origin{Service: "a", Software: "1"}, time.Now())
	whole := httptest.NewRecorder()
	question, err := encode(wireLookup{Format: messageFormat, Key: 7})
	require.NoError(t, err)
	LookupHandler(ledger)(whole, httptest.NewRequest(http.MethodPost, PathLookup, bytes.NewReader(question)))
	answer := whole.Body.Bytes()
	length := 0
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer[:length]) }))
	defer node.Close()
	client := NewClient(nil, nil, node.Client())
	for length = range len(answer) + 1 {
		found, err := client.lookup(t.Context(), fleet.Node{Name: "b", Address: strings.TrimPrefix(node.URL, "http://")}, question)
		require.Equal(t, length == len(answer), err == nil, fmt.Sprint("cut after ", length, " bytes: ", found))
	}
}
