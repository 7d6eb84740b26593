package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/dispatch"
	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/metrics"
)

// completion writes the response of one completion request, as a stream or as one
// object. All chunks get the same ID and creation time, so that a response that was
// continued on another engine is indistinguishable from one that was not.
type completion struct {
	call         *call
	message      *engineapi.CompletionRequest
	metrics      *metrics.Set
	id           string
	created      int64
	responding   bool
	content      strings.Builder
	finishReason *string
	toolCalls    []json.RawMessage
	usage        *engineapi.Usage
}

func newCompletion(c *call, message *engineapi.CompletionRequest, set *metrics.Set) *completion {
	prefix := "cmpl-"
	if len(message.Messages) > 0 {
		prefix = "chatcmpl-"
	}
	return &completion{call: c, message: message, metrics: set, id: prefix + uuid.NewString(), created: time.Now().Unix()}
}

// text returns the response text emitted so far.
func (completion *completion) text() string { return completion.content.String() }

// Emit implements dispatch.Sink.
func (completion *completion) Emit(data []byte) (complete bool, err error) {
	var chunk engineapi.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, errors.Trace(dispatch.ErrMalformedEvent)
	}
	if !completion.responding && len(chunk.Choices) > 0 {
		completion.metrics.FirstToken.Observe(time.Since(completion.call.startedAt).Seconds())
	}
	if chunk.Usage != nil {
		completion.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		completion.content.WriteString(choice.Content())
		if choice.Delta != nil {
			if len(choice.Delta.ToolCalls) > 0 {
				completion.toolCalls = append(completion.toolCalls, choice.Delta.ToolCalls)
			}
		}
		if choice.FinishReason != nil {
			completion.finishReason = choice.FinishReason
		}
	}
	if completion.message.Stream {
		err = completion.writeChunk(chunk)
	} else {
		completion.responding = true
	}
	return completion.finishReason != nil, err
}

// wantsUsage reports whether the caller requested the usage chunk, which nodes
// always request from engines.
func (completion *completion) wantsUsage() bool {
	return completion.message.StreamOptions != nil && completion.message.StreamOptions.IncludeUsage
}

func (completion *completion) writeChunk(chunk engineapi.Chunk) error {
	if len(chunk.Choices) == 0 && !completion.wantsUsage() {
		return nil
	}
	chunk.ID, chunk.Created, chunk.Model = completion.id, completion.created, completion.message.Model
	data, err := json.Marshal(chunk)
	if err != nil {
		return errors.Trace(err)
	}
	return completion.writeEvent(data)
}

func (completion *completion) writeEvent(data []byte) error {
	controller := http.NewResponseController(completion.call.ResponseWriter)
	if !completion.responding {
		completion.responding = true
		completion.call.Header().Set("Content-Type", "text/event-stream")
		completion.call.Header().Set("Cache-Control", "no-store")
		completion.call.WriteHeader(http.StatusOK)
	}
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprintf(completion.call, "data: %s\n\n", data); err != nil {
		return errors.Trace(err)
	}
	return controller.Flush()
}

// finalize ends the response, with an error event if it failed after it had
// started. It returns the failure only if nothing was written, so that the caller
// can still get an error status.
func (completion *completion) finalize(err error) error {
	if err == nil {
		completion.recordUsage()
	}
	if !completion.message.Stream {
		if err != nil {
			return err
		}
		writeJSON(completion.call, http.StatusOK, completion.completionObject())
		return nil
	}
	if err == nil {
		// A caller that disconnects now already has the whole text.
		_ = completion.writeEvent([]byte("[DONE]"))
		return nil
	}
	if !completion.responding {
		return err
	}
	refusal := failure.As(err)
	completion.metrics.Refusals.WithLabelValues(string(refusal.Kind), string(refusal.Outcome)).Inc()
	data, _ := json.Marshal(errorBody{Error: newErrorDetail(refusal)})
	_ = completion.writeEvent(data)
	return nil
}

func (completion *completion) recordUsage() {
	if completion.usage == nil {
		return
	}
	completion.metrics.PromptTokens.Add(float64(completion.usage.PromptTokens))
	if completion.usage.Details != nil {
		completion.metrics.CachedTokens.Add(float64(completion.usage.Details.CachedTokens))
	}
}

// completionObject returns the object of a response that is not streamed.
func (completion *completion) completionObject() engineapi.Chunk {
	content := completion.content.String()
	choice := engineapi.Choice{FinishReason: completion.finishReason}
	object := "text_completion"
	if len(completion.message.Messages) > 0 {
		object = "chat.completion"
		choice.Message = &engineapi.Delta{Role: "assistant", Content: &content}
		if len(completion.toolCalls) == 1 {
			choice.Message.ToolCalls = completion.toolCalls[0]
		}
	} else {
		choice.Text = &content
	}
	return engineapi.Chunk{ID: completion.id, Object: object, Created: completion.created, Model: completion.message.Model,
		Choices: []engineapi.Choice{choice}, Usage: completion.usage}
}
