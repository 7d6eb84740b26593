package command

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExplainShowsOccupancy(t *testing.T) {
	log := `{"node":"b","id":"r1","server":"i-7","resident":140000,"memory":151820,"full":2,"message":"placed"}
{"node":"b","id":"r1","server":"i-7","silent":410.2,"message":"kept"}
{"node":"b","id":"r2","server":"i-7","message":"placed"}`
	text := strings.Builder{}
	require.NoError(t, explain(strings.NewReader(log), &text, "r1"))
	require.Contains(t, text.String(), "requests held 140000 of the 151820 tokens of its memory")
	require.Contains(t, text.String(), "it had just refused 2 other nodes")
	require.Contains(t, text.String(), "server i-7 was silent for 410 ms but answers other nodes: the attempt goes on")
	text.Reset()
	require.NoError(t, explain(strings.NewReader(log), &text, "r2"))
	require.NotContains(t, text.String(), "memory", "a service of one priority")
}
