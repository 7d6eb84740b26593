package reflector

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

const (
	// PathServers is where a node answers questions for its feed.
	PathServers = "/servers"
	// PathWork is where a reader tells other readers of its group's work. It is apart
	// from PathServers since the description of a Delta alone is longer than most work.
	PathWork = "/work"
	// maximumQuestion bounds a question in bytes.
	maximumQuestion = 64 << 10
)

// Handler answers other nodes' questions for a feed.
func Handler(f *Feed) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var question Question
		if err := gob.NewDecoder(io.LimitReader(request.Body, maximumQuestion)).Decode(&question); err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		question.Wait = min(question.Wait, askWait)
		_ = gob.NewEncoder(writer).Encode(f.Answer(request.Context(), question))
	}
}

// Group is what a reader tells other readers: the work of its group, and what it
// heard from holders of cached parts since the place that was asked for.
type Group struct {
	Work []backend.Work
	Kept []byte
}

// groupQuery is up to where the news of cached parts were heard.
type groupQuery struct {
	Life uint64 `url:"life,omitempty"`
	Next int64  `url:"next,omitempty"`
}

// WorkHandler tells other readers of this node's group.
func WorkHandler(board *workshare.Board, kept *residency.Ledger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// What cannot be read is 0: all is told.
		life, _ := strconv.ParseUint(r.FormValue("life"), 10, 64)
		next, _ := strconv.ParseInt(r.FormValue("next"), 10, 64)
		since := residency.Place{Life: life, Next: next}
		_ = gob.NewEncoder(w).Encode(Group{Work: board.Group(time.Now()), Kept: kept.News(since, true)})
	}
}

// Caller asks other nodes over HTTP.
type Caller struct {
	Client *http.Client
}

// Ask asks a node for what has changed in its list of servers.
func (c *Caller) Ask(ctx context.Context, address string, question Question) (Delta, error) {
	var delta Delta
	body := bytes.Buffer{}
	if err := gob.NewEncoder(&body).Encode(question); err != nil {
		return delta, errors.Trace(err)
	}
	request, err := sling.New().Base("http://" + address).Post(PathServers).Body(&body).Request()
	if err != nil {
		return delta, errors.Trace(err)
	}
	err = c.do(ctx, request, &delta)
	return delta, err
}

// Group asks a reader for the work of its group, and for its news of cached parts.
func (c *Caller) Group(ctx context.Context, address string, since residency.Place) (Group, error) {
	var group Group
	query := groupQuery{Life: since.Life, Next: since.Next}
	request, err := sling.New().Base("http://" + address).Get(PathWork).QueryStruct(query).Request()
	if err != nil {
		return group, errors.Trace(err)
	}
	err = c.do(ctx, request, &group)
	return group, err
}

// do sends a request and decodes the answer.
func (c *Caller) do(ctx context.Context, request *http.Request, answer any) error {
	response, err := c.Client.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("node %s answered with status %d; run the same version on all nodes", request.URL.Host, response.StatusCode)
	}
	return errors.Trace(gob.NewDecoder(response.Body).Decode(answer))
}
