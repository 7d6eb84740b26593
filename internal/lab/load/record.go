package load

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests: streaming and non-streaming completions, and non-idempotent
// requests to a plain service.
const (
	Streamed Kind = "streamed"
	Whole    Kind = "whole"
	Once     Kind = "once"
)

// Record is a request and its result.
type Record struct {
	ID     string
	Kind   Kind
	Tenant string
	Node   int
	Status int
	// Outcome is the outcome that a rejection reports; it is empty on success.
	Outcome string
	// Code is the error code of a rejection.
	Code string
	// RetryAfter is the Retry-After header of a rejection.
	RetryAfter string
	// Complete reports whether the response ended with its end marker.
	Complete bool
	// Correct reports whether the response has the content expected for the request.
	Correct    bool
	Started    time.Time
	FirstToken time.Duration
	Elapsed    time.Duration
	Usage      *engineapi.Usage
	// Ended is when the request ended.
	Ended time.Time
	// ConnectionBroken reports whether the connection ended before the response did.
	Broke bool
}

func (record *Record) close() {
	record.Ended = time.Now()
	record.Elapsed = record.Ended.Sub(record.Started)
}

// parseError reads the error code of a rejection.
func (record *Record) note(text []byte) {
	if record.Status == http.StatusOK {
		return
	}
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &refusal) == nil {
		record.Code = refusal.Error.Code
	}
}

func (record *Record) whole(body io.Reader) string {
	text, err := io.ReadAll(body)
	record.Broke = err != nil
	record.note(text)
	var answer engineapi.Chunk
	if err != nil || json.Unmarshal(text, &answer) != nil || len(answer.Choices) == 0 {
		return ""
	}
	record.Complete = true
	record.Usage = answer.Usage
	record.FirstToken = time.Since(record.Started)
	return answer.Choices[0].Content()
}

// readStream reads server-sent events whose data is on a single line, as nodes write it.
func (record *Record) stream(body io.Reader) string {
	received := &strings.Builder{}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	failed := false
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isData:
		case data == "[DONE]":
			record.Complete = true
		case strings.HasPrefix(data, `{"error"`):
			failed = true
			record.Status = http.StatusBadGateway
			record.noteEvent([]byte(data))
		default:
			var chunk engineapi.Chunk
			if json.Unmarshal([]byte(data), &chunk) != nil {
				continue
			}
			if record.FirstToken == 0 {
				record.FirstToken = time.Since(record.Started)
			}
			if chunk.Usage != nil {
				record.Usage = chunk.Usage
			}
			for _, choice := range chunk.Choices {
				received.WriteString(choice.Content())
			}
		}
	}
	record.Broke = !record.Complete && !failed
	return received.String()
}

func (record *Record) noteEvent(data []byte) {
	var event struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &event) == nil {
		record.Code, record.Outcome = event.Error.Code, event.Error.Outcome
	}
}
