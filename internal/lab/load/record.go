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

// Kind tells requests apart.
type Kind string

// The kinds of requests.
const (
	Streamed Kind = "streamed"
	Whole    Kind = "whole"
	Once     Kind = "once"
)

// Record is one request and what came of it.
type Record struct {
	ID     string
	Kind   Kind
	Tenant string
	Node   int
	Status int
	// Outcome is what a refusal claimed; empty for answers.
	Outcome string
	// Code is the kind of a refusal.
	Code string
	// RetryAfter is the header of a refusal.
	RetryAfter string
	// Complete says that the answer had its explicit end.
	Complete bool
	// Correct says that the answer was the one that belongs to the request.
	Correct    bool
	Started    time.Time
	FirstToken time.Duration
	Elapsed    time.Duration
	Usage      *engineapi.Usage
	// Ended is when the record was closed.
	Ended time.Time
	// Broke says that the connection ended without an answer or an end.
	Broke bool
}

func (record *Record) close() {
	record.Ended = time.Now()
	record.Elapsed = record.Ended.Sub(record.Started)
}

// note reads the code of a refusal.
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

// stream reads server-sent events of one line each, as the nodes write them.
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
