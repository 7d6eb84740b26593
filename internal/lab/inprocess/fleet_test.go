package inprocess

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/enginestub"
	"github.com/cloverrail/cloverrail/internal/lab/kvstub"
	"github.com/cloverrail/cloverrail/internal/lab/machinestub"
	"github.com/cloverrail/cloverrail/internal/operator"
	"github.com/cloverrail/cloverrail/internal/prefixindex"
)

func startFleet(t *testing.T, config Config) *Fleet {
	t.Helper()
	fleet, err := Start(config)
	require.NoError(t, err)
	t.Cleanup(fleet.Stop)
	return fleet
}

// post sends a request to a node with a tenant's key.
func post(t *testing.T, url, key, path string, header http.Header, body []byte) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+path, bytes.NewReader(body))
	require.NoError(t, err)
	request.Header = header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	return response
}

func completionBody(t *testing.T, prompt string, tokens int, stream bool) []byte {
	t.Helper()
	text, err := json.Marshal(prompt)
	require.NoError(t, err)
	body, err := json.Marshal(engineapi.CompletionRequest{Model: Model, Prompt: text, MaxTokens: tokens, Stream: stream})
	require.NoError(t, err)
	return body
}

func expectedText(prompt string, tokens int) string {
	text := &strings.Builder{}
	for offset := range tokens {
		text.WriteString(enginestub.Token(xxhash.Sum64String(prompt), offset))
	}
	return text.String()
}

// readStream returns the text of a streamed completion and whether it ended.
func readStream(t *testing.T, body io.Reader, each func(events int)) (text string, done bool) {
	t.Helper()
	lines := bufio.NewScanner(body)
	events := 0
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk engineapi.Chunk
		require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		for _, choice := range chunk.Choices {
			text += choice.Content()
		}
		events++
		if each != nil {
			each(events)
		}
	}
	return text, false
}

func (fleet *Fleet) ran(body string) int {
	count := 0
	for _, server := range fleet.Servers {
		for _, execution := range server.Executions() {
			if execution.Body == body {
				count++
			}
		}
	}
	return count
}

func TestStockClientWorksUnchanged(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 2, Step: time.Millisecond})
	client := openai.NewClient(option.WithBaseURL(fleet.URL(0)+"/v1"), option.WithAPIKey(Key(Tenant)), option.WithMaxRetries(0))
	ctx := context.Background()
	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	require.Len(t, models.Data, 1)
	parameters := openai.ChatCompletionNewParams{
		Model:               Model,
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("whose turn is it?")},
		MaxCompletionTokens: openai.Int(12),
	}
	whole, err := client.Chat.Completions.New(ctx, parameters)
	require.NoError(t, err)
	require.Equal(t, "length", whole.Choices[0].FinishReason)
	require.EqualValues(t, 12, whole.Usage.CompletionTokens)
	stream := client.Chat.Completions.NewStreaming(ctx, parameters)
	accumulator := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, accumulator.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, whole.Choices[0].Message.Content, accumulator.Choices[0].Message.Content)
	_, err = client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: "no such model"})
	var refusal *openai.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, http.StatusNotFound, refusal.StatusCode)
	require.Equal(t, "not_found", refusal.Code)
}

func TestStrangersAndOtherTenantsLearnNothing(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, Step: time.Millisecond})
	answer := func(key, model string) (int, string) {
		body := bytes.Replace(completionBody(t, "p", 1, false), []byte(Model), []byte(model), 1)
		response := post(t, fleet.URL(0), key, "/v1/completions", nil, body)
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(text)
	}
	status, wrongKey := answer("wrong", Model)
	require.Equal(t, http.StatusUnauthorized, status)
	_, noKey := answer("", "secret")
	require.Equal(t, wrongKey, noKey)
	status, foreign := answer(Key(Tenant), "secret")
	require.Equal(t, http.StatusNotFound, status)
	_, missing := answer(Key(Tenant), "none")
	require.Equal(t, missing, foreign)
	_, operatorKey := answer(Key("duty"), Model)
	require.Equal(t, wrongKey, operatorKey)
}

