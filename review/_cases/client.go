package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// A try is one try of a client, with what it got.
type try struct {
	id     string
	node   *node
	sentAt time.Time
	// status is 0 if there was no answer, and failure the text of an answer other than 2xx.
	status  int
	failure string
	// stamp is that of the server that answered.
	stamp string
	// events are the IDs of the events that arrived, and whole says that the answer was complete.
	events []int
	whole  bool
	err    error
	endAt  time.Time
}

// send sends one try on a new connection. Onevent, if set, is called after each event with its ID.
func (f *fleet) send(ctx context.Context, n *node, path string, change func(header http.Header), onEvent func(id int)) *try {
	t := &try{id: strings.ReplaceAll(uuid.NewString(), "-", "")[:16], node: n, sentAt: time.Now()}
	defer func() { t.endAt = time.Now() }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.frontAt+path, strings.NewReader("turn "+t.id))
	if err != nil {
		t.err = err
		return t
	}
	request.Host, request.GetBody = host, nil
	request.Header.Set(standin.HeaderRequestID, t.id)
	request.Header.Set("Authorization", "Bearer "+key)
	if change != nil {
		change(request.Header)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		t.err = err
		return t
	}
	defer response.Body.Close()
	t.status, t.stamp = response.StatusCode, response.Header.Get(standin.HeaderStamp)
	if t.status/100 != 2 {
		text, _ := io.ReadAll(response.Body)
		t.failure, t.whole = strings.TrimSpace(string(text)), true
		return t
	}
	if onEvent == nil {
		_, t.err = io.ReadAll(response.Body)
		t.whole = t.err == nil
		return t
	}
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if id, found := strings.CutPrefix(line, "id: "); found && err == nil {
			number, _ := strconv.Atoi(strings.TrimSpace(id))
			t.events = append(t.events, number)
			onEvent(number)
		}
		if err != nil {
			t.whole = err == io.EOF
			if !t.whole {
				t.err = err
			}
			return t
		}
	}
}

// promptHeaders sets the headers of a request to a model server. Each request has a part of its own.
func promptHeaders(header http.Header, deadline time.Duration) {
	header.Set(standin.HeaderModel, model)
	header.Set(standin.HeaderTokenCount, "9190,13")
	header.Set(standin.HeaderPromptPrefix, fmt.Sprintf("5c1e07a2:2520,91bd3f06:3780,%s:2890", strings.ReplaceAll(uuid.NewString(), "-", "")[:8]))
	header.Set(standin.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
}
