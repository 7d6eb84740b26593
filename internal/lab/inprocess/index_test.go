package inprocess

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

// sendCompletion sends a non-streaming request and returns the response.
func sendCompletion(t *testing.T, fleet *Fleet, prompt string) engineapi.Chunk {
	t.Helper()
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 5, false))
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	var answer engineapi.Chunk
	require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
	require.Equal(t, expectedText(prompt, 5), answer.Choices[0].Content())
	return answer
}

func TestStoredBlocksAreImportedAfterCrash(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, StepTime: time.Millisecond})
	prompt := strings.Repeat("the long history of a campaign ", 100)
	require.Zero(t, sendCompletion(t, fleet, prompt).Usage.Details.CachedTokens)
	require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[0].IndexBlocks() > 0 }))
	fleet.Engines[0].Crash()
	require.NoError(t, fleet.Await(func() bool {
		return sendCompletion(t, fleet, prompt+"!").Usage.Details.CachedTokens > 0 && fleet.PrefixStoreStub.FetchedBlocks() > 0
	}))
}

func TestStoredBlocksOfOtherIdentityAreIgnored(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, StepTime: time.Millisecond})
	prompt := strings.Repeat("the long history of a campaign ", 100)
	sendCompletion(t, fleet, prompt)
	fleet.PrefixStoreStub.SetWrongIdentity(true)
	require.NoError(t, fleet.Await(func() bool {
		fleet.Engines[0].Crash()
		answer := sendCompletion(t, fleet, prompt)
		require.Zero(t, answer.Usage.Details.CachedTokens, "blocks of another identity are not used")
		return fleet.PrefixStoreStub.FetchedBlocks() > 0
	}))
}

func TestPartitionedIndexFindsPrefixesFromEveryNode(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 4, StepTime: time.Millisecond, PartitionIndex: true})
	prompts := []string{}
	for index := range 6 {
		prompts = append(prompts, strings.Repeat(fmt.Sprint("campaign ", index, " "), 200))
	}
	send := func(node int, prompt string) engineapi.Usage {
		response := post(t, fleet.URL(node), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 2, false))
		defer response.Body.Close()
		var answer engineapi.Chunk
		require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
		return *answer.Usage
	}
	blocks := 0
	for index, prompt := range prompts {
		send(index%3, prompt)
		for depth := 1; depth <= len(prompt)/BlockBytes; depth++ {
			if prefixindex.IsAnchor(depth) {
				blocks++
			}
		}
	}
	require.NoError(t, fleet.Await(func() bool {
		indexed := 0
		for _, running := range fleet.Nodes {
			indexed += running.IndexBlocks()
		}
		return indexed == blocks
	}), "each anchor is indexed by its owner only")
	for node := range fleet.Nodes {
		for _, prompt := range prompts {
			require.Positive(t, send(node, prompt).Details.CachedTokens)
		}
	}
	// The partition of a node that stops is lost; the observers publish its entries again
	// to the new owners.
	<-fleet.Nodes[2].Shutdown()
	require.NoError(t, fleet.Await(func() bool {
		indexed := 0
		for _, running := range fleet.Nodes[:2] {
			indexed += running.IndexBlocks()
		}
		return indexed >= blocks
	}))
	// An unreachable owner costs cache hits but does not fail requests.
	fleet.SetBlocked(fleet.Nodes[1].Settings.PeerAddress, true)
	for _, prompt := range prompts {
		require.Equal(t, 2, send(0, prompt).CompletionTokens)
	}
}
