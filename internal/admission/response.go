package admission

import (
	"fmt"
	"io"
	"slices"
	"sync"
)

const (
	// responseShare is the share of a node's memory that responses of servers may hold beyond FreeResponseBytes each.
	// It is apart from that of requests, so that servers which send without end do not make the node refuse requests.
	responseShare = 0.15
	// FreeResponseBytes is the size up to which a response is not counted: small ones pass whatever others send.
	FreeResponseBytes = 16 << 10
	// MaxResponseBytes bounds the body of a response that is held whole.
	MaxResponseBytes = 16 << 20
)

// NewResponseBudget returns the budget for the responses of servers of a node with the given memory in bytes; 0 means
// no bound.
func NewResponseBudget(memory int64) *MemoryBudget {
	return &MemoryBudget{limit: int64(responseShare * float64(memory))}
}

// ownCallShare is the share of the budget for responses that answers to a node's own calls may hold.
const ownCallShare = 0.1

// OwnCalls returns the part of the budget for responses that answers to the node's own calls may hold.
func (budget *MemoryBudget) OwnCalls() *MemoryBudget {
	if budget == nil {
		return nil
	}
	return &MemoryBudget{limit: int64(ownCallShare * float64(budget.limit)), whole: budget}
}

// Bounds of responses, as named in errors and metrics.
const (
	// BoundHead is that of the status line and the headers, BoundBody that of a body that is held whole, BoundEvent that
	// of an event of a stream, and BoundMemory that of all responses together.
	BoundHead   = "head"
	BoundBody   = "body"
	BoundEvent  = "event"
	BoundMemory = "memory"
)

// ResponseTooLarge is the error of a response that exceeds a bound.
type ResponseTooLarge struct {
	// Bound is the bound, and Limit its value in bytes.
	Bound string
	Limit int64
}

// Error names the bound.
func (e *ResponseTooLarge) Error() string {
	remedy := "let the server send less"
	if e.Bound == BoundMemory {
		remedy += ", or raise the setting memoryMegabytes"
	}
	return fmt.Sprintf("the response exceeds the bound of %d bytes (%s); %s", e.Limit, e.Bound, remedy)
}

// ResponseHold is the bytes of one response that a node holds. A nil hold counts nothing. It is safe for concurrent use.
type ResponseHold struct {
	budget *MemoryBudget
	mutex  sync.Mutex
	// bytes is the number of bytes held, of which the budget is charged with what exceeds FreeResponseBytes.
	bytes    int64
	released bool
}

// HoldResponse returns an empty hold on the budget. Release must be called when the response is not needed any more.
func (budget *MemoryBudget) HoldResponse() *ResponseHold {
	if budget == nil {
		return nil
	}
	return &ResponseHold{budget: budget}
}

// Resize sets the number of bytes held. It returns ResponseTooLarge, and holds as many as before, if the budget does
// not have them.
func (hold *ResponseHold) Resize(bytes int64) error {
	if hold == nil {
		return nil
	}
	hold.mutex.Lock()
	defer hold.mutex.Unlock()
	if hold.released {
		return nil
	}
	if !hold.budget.charge(max(0, bytes-FreeResponseBytes) - max(0, hold.bytes-FreeResponseBytes)) {
		return &ResponseTooLarge{Bound: BoundMemory, Limit: hold.budget.limit}
	}
	hold.bytes = bytes
	return nil
}

// Release returns the bytes to the budget. Further calls have no effect.
func (hold *ResponseHold) Release() {
	if hold == nil {
		return
	}
	_ = hold.Resize(0)
	hold.mutex.Lock()
	defer hold.mutex.Unlock()
	hold.released = true
}

// charge adds bytes, which may be negative, to those held, and reports whether the budget had them.
func (budget *MemoryBudget) charge(bytes int64) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if bytes > 0 && budget.limit > 0 && bytes > budget.limit-budget.held {
		return false
	}
	if budget.whole != nil && !budget.whole.charge(bytes) {
		return false
	}
	budget.held += bytes
	return true
}

// ReadResponse reads the body of a response whole, of the given length in bytes or of an unknown one if that is
// negative. The hold has each buffer before it is made. The error is ResponseTooLarge if a bound is exceeded.
func ReadResponse(body io.Reader, length int64, hold *ResponseHold) ([]byte, error) {
	if length < 0 {
		return ReadBody(body, MaxResponseBytes, hold)
	}
	if length > MaxResponseBytes {
		return nil, &ResponseTooLarge{Bound: BoundBody, Limit: MaxResponseBytes}
	}
	if err := hold.Resize(length); err != nil {
		return nil, err
	}
	whole := make([]byte, length)
	if _, err := io.ReadFull(body, whole); err != nil {
		return nil, err
	}
	// The connection is kept only once the end of the body has been read.
	var end [1]byte
	switch _, err := io.ReadFull(body, end[:]); err {
	case io.EOF:
		return whole, nil
	case nil:
		return nil, &ResponseTooLarge{Bound: BoundBody, Limit: length}
	default:
		return nil, err
	}
}

// ReadBody reads a body of unknown length whole. It is held twice while its blocks are joined. The error is that of ReadBlocks.
func ReadBody(body io.Reader, maxBytes int64, hold *ResponseHold) ([]byte, error) {
	read, err := ReadBlocks(body, maxBytes, hold)
	if err != nil {
		return nil, err
	}
	defer read.Release()
	if len(read.parts) == 1 {
		return read.parts[0], nil
	}
	if err := hold.Resize(2 * read.Size()); err != nil {
		return nil, err
	}
	whole := slices.Concat(read.parts...)
	return whole, hold.Resize(int64(len(whole)))
}

// HeldReader reads a response that is decoded as it arrives, and holds what has been read twice: as bytes, and decoded.
type HeldReader struct {
	Source io.Reader
	Hold   *ResponseHold
	// Limit bounds the bytes read since the last Reset.
	Limit int64
	// kept is the number of bytes held of what was read before the last Reset.
	kept int64
	read int64
}

// Read reads bytes. The error is ResponseTooLarge if a bound is exceeded.
func (r *HeldReader) Read(p []byte) (int, error) {
	n, err := r.Source.Read(p)
	r.read += int64(n)
	if r.read > r.Limit {
		return 0, &ResponseTooLarge{Bound: BoundBody, Limit: r.Limit}
	}
	if tooLarge := r.Hold.Resize(r.kept + 2*r.read); tooLarge != nil {
		return 0, tooLarge
	}
	return n, err
}

// Reset forgets what has been read, which is not held any more.
func (r *HeldReader) Reset() {
	r.read, r.kept = 0, 0
	_ = r.Hold.Resize(0)
}

// Keep replaces what has been read since the last Reset or Keep by the given number of bytes, which are held besides those
// that were kept before. The error is ResponseTooLarge if a bound is exceeded.
func (r *HeldReader) Keep(bytes int64) error {
	r.read, r.kept = 0, r.kept+bytes
	return r.Hold.Resize(r.kept)
}