func TestEngineCrashMidStreamIsContinuedElsewhere(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 3, Step: 2 * time.Millisecond})
	prompt := strings.Repeat("campaign history ", 100)
	crash := sync.OnceFunc(func() {
		for _, engine := range fleet.Engines {
			if len(engine.Executions()) > 0 {
				engine.Crash()
			}
		}
	})
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 60, true))
	defer response.Body.Close()
	text, done := readStream(t, response.Body, func(events int) {
		if events == 10 {
			crash()
		}
	})
	require.True(t, done)
	require.Equal(t, expectedText(prompt, 60), text)
}

// TestDeathOfAnEngineIsToldByWhoMeetsIt has no readers, as in the first seconds
// after a zone is lost with its engines and the nodes that read them.
func TestDeathOfAnEngineIsToldByWhoMeetsIt(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 2, Engines: 2, Step: time.Millisecond, NoReaders: true})
	send := func(node int, prompt string) int {
		response := post(t, fleet.URL(node), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 2, false))
		defer response.Body.Close()
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, send(0, "first"))
	require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[1].UsableEngines("main") == 2 }))
	fleet.CloseEngine(0)
	require.NoError(t, fleet.Await(func() bool {
		require.Equal(t, http.StatusOK, send(0, uuid.NewString()))
		return fleet.Nodes[1].UsableEngines("main") == 1
	}), "the other node hears of it without having tried")
}

func TestEngineThatNeverAnswersIsGivenUpOn(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 2, Step: time.Millisecond})
	fleet.Engines[0].SetMute(true)
	for index := range 4 {
		prompt := fmt.Sprint("prompt ", index)
		response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 3, true))
		text, done := readStream(t, response.Body, nil)
		require.True(t, done)
		require.Equal(t, expectedText(prompt, 3), text)
		_ = response.Body.Close()
	}
}

func TestFirstRequestAfterACrashUnderTheSameAddress(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, Step: time.Millisecond})
	fleet.Engines[0].Crash()
	prompt := "short"
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 5, true))
	defer response.Body.Close()
	text, done := readStream(t, response.Body, nil)
	require.True(t, done)
	require.Equal(t, expectedText(prompt, 5), text)
}

// wholeAnswer sends a request that is not streamed and returns its answer.
func wholeAnswer(t *testing.T, fleet *Fleet, prompt string) engineapi.Chunk {
	t.Helper()
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 5, false))
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	var answer engineapi.Chunk
	require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
	require.Equal(t, expectedText(prompt, 5), answer.Choices[0].Content())
	return answer
}

func TestKeptBlocksAreImportedAfterACrash(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, Step: time.Millisecond})
	prompt := strings.Repeat("the long history of a campaign ", 100)
	require.Zero(t, wholeAnswer(t, fleet, prompt).Usage.Details.CachedTokens)
	require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[0].IndexBlocks() > 0 }))
	fleet.Engines[0].Crash()
	require.NoError(t, fleet.Await(func() bool {
		return wholeAnswer(t, fleet, prompt+"!").Usage.Details.CachedTokens > 0 && fleet.Kept.Fetched() > 0
	}))
}

func TestKeptBlocksOfAnotherIdentityAreNotUsed(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, Step: time.Millisecond})
	prompt := strings.Repeat("the long history of a campaign ", 100)
	wholeAnswer(t, fleet, prompt)
	fleet.Kept.SetWrong(true)
	require.NoError(t, fleet.Await(func() bool {
		fleet.Engines[0].Crash()
		answer := wholeAnswer(t, fleet, prompt)
		require.Zero(t, answer.Usage.Details.CachedTokens, "nothing of another identity is used")
		return fleet.Kept.Fetched() > 0
	}))
}

