// Package inbound bounds the requests that arrive at addresses which are not the clients'. Whoever reaches such an address may
// send bodies that never end, or messages that claim to be long.
package inbound

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/admission"
)

// Bounds of messages, as named in logs and metrics.
const (
	// BoundLength is that of one message, BoundMemory that of all together, and BoundTime that of the time in which one must
	// arrive. BoundFormat means that the message is not a sequence of whole gob values.
	BoundLength = "length"
	BoundMemory = "memory"
	BoundTime   = "time"
	BoundFormat = "format"
)

// retryAfter is the retry delay of a message that found no memory. Nodes try another one meanwhile.
const retryAfter = time.Second

// Rejection is why a message was rejected. Its handler was not called.
type Rejection struct {
	Path   string
	Bound  string
	Status int
	// Problem is for the sender.
	Problem error
}

// Reader reads messages of other nodes whole, before their handlers decode them.
type Reader struct {
	// Memory bounds what all messages together hold until they are decoded, beyond admission.FreeResponseBytes each; nil means
	// no bound.
	Memory *admission.MemoryBudget
	// OnRejected is called for each message that is rejected. It must not block.
	OnRejected func(rejection Rejection)
}

// Limits are the bounds of the messages of one handler.
type Limits struct {
	// MaxBytes returns the maximum size of a message.
	MaxBytes func() int64
	// Check checks a message of a size before it is decoded; nil means that its values are passed over.
	Check func(message io.Reader, bytes int64) error
}

// Handle returns a handler that calls another one with messages within the limits. Each is a sequence of whole gob values: a
// decoder of gob allocates what a length says before it looks whether that much is there.
func (r *Reader) Handle(limits Limits, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Body == http.NoBody {
			next.ServeHTTP(w, request)
			return
		}
		hold := r.Memory.HoldResponse()
		defer hold.Release()
		message, err := read(w, request, limits, hold)
		if err != nil {
			r.reject(w, request, err)
			return
		}
		defer message.Release()
		whole := request.WithContext(request.Context())
		whole.Body = newBody(message, hold)
		next.ServeHTTP(w, whole)
	})
}

// read reads a message and checks its format.
func read(w http.ResponseWriter, request *http.Request, limits Limits, hold *admission.ResponseHold) (*admission.Blocks, error) {
	maxBytes := limits.MaxBytes()
	if request.ContentLength > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	message, err := admission.ReadBlocks(http.MaxBytesReader(w, request.Body, maxBytes), maxBytes, hold)
	if err != nil {
		return nil, err
	}
	endBodyTimeout(w)
	if err := limits.check(message); err != nil {
		message.Release()
		return nil, err
	}
	return message, nil
}

// reject responds to a message that was not read whole, and has the connection closed.
func (r *Reader) reject(w http.ResponseWriter, request *http.Request, err error) {
	rejection := newRejection(err)
	rejection.Path = request.URL.Path
	r.OnRejected(rejection)
	w.Header().Set("Connection", "close")
	if rejection.Bound == BoundMemory {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	http.Error(w, rejection.Problem.Error(), rejection.Status)
}

// newRejection returns why a message with an error is rejected.
func newRejection(err error) Rejection {
	var tooLong *http.MaxBytesError
	var tooLarge *admission.ResponseTooLarge
	switch {
	case errors.As(err, &tooLong):
		return Rejection{Bound: BoundLength, Status: http.StatusRequestEntityTooLarge, Problem: errors.Errorf("the message exceeds %d bytes; send a shorter one, or use another node", tooLong.Limit)}
	case errors.As(err, &tooLarge):
		return Rejection{Bound: BoundMemory, Status: http.StatusServiceUnavailable, Problem: errors.Errorf("messages that arrive at this node hold the %d bytes that they may; use another node", tooLarge.Limit)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Rejection{Bound: BoundTime, Status: http.StatusRequestTimeout, Problem: errors.New("the message did not arrive in time; send it again")}
	default:
		return Rejection{Bound: BoundFormat, Status: http.StatusBadRequest, Problem: fmt.Errorf("malformed message: %w; run builds that support each other's message formats", err)}
	}
}

// body is the body of a request that was read whole. It returns what it holds once all of it has been read.
type body struct {
	reader  io.Reader
	message *admission.Blocks
	hold    *admission.ResponseHold
	left    int64
}

func newBody(message *admission.Blocks, hold *admission.ResponseHold) *body {
	return &body{reader: message.Reader(), message: message, hold: hold, left: message.Size()}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p)
	if b.left -= int64(n); b.left == 0 {
		_ = b.Close()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.left = 0
	b.message.Release()
	b.hold.Release()
	return nil
}
