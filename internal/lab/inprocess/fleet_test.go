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
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/enginestub"
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

// readStream returns the text of a streaming completion and whether it was complete. It
// calls onEvent after each event with the number of events so far.
func readStream(t *testing.T, body io.Reader, onEvent func(events int)) (text string, done bool) {
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
		if onEvent != nil {
			onEvent(events)
		}
	}
	return text, false
}

func TestOpenAIClientIsCompatible(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 2, StepTime: time.Millisecond})
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
	complete, err := client.Chat.Completions.New(ctx, parameters)
	require.NoError(t, err)
	require.Equal(t, "length", complete.Choices[0].FinishReason)
	require.EqualValues(t, 12, complete.Usage.CompletionTokens)
	stream := client.Chat.Completions.NewStreaming(ctx, parameters)
	accumulator := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, accumulator.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, complete.Choices[0].Message.Content, accumulator.Choices[0].Message.Content)
	_, err = client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: "no such model"})
	var refusal *openai.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, http.StatusNotFound, refusal.StatusCode)
	require.Equal(t, "not_found", refusal.Code)
}

func TestUnauthorizedResponsesRevealNothing(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, StepTime: time.Millisecond})
	send := func(key, model string) (int, string) {
		body := bytes.Replace(completionBody(t, "p", 1, false), []byte(Model), []byte(model), 1)
		response := post(t, fleet.URL(0), key, "/v1/completions", nil, body)
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(text)
	}
	status, wrongKey := send("wrong", Model)
	require.Equal(t, http.StatusUnauthorized, status)
	_, noKey := send("", "secret")
	require.Equal(t, wrongKey, noKey)
	status, forbidden := send(Key(Tenant), "secret")
	require.Equal(t, http.StatusNotFound, status)
	_, missing := send(Key(Tenant), "none")
	require.Equal(t, missing, forbidden)
	_, operatorKey := send(Key("duty"), Model)
	require.Equal(t, wrongKey, operatorKey)
}

func TestGracefulShutdownCompletesOpenStreams(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 2, Engines: 2, StepTime: 5 * time.Millisecond})
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
	require.True(t, response.Close, "keep-alive connections are closed before the node stops")
	_ = response.Body.Close()
	done.Wait()
	<-stopped
}