func TestIndexWithHomesFindsPrefixesFromEveryNode(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 4, Step: time.Millisecond, Homes: true})
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
		known := 0
		for _, running := range fleet.Nodes {
			known += running.IndexBlocks()
		}
		return known == blocks
	}), "each anchor is known at its home and nowhere else")
	for node := range fleet.Nodes {
		for _, prompt := range prompts {
			require.Positive(t, send(node, prompt).Details.CachedTokens)
		}
	}
	// A node that leaves takes its part with it; the readers deal it out again.
	<-fleet.Nodes[2].Shutdown()
	require.NoError(t, fleet.Await(func() bool {
		known := 0
		for _, running := range fleet.Nodes[:2] {
			known += running.IndexBlocks()
		}
		return known >= blocks
	}))
	// A home that cannot be reached costs hits, not answers.
	fleet.Cut(fleet.Nodes[1].Settings.PeerAddress, true)
	for _, prompt := range prompts {
		require.Equal(t, 2, send(0, prompt).CompletionTokens)
	}
}

func TestPartitionedNodeKeepsItsRevisionAndCatchesUp(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 4, Engines: 1, Step: time.Millisecond})
	lone := fleet.Nodes[3]
	before := lone.Snapshot().Revision
	fleet.Cut(lone.Settings.PeerAddress, true)
	statement, err := operator.Parse("set tenant " + Tenant + " priority 7")
	require.NoError(t, err)
	version, err := operator.Execute(context.Background(), fleet.Store, statement)
	require.NoError(t, err)
	require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[0].Snapshot().Revision == version.Revision }))
	require.GreaterOrEqual(t, lone.Snapshot().Revision, before)
	fleet.Cut(lone.Settings.PeerAddress, false)
	require.NoError(t, fleet.Await(func() bool { return lone.Snapshot().Revision == version.Revision }))
}

func TestVersionChangeIsServedByNewWeightsOnly(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 2, Engines: 3, Step: time.Millisecond})
	base, err := fleet.Store.Read(context.Background(), nil)
	require.NoError(t, err)
	changed := *fleet.Declaration
	changed.Models = []configuration.Model{{Name: Model, Version: "v2"}, {Name: "secret", Version: Version}}
	version, err := fleet.Store.Propose(context.Background(), base, uuid.NewString(), &changed)
	require.NoError(t, err)
	require.NoError(t, fleet.Await(func() bool {
		return fleet.Nodes[0].Snapshot().Revision >= version.Revision && fleet.Nodes[1].Snapshot().Revision >= version.Revision
	}))
	before := len(fleet.Engines[0].Executions()) + len(fleet.Engines[1].Executions()) + len(fleet.Engines[2].Executions())
	require.Zero(t, before)
	for index := range 6 {
		response := post(t, fleet.URL(index%2), Key(Tenant), "/v1/completions", nil, completionBody(t, fmt.Sprint("p", index), 3, false))
		_, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
	}
	for _, engine := range fleet.Engines {
		for _, execution := range engine.Executions() {
			require.Equal(t, "v2", execution.Version)
		}
	}
	require.NoError(t, fleet.Await(func() bool {
		response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, "after", 3, false))
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}), "the engines are ordered to load the new version")
}

func TestDuplicatesToDifferentNodesRunOnce(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 1, Servers: 3, Step: time.Millisecond})
	for round := range 5 {
		key := uuid.Must(uuid.NewV7()).String()
		body := fmt.Sprint("turn ", round)
		statuses := make([]int, 6)
		var done sync.WaitGroup
		for index := range statuses {
			done.Go(func() {
				header := http.Header{"Idempotency-Key": []string{key}}
				response := post(t, fleet.URL(index%3), Key(Tenant), OncePath, header, []byte(body))
				defer response.Body.Close()
				statuses[index] = response.StatusCode
				if response.StatusCode != http.StatusOK {
					require.NotEmpty(t, response.Header.Get("X-Outcome"))
				}
			})
		}
		done.Wait()
		require.LessOrEqual(t, fleet.ran(body), 1, "%v", statuses)
	}
}

