package forward

import (
	"context"
	"encoding/gob"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

// Sender sends attempts of other nodes.
type Sender interface {
	// SendForPeer sends an attempt to its server, and never through another node. onNotice is called
	// with what the server reports of itself. The returned function must be called when the response
	// has been passed on.
	SendForPeer(ctx context.Context, dispatch proxy.Dispatch, onNotice func(proxy.ServerNotice)) (reply *exchange.Reply, done func(), err error)
}

// HandlerOptions are the dependencies of a Handler.
type HandlerOptions struct {
	Sender Sender
	// MaxBytes returns the maximum size of a message; 0 means that none is accepted yet.
	MaxBytes func() int64
	// Reserve takes the bytes of a message from the node's memory. The returned function returns them.
	Reserve func(bytes int64) (release func(), err error)
	// Crowded, if set, reports whether the node can hold few further connections. It accepts no attempts then.
	Crowded func() bool
	// OnForwarded is called with the error of each attempt, nil if the server has responded. It must
	// not block.
	OnForwarded func(node string, dispatch proxy.Dispatch, err error)
}

// NewHandler returns the handler of attempts of other nodes. Any status but 200 means that the attempt was
// not sent.
func NewHandler(options HandlerOptions) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		attempt, release, refusal := readAttempt(options, w, r)
		if refusal != nil {
			http.Error(w, refusal.problem.Error(), refusal.status)
			return
		}
		defer release()
		writer := &responseWriter{controller: http.NewResponseController(w), encoder: gob.NewEncoder(w)}
		dispatch := attempt.dispatch(boottime.Now())
		ctx, cancel := context.WithDeadline(r.Context(), dispatch.Deadline)
		defer cancel()
		head := wireHead{Format: messageFormat}
		reply, done, err := options.Sender.SendForPeer(ctx, dispatch, func(n proxy.ServerNotice) { head.Notices = append(head.Notices, newWireNotice(n)) })
		defer done()
		options.OnForwarded(attempt.Node, dispatch, err)
		if err != nil {
			head.Error = newWireError(err)
			writer.write(head)
			return
		}
		defer reply.Close()
		writer.pass(head, reply)
	}
}

// refusal is why a message is not accepted.
type refusal struct {
	status  int
	problem error
}

// readAttempt reads a message within the node's limits.
func readAttempt(options HandlerOptions, w http.ResponseWriter, r *http.Request) (wireAttempt, func(), *refusal) {
	if options.Crowded != nil && options.Crowded() {
		w.Header().Set("Connection", "close")
		return wireAttempt{}, nil, &refusal{http.StatusServiceUnavailable, errors.New("this node can hold few further connections from other nodes; use another node")}
	}
	limit := options.MaxBytes()
	if r.ContentLength < 0 || r.ContentLength > limit {
		return wireAttempt{}, nil, &refusal{http.StatusRequestEntityTooLarge, errors.Errorf("attempt has %d bytes, and this node accepts %d; send its length, or use another node", r.ContentLength, limit)}
	}
	release, err := options.Reserve(r.ContentLength)
	if err != nil {
		return wireAttempt{}, nil, &refusal{http.StatusServiceUnavailable, err}
	}
	var attempt wireAttempt
	err = gob.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(&attempt)
	if err == nil {
		err = checkFormat(attempt.Format)
	}
	if err != nil {
		release()
		return wireAttempt{}, nil, &refusal{http.StatusBadRequest, errors.Annotate(err, "malformed attempt; run builds that support each other's message formats")}
	}
	// net/http notices that the other node has closed the connection only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	return attempt, release, nil
}

// responseWriter writes the messages of a response.
type responseWriter struct {
	controller *http.ResponseController
	encoder    *gob.Encoder
	failed     bool
}

// write writes one message at once. After a failure it does nothing.
func (w *responseWriter) write(message any) {
	if w.failed {
		return
	}
	w.failed = w.encoder.Encode(message) != nil || w.controller.Flush() != nil
}

// pass writes a reply to the other node.
func (w *responseWriter) pass(head wireHead, reply *exchange.Reply) {
	head.Status, head.Header, head.Confirmed = reply.Status, reply.Header, reply.ConfirmedByPeer
	head.EndsWithConnection = reply.EndsWithConnection
	if reply.Complete != nil {
		head.Body = reply.Complete.Body
		w.write(head)
		if reply.Complete.Release != nil {
			reply.Complete.Release()
		}
		return
	}
	head.Stream = true
	w.write(head)
	for !w.failed {
		event, err := reply.Next()
		switch {
		case errors.Is(err, io.EOF):
			w.write(wireEvent{End: true})
			return
		case err != nil:
			w.write(wireEvent{Error: newWireError(err)})
			return
		}
		w.write(wireEvent{Raw: event.Raw, ID: event.ID, HasID: event.HasID})
	}
}
