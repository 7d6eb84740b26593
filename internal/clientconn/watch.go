package clientconn

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/pause"
)

// interimResponse may precede any final response of HTTP/1.1.
const interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// probeDelays are the times after which a client whose data has ended is probed again. After the last of them it counts
// as waiting, and is probed on at that interval: it may still close the connection, or its reset may be late. A connection
// that the client has closed is reset by the first probe, and fails the next one.
var probeDelays = []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond}

// maxEndDelay is how long after a request the end of its client's data still belongs to the request, whether or not the
// response has begun: on the network, it may be lost and sent again.
const maxEndDelay = 250 * time.Millisecond

// ErrLeft is the cause of the end of a context that NewWatch returned: the client has left.
type ErrLeft struct{ End End }

// Error implements the error interface.
func (l *ErrLeft) Error() string {
	return "the client's side of the connection ended: " + string(l.End)
}

// Outcome is what became of a client whose side of the connection ended before its response. The values are labels of
// metrics.
type Outcome string

const (
	// OutcomeLeft means that the client takes no response.
	OutcomeLeft Outcome = "left"
	// OutcomeWaits means that the client has closed its direction only, and still waits for the response.
	OutcomeWaits Outcome = "waits"
	// OutcomeResponding means that the response began before it was known whether the client waits for it.
	OutcomeResponding Outcome = "responding"
)

// Watch observes the client of one request. The end of a client's data does not tell whether it has closed the connection
// or only its direction; only the former answers data with a reset. Until the response begins, a client whose data has
// ended is therefore probed with interim responses.
type Watch struct {
	conn   *Conn
	cancel context.CancelCauseFunc
	// onEnd is called with what became of a client whose side of the connection ended.
	onEnd func(end End, outcome Outcome)
	// unregister stops the observation of the request's context.
	unregister func() bool
	// takesInterim is set if the client's version of HTTP has interim responses.
	takesInterim bool

	// mutex is held while anything is written that is not part of the response.
	mutex sync.Mutex
	// responding is set once the response has begun or the watch was stopped, and endedBefore if the client's data had
	// ended by then.
	responding  bool
	endedBefore bool
	// requestReadAt is when the request had been read whole.
	requestReadAt time.Time
}

// NewWatch begins to observe the client of a request. It returns a context for the processing of the request that ends
// once the client has left. Stop must be called before the request's handler returns, and BeginResponse before it writes
// anything.
func NewWatch(r *http.Request, onEnd func(end End, outcome Outcome)) (*Watch, context.Context) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	w := &Watch{conn: fromContext(r.Context()), cancel: cancel, onEnd: onEnd, takesInterim: r.ProtoAtLeast(1, 1), requestReadAt: time.Now()}
	w.unregister = context.AfterFunc(r.Context(), func() { w.clientEnded(ctx) })
	return w, ctx
}

// RequestRead records that the request has been read whole. Without a call, it counts as read when NewWatch is called.
func (w *Watch) RequestRead() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requestReadAt = time.Now()
}

// endedWithRequest reports whether the client's data ended with the request, although the response has begun since.
func (w *Watch) endedWithRequest() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.endedBefore || time.Unix(0, w.conn.endedAt.Load()).Sub(w.requestReadAt) < maxEndDelay
}

// Stop ends the observation.
func (w *Watch) Stop() {
	w.unregister()
	w.BeginResponse()
	w.cancel(nil)
}

// BeginResponse ends the probes. From then on the writes of the response show whether the client still reads, and the end
// of its data counts as the end of its interest.
func (w *Watch) BeginResponse() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.responding {
		w.responding, w.endedBefore = true, w.conn != nil && w.conn.dataEnded()
	}
}

// SetResetOnClose sets whether the client's connection ends with a reset, also if the process ends. A response without a
// length and chunks, such as a stream to a client of HTTP/1.0, would otherwise look complete wherever it is cut off.
func (w *Watch) SetResetOnClose(resets bool) {
	if w.conn != nil {
		w.conn.setResetOnClose(resets)
	}
}

// clientEnded is called once net/http has ended the request's context.
func (w *Watch) clientEnded(ctx context.Context) {
	end := EndNone
	if w.conn != nil {
		end = w.conn.End()
	}
	outcome := OutcomeLeft
	if end == EndOfData && w.takesInterim {
		outcome = w.probe(ctx)
	}
	if ctx.Err() != nil || outcome == OutcomeWaits {
		return
	}
	w.onEnd(end, outcome)
	if outcome == OutcomeLeft {
		w.cancel(&ErrLeft{End: end})
	}
}

// probe finds out whether a client whose data has ended still waits for its response. It reports a client that does, and
// returns once the response begins or the client has left.
func (w *Watch) probe(ctx context.Context) Outcome {
	for i := 0; ; i++ {
		sent, err := w.sendInterim()
		switch {
		case !sent && i == 0 && !w.endedWithRequest():
			return OutcomeLeft
		case !sent && i > len(probeDelays):
			return OutcomeWaits
		case !sent:
			return OutcomeResponding
		case err != nil:
			return OutcomeLeft
		case i == len(probeDelays):
			w.onEnd(EndOfData, OutcomeWaits)
		}
		pause.For(ctx, probeDelays[min(i, len(probeDelays)-1)])
	}
}

// sendInterim writes an interim response, unless the response has begun.
func (w *Watch) sendInterim() (sent bool, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.responding {
		return false, nil
	}
	_, err = w.conn.Write([]byte(interimResponse))
	return true, err
}