func TestLostAnswerOfAOnceRequestIsNotRepeated(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 1, Servers: 2, Step: time.Millisecond})
	for _, server := range fleet.Servers {
		server.CutAnswers(1)
	}
	send := func() *http.Response {
		return post(t, fleet.URL(0), Key(Tenant), OncePath, http.Header{}, []byte("turn"))
	}
	response := send()
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, "unknown", response.Header.Get("X-Outcome"))
	require.Equal(t, 1, fleet.ran("turn"))
	_ = response.Body.Close()
}

func TestLeavingEngineGetsNothingNewAndListMayLag(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 2, Engines: 2, Step: time.Millisecond, Lag: time.Hour})
	fleet.Machines.Set(machinestub.Machine{Name: "engine-0", State: "leaving"})
	fleet.Engines[0].SetLeaving(true)
	require.NoError(t, fleet.Await(func() bool {
		return fleet.Nodes[0].UsableEngines("main") == 1 && fleet.Nodes[1].UsableEngines("main") == 1
	}))
	before := len(fleet.Engines[0].Executions())
	for index := range 20 {
		response := post(t, fleet.URL(index%2), Key(Tenant), "/v1/completions", nil, completionBody(t, fmt.Sprint("p", index), 2, false))
		require.Equal(t, http.StatusOK, response.StatusCode)
		_ = response.Body.Close()
	}
	require.Len(t, fleet.Engines[0].Executions(), before)
}

func TestDrainedEngineGetsNothingNewUntilReadmitted(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 2, Engines: 2, Step: time.Millisecond})
	command := func(text string) {
		statement, err := operator.Parse(text)
		require.NoError(t, err)
		version, err := operator.Execute(context.Background(), fleet.Store, statement)
		require.NoError(t, err)
		require.NoError(t, fleet.Await(func() bool {
			return fleet.Nodes[0].Snapshot().Revision >= version.Revision && fleet.Nodes[1].Snapshot().Revision >= version.Revision
		}))
	}
	send := func() {
		for index := range 20 {
			response := post(t, fleet.URL(index%2), Key(Tenant), "/v1/completions", nil, completionBody(t, fmt.Sprint("p", index), 2, false))
			require.Equal(t, http.StatusOK, response.StatusCode)
			_ = response.Body.Close()
		}
	}
	command("drain engine engine-0")
	send()
	require.Empty(t, fleet.Engines[0].Executions())
	command("readmit engine engine-0")
	send()
	require.NotEmpty(t, fleet.Engines[0].Executions())
}

func TestPlannedStopCutsNothing(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 2, Engines: 2, Step: 5 * time.Millisecond})
	const streams = 12
	var opened, done sync.WaitGroup
	opened.Add(streams)
	for index := range streams {
		done.Go(func() {
			prompt := fmt.Sprint("long ", index)
			response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, prompt, 100, true))
			defer response.Body.Close()
			opened.Done()
			text, ended := readStream(t, response.Body, nil)
			require.True(t, ended)
			require.Equal(t, expectedText(prompt, 100), text)
		})
	}
	opened.Wait()
	stopped := fleet.Nodes[0].Shutdown()
	require.NoError(t, fleet.Await(func() bool {
		response, err := http.Get(fleet.URL(0) + "/readyz")
		if err != nil {
			return true
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	}))
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, "late", 1, false))
	require.True(t, response.Close, "kept connections end by agreement before the node does")
	_ = response.Body.Close()
	done.Wait()
	<-stopped
}

func TestHerdRestartServesWithTheKeyValueServiceUp(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 2, Step: time.Millisecond})
	for _, running := range fleet.Nodes {
		<-running.Shutdown()
	}
	for index := range fleet.Nodes {
		require.NoError(t, fleet.StartNode(index))
	}
	for index := range fleet.Nodes {
		require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[index].Ready() }))
		response := post(t, fleet.URL(index), Key(Tenant), "/v1/completions", nil, completionBody(t, "again", 3, false))
		require.Equal(t, http.StatusOK, response.StatusCode)
		_ = response.Body.Close()
	}
}

