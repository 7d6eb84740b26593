package engineapi

import "encoding/json"

// CompletionRequest is the part of a completions call that cloverrail reads. All
// other fields are forwarded unchanged.
type CompletionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt,omitempty"`
	Messages            []Message       `json:"messages,omitempty"`
	Stream              bool            `json:"stream,omitempty"`
	StreamOptions       *StreamOptions  `json:"stream_options,omitempty"`
	MaxTokens           int             `json:"max_tokens,omitempty"`
	MaxCompletionTokens int             `json:"max_completion_tokens,omitempty"`
	Choices             int             `json:"n,omitempty"`
	Seed                int64           `json:"seed,omitempty"`
	User                string          `json:"user,omitempty"`
	CacheSalt           string          `json:"cache_salt,omitempty"`
	Priority            int             `json:"priority,omitempty"`
	Continue            *Continuation   `json:"continue_from,omitempty"`
	Transfer            *Transfer       `json:"kv_transfer,omitempty"`
}

// StreamOptions holds the caller's options for a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Message is one turn of a chat. Content is text or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// PromptText returns the text whose blocks are cached: the prompt, or the messages
// in order with their roles.
func (request *CompletionRequest) PromptText() []byte {
	if len(request.Messages) == 0 {
		var text string
		if json.Unmarshal(request.Prompt, &text) == nil {
			return []byte(text)
		}
		return request.Prompt
	}
	text := []byte{}
	for _, message := range request.Messages {
		text = append(text, message.Role...)
		text = append(text, '\n')
		var content string
		if json.Unmarshal(message.Content, &content) == nil {
			text = append(text, content...)
		} else {
			text = append(text, message.Content...)
		}
		text = append(text, '\n')
	}
	return text
}

// OutputLimit returns the requested maximum of output tokens, or fallback.
func (request *CompletionRequest) OutputLimit(fallback int) int {
	switch {
	case request.MaxCompletionTokens > 0:
		return request.MaxCompletionTokens
	case request.MaxTokens > 0:
		return request.MaxTokens
	default:
		return fallback
	}
}

// Chunk is one event of a streamed completion.
type Chunk struct {
	ID                string   `json:"id"`
	Object            string   `json:"object"`
	Created           int64    `json:"created"`
	Model             string   `json:"model"`
	SystemFingerprint string   `json:"system_fingerprint,omitempty"`
	Choices           []Choice `json:"choices"`
	Usage             *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a chunk or of a complete response.
type Choice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Delta        *Delta          `json:"delta,omitempty"`
	Message      *Delta          `json:"message,omitempty"`
	Logprobs     json.RawMessage `json:"logprobs,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

// Delta is the part of a chat message that a chunk adds.
type Delta struct {
	Role      string          `json:"role,omitempty"`
	Content   *string         `json:"content,omitempty"`
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}

// Content returns the text that the choice adds.
func (choice *Choice) Content() string {
	switch {
	case choice.Text != nil:
		return *choice.Text
	case choice.Delta != nil && choice.Delta.Content != nil:
		return *choice.Delta.Content
	default:
		return ""
	}
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails counts the prompt tokens that came from the prefix cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}
