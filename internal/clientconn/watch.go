package clientconn

import (
	"context"
	"net/http"
)

// ErrLeft is the cause of the end of a context that a Watch returned: the client has left.
type ErrLeft struct{ End End }

// Error implements the error interface.
func (l *ErrLeft) Error() string {
	return "the client's side of the connection ended: " + string(l.End)
}

// Watch observes the client of one request.
type Watch struct {
	conn   *Conn
	cancel context.CancelCauseFunc
	// unregister stops the observation of the request's context.
	unregister func() bool
}

// NewWatch begins to observe the client of a request. It returns a context for the processing of the request that ends
// once the client has left. Stop must be called before the request's handler returns.
func NewWatch(r *http.Request) (*Watch, context.Context) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	w := &Watch{conn: fromContext(r.Context()), cancel: cancel}
	w.unregister = context.AfterFunc(r.Context(), w.clientEnded)
	return w, ctx
}

// Stop ends the observation.
func (w *Watch) Stop() {
	w.unregister()
	w.cancel(nil)
}

// clientEnded is called once net/http has ended the request's context.
func (w *Watch) clientEnded() { w.cancel(&ErrLeft{End: w.end()}) }

func (w *Watch) end() End {
	if w.conn == nil {
		return EndNone
	}
	return w.conn.End()
}