// TestHerdRestartIsGentleOnTheKeyValueService restarts nine nodes at once with a
// configuration of many parts, and counts the reads that this costs.
func TestHerdRestartIsGentleOnTheKeyValueService(t *testing.T) {
	const nodes = 9
	fleet := startFleet(t, Config{Nodes: nodes, Engines: 1, Step: time.Millisecond})
	base, err := fleet.Store.Read(context.Background(), nil)
	require.NoError(t, err)
	grown := *fleet.Declaration
	for index := range 2000 {
		tenant := grown.Tenants[0]
		tenant.Name = fmt.Sprint("tenant-", index)
		tenant.KeyDigests = []string{configuration.Digest(tenant.Name)}
		grown.Tenants = append(grown.Tenants, tenant)
	}
	version, err := fleet.Store.Propose(context.Background(), base, uuid.NewString(), &grown)
	require.NoError(t, err)
	var done sync.WaitGroup
	for _, running := range fleet.Nodes {
		done.Go(func() { <-running.Shutdown() })
	}
	done.Wait()
	before := fleet.KeyValue.Calls("/v3/kv/range")
	for index := range nodes {
		require.NoError(t, fleet.StartNode(index))
	}
	require.NoError(t, fleet.Await(func() bool {
		for _, running := range fleet.Nodes {
			if running.Snapshot() == nil || running.Snapshot().Revision < version.Revision {
				return false
			}
		}
		return true
	}))
	calls := fleet.KeyValue.Calls("/v3/kv/range") - before
	t.Logf("%d nodes, %d parts: %d reads", nodes, len(version.Parts), calls)
	require.LessOrEqual(t, calls, 20*nodes)
}

func TestRestartServesFromPeersDuringAnOutage(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 3, Engines: 2, Step: time.Millisecond})
	fleet.KeyValue.SetFaults(kvstub.Faults{Outage: true})
	<-fleet.Nodes[1].Shutdown()
	require.NoError(t, fleet.StartNode(1))
	require.NoError(t, fleet.Await(func() bool { return fleet.Nodes[1].Ready() }))
	response := post(t, fleet.URL(1), Key(Tenant), "/v1/completions", nil, completionBody(t, "again", 3, false))
	require.Equal(t, http.StatusOK, response.StatusCode)
	_ = response.Body.Close()
}

func TestNothingThatKnowsTheConfigurationIsRefusedAsNotRun(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, Step: time.Millisecond})
	fleet.KeyValue.SetFaults(kvstub.Faults{Outage: true})
	<-fleet.Nodes[0].Shutdown()
	require.NoError(t, fleet.StartNode(0))
	require.NoError(t, fleet.Await(func() bool {
		response, err := http.Get(fleet.URL(0) + "/healthz")
		if err == nil {
			_ = response.Body.Close()
		}
		return err == nil
	}))
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, "p", 1, false))
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "not-run", response.Header.Get("X-Outcome"))
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

func TestCallerWhoLeavesCancelsTheEnginesWork(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, Step: 2 * time.Millisecond})
	response := post(t, fleet.URL(0), Key(Tenant), "/v1/completions", nil, completionBody(t, "long", 100_000, true))
	require.Equal(t, http.StatusOK, response.StatusCode)
	_ = response.Body.Close()
	require.NoError(t, fleet.Await(func() bool {
		status, err := engineapi.NewClient().Status(context.Background(), fleet.Declaration.Pools[0].Engines[0].Address)
		return err == nil && status.Load.Running == 0 && status.Load.Waiting == 0
	}))
}

func TestLateOrderIsRefusedByTheEngine(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, Step: time.Millisecond})
	client := engineapi.NewClient()
	address := fleet.Declaration.Pools[0].Engines[0].Address
	ctx := context.Background()
	require.NoError(t, client.Order(ctx, address, engineapi.Order{Token: 1 << 40, Model: Model, Version: Version}))
	err := client.Order(ctx, address, engineapi.Order{Token: 1<<40 - 1, Model: Model, Version: "older"})
	require.ErrorContains(t, err, "409")
	status, err := client.Status(ctx, address)
	require.NoError(t, err)
	require.Equal(t, Version, status.Weights[Model])
}
