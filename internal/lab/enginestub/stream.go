package enginestub

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/lab/enginemodel"
	"github.com/cloverrail/cloverrail/internal/prefix"
)

// stream keeps the events of one attempt so that a client can resume it after its
// connection breaks.
type stream struct {
	attempt string
	epoch   string
	version string
	message *engineapi.CompletionRequest
	content uint64
	prompt  int
	chain   []prefix.Hash
	created int64
	// firstOffset is the offset of the first event; another engine produced those below.
	base int

	mutex   sync.Mutex
	events  [][]byte
	done    bool
	changed chan struct{}
}

func newStream(attempt, epoch, version string, prompt []byte, message *engineapi.CompletionRequest) *stream {
	return &stream{
		attempt: attempt,
		epoch:   epoch,
		version: version,
		message: message,
		content: xxhash.Sum64(prompt) ^ uint64(message.Seed),
		prompt:  len(prompt)/bytesPerToken + 1,
		created: time.Now().Unix(),
		changed: make(chan struct{}),
	}
}

// Token returns the token at an offset. As with seeded sampling, it depends only on the
// prompt and the seed, so every engine continues a stream with the same text.
func Token(content uint64, offset int) string {
	return fmt.Sprintf(" w%d", (content>>(offset%48))%9973+uint64(offset))
}

// eventsFrom returns the events from an offset on and a channel that is closed when
// further events arrive.
func (stream *stream) after(next int) (events [][]byte, done bool, changed chan struct{}) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	first := max(0, next-stream.base)
	if first < len(stream.events) {
		events = stream.events[first:]
	}
	return events, stream.done, stream.changed
}

func (stream *stream) add(output enginemodel.Output) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	offset := stream.base + output.Offset
	stream.append(stream.chunk(offset, output.Done))
	if output.Done {
		if stream.message.StreamOptions != nil && stream.message.StreamOptions.IncludeUsage {
			stream.append(stream.usage(offset+1, output))
		}
		stream.events = append(stream.events, []byte("[DONE]"))
		stream.done = true
	}
	close(stream.changed)
	stream.changed = make(chan struct{})
}

func (stream *stream) append(chunk engineapi.Chunk) {
	data, _ := json.Marshal(chunk)
	stream.events = append(stream.events, data)
}

func (stream *stream) header() engineapi.Chunk {
	chunk := engineapi.Chunk{ID: stream.attempt, Object: "text_completion", Created: stream.created, Model: stream.message.Model, Choices: []engineapi.Choice{}}
	if len(stream.message.Messages) > 0 {
		chunk.Object = "chat.completion.chunk"
	}
	return chunk
}

func (stream *stream) chunk(offset int, last bool) engineapi.Chunk {
	text := Token(stream.content, offset)
	choice := engineapi.Choice{}
	if len(stream.message.Messages) > 0 {
		choice.Delta = &engineapi.Delta{Content: &text}
		if offset == 0 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	if last {
		reason := "length"
		choice.FinishReason = &reason
	}
	chunk := stream.header()
	chunk.Choices = append(chunk.Choices, choice)
	return chunk
}

func (stream *stream) usage(completed int, output enginemodel.Output) engineapi.Chunk {
	chunk := stream.header()
	chunk.Usage = &engineapi.Usage{
		PromptTokens:     stream.prompt,
		CompletionTokens: completed,
		TotalTokens:      stream.prompt + completed,
		Details:          &engineapi.UsageDetails{CachedTokens: max(0, stream.prompt-output.RecomputedTokens)},
	}
	return chunk
}
