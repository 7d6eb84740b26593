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
type answer struct {
	served  *call
	message *engineapi.CompletionRequest
	metrics *metrics.Set
	id      string
	created int64
	began   bool
	content strings.Builder
	finish  *string
	tools   []json.RawMessage
	usage   *engineapi.Usage
}

func newAnswer(served *call, message *engineapi.CompletionRequest, set *metrics.Set) *answer {
	prefix := "cmpl-"
	if len(message.Messages) > 0 {
		prefix = "chatcmpl-"
	}
	return &answer{served: served, message: message, metrics: set, id: prefix + uuid.NewString(), created: time.Now().Unix()}
}

// text returns the response text emitted so far.
func (answer *answer) text() string { return answer.content.String() }

// Emit implements dispatch.Sink.
func (answer *answer) Emit(data []byte) (complete bool, err error) {
	var chunk engineapi.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, errors.Trace(dispatch.ErrUnreadable)
	}
	if !answer.began && len(chunk.Choices) > 0 {
		answer.metrics.FirstToken.Observe(time.Since(answer.served.started).Seconds())
	}
	if chunk.Usage != nil {
		answer.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		answer.content.WriteString(choice.Content())
		if choice.Delta != nil {
			if len(choice.Delta.ToolCalls) > 0 {
				answer.tools = append(answer.tools, choice.Delta.ToolCalls)
			}
		}
		if choice.FinishReason != nil {
			answer.finish = choice.FinishReason
		}
	}
	if answer.message.Stream {
		err = answer.pass(chunk)
	} else {
		answer.began = true
	}
	return answer.finish != nil, err
}

// wantsUsage reports whether the caller requested the usage chunk, which nodes
// always request from engines.
func (answer *answer) wantsUsage() bool {
	return answer.message.StreamOptions != nil && answer.message.StreamOptions.IncludeUsage
}

func (answer *answer) pass(chunk engineapi.Chunk) error {
	if len(chunk.Choices) == 0 && !answer.wantsUsage() {
		return nil
	}
	chunk.ID, chunk.Created, chunk.Model = answer.id, answer.created, answer.message.Model
	data, err := json.Marshal(chunk)
	if err != nil {
		return errors.Trace(err)
	}
	return answer.write(data)
}

func (answer *answer) write(data []byte) error {
	controller := http.NewResponseController(answer.served.ResponseWriter)
	if !answer.began {
		answer.began = true
		answer.served.Header().Set("Content-Type", "text/event-stream")
		answer.served.Header().Set("Cache-Control", "no-store")
		answer.served.WriteHeader(http.StatusOK)
	}
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprintf(answer.served, "data: %s\n\n", data); err != nil {
		return errors.Trace(err)
	}
	return controller.Flush()
}

// finalize ends the response, with an error event if it failed after it had
// started. It returns the failure only if nothing was written, so that the caller
// can still get an error status.
func (answer *answer) end(err error) error {
	if err == nil {
		answer.count()
	}
	if !answer.message.Stream {
		if err != nil {
			return err
		}
		writeJSON(answer.served, http.StatusOK, answer.whole())
		return nil
	}
	if err == nil {
		// A caller that disconnects now already has the whole text.
		_ = answer.write([]byte("[DONE]"))
		return nil
	}
	if !answer.began {
		return err
	}
	refusal := failure.As(err)
	answer.metrics.Refusals.WithLabelValues(string(refusal.Kind), string(refusal.Outcome)).Inc()
	data, _ := json.Marshal(errorBody{Error: detailOf(refusal)})
	_ = answer.write(data)
	return nil
}

func (answer *answer) count() {
	if answer.usage == nil {
		return
	}
	answer.metrics.PromptTokens.Add(float64(answer.usage.PromptTokens))
	if answer.usage.Details != nil {
		answer.metrics.CachedTokens.Add(float64(answer.usage.Details.CachedTokens))
	}
}

// completionObject returns the object of a response that is not streamed.
func (answer *answer) whole() engineapi.Chunk {
	content := answer.content.String()
	choice := engineapi.Choice{FinishReason: answer.finish}
	object := "text_completion"
	if len(answer.message.Messages) > 0 {
		object = "chat.completion"
		choice.Message = &engineapi.Delta{Role: "assistant", Content: &content}
		if len(answer.tools) == 1 {
			choice.Message.ToolCalls = answer.tools[0]
		}
	} else {
		choice.Text = &content
	}
	return engineapi.Chunk{ID: answer.id, Object: object, Created: answer.created, Model: answer.message.Model,
		Choices: []engineapi.Choice{choice}, Usage: answer.usage}
}
