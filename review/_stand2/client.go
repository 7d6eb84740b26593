package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// call is one try of a client.
type call struct {
	id, path, key string
	// model, tokens and parts describe the prompt; model is empty for a plain request.
	model, tokens, parts string
	body                 string
	deadline             time.Duration
}

// answer is what a client got.
type answer struct {
	sentAt time.Time
	status int
	// whole reports that the answer came with its whole body, and stamp is that of a server.
	whole bool
	stamp string
	body  []byte
	err   error
}

const host = "jepu9.example"

// send sends one try on a new connection.
func send(n *node, c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set(standin.HeaderRequestID, c.id)
	request.Header.Set(standin.HeaderDeadline, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+c.key)
	if c.model != "" {
		request.Header.Set(standin.HeaderModel, c.model)
		request.Header.Set(standin.HeaderTokenCount, c.tokens)
		request.Header.Set(standin.HeaderPromptPrefix, c.parts)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	got := answer{sentAt: time.Now()}
	response, err := transport.RoundTrip(request)
	if err != nil {
		got.err = err
		return got
	}
	defer response.Body.Close()
	got.status, got.stamp = response.StatusCode, response.Header.Get(standin.HeaderStamp)
	got.body, got.err = io.ReadAll(response.Body)
	got.whole = got.err == nil
	return got
}

// served reports whether the client got the whole answer of a server.
func (a answer) served() bool { return a.status == http.StatusOK && a.whole && a.stamp != "" }

// text describes an answer for the record.
func (a answer) text() string {
	switch {
	case errors.Is(a.err, context.DeadlineExceeded):
		return "no answer in time"
	case a.err != nil:
		return "broken: " + a.err.Error()
	default:
		return strconv.Itoa(a.status)
	}
}
