package reflector

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

const (
	// PathServers is where a node answers questions for its feed.
	PathServers = "/servers"
	// maximumQuestion bounds a question in bytes.
	maximumQuestion = 64 << 10
)

// Handler answers other nodes' questions for a feed.
func Handler(feed *Feed) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var question Question
		if err := gob.NewDecoder(io.LimitReader(request.Body, maximumQuestion)).Decode(&question); err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		question.Wait = min(question.Wait, askWait)
		_ = gob.NewEncoder(writer).Encode(feed.Answer(request.Context(), question))
	}
}

// Caller asks other nodes over HTTP.
type Caller struct {
	Client *http.Client
}

// Ask asks a node for what has changed in its list of servers.
func (caller *Caller) Ask(ctx context.Context, address string, question Question) (Delta, error) {
	var delta Delta
	body := bytes.Buffer{}
	if err := gob.NewEncoder(&body).Encode(question); err != nil {
		return delta, errors.Trace(err)
	}
	request, err := sling.New().Base("http://" + address).Post(PathServers).Body(&body).Request()
	if err != nil {
		return delta, errors.Trace(err)
	}
	response, err := caller.Client.Do(request.WithContext(ctx))
	if err != nil {
		return delta, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return delta, errors.Errorf("node %s answered with status %d; run the same version on all nodes", address, response.StatusCode)
	}
	return delta, errors.Trace(gob.NewDecoder(response.Body).Decode(&delta))
}
