package keepalive

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// Surplus is what a response is that answers no request which waits for one. The values are labels of metrics.
type Surplus string

const (
	// SurplusUnasked means that it came while no request waited for a response.
	SurplusUnasked Surplus = "unasked"
	// SurplusEarlier means that it bears the ID of an earlier request of its connection, or none after an earlier request that had
	// none. The awaited response can follow.
	SurplusEarlier Surplus = "earlier"
	// SurplusUnknown means that it bears an ID that the connection has not carried, or none without such a request.
	SurplusUnknown Surplus = "unknown"
)

// maxExaminedHead bounds the bytes of a response's head in which its ID is looked for.
const maxExaminedHead = 8 << 10

// maxInterimBytes bounds the heads of interim responses that are discarded before a response.
const maxInterimBytes = 8 << 10

// errSurplus is the error of reads of a connection on which something came that answers no request.
var errSurplus = errors.New("a response came that answers no request")

// headLength returns the length of the head at the start of data, or 0 if its end is missing. As for net/http, a line may end
// without a carriage return.
func headLength(data []byte) int {
	for length := 0; ; {
		line, _, ended := bytes.Cut(data[length:], []byte("\n"))
		if !ended {
			return 0
		}
		length += len(line) + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return length
		}
	}
}

// headerValue returns the value of a header in the head of a response, or "".
func headerValue(head []byte, name string) string {
	for line := range bytes.Lines(head) {
		key, value, found := bytes.Cut(line, []byte(":"))
		if found && strings.EqualFold(string(key), name) {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isInterim reports whether the head of a response is that of an interim one, which precedes the response to the same request. A
// switch of protocols is final.
func isInterim(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte(" "))
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}

// peekHead returns the head of the next response without consuming it. The error is that of the reader, bufio.ErrBufferFull if
// the head exceeds its buffer.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for {
		buffered, _ := r.Peek(r.Buffered())
		if length := headLength(buffered); length > 0 {
			return buffered[:length], nil
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// discardResponse reads one response to its end.
func discardResponse(r *bufio.Reader) error {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return errors.Trace(err)
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.Annotate(errSurplus, "its connection ends with it")
	}
	discarded, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscarded+1))
	if err == nil && discarded > maxDiscarded {
		err = errors.Annotate(errSurplus, "it is too long to be read to its end")
	}
	return errors.Trace(err)
}

// awaited is the response that a connection waits for.
type awaited struct {
	// id is that of the request; "" if it has none.
	id string
	// head is set until the head of the response, or of what is taken for it, has been read.
	head bool
}

// isEarlier reports whether the head of a response is that of one to an earlier request of the connection.
func (c *conn) isEarlier(head []byte) bool {
	id := headerValue(head, c.idHeader)
	if id == "" && isInterim(head) {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// The length of a body that answers HEAD is not known without its request.
	return id != c.awaited.id && !c.carriedHead && c.carried.answeredBy(id)
}

// examine checks what has been read, and returns how many bytes of the awaited response data holds in its place: responses to
// earlier requests are discarded. Nothing may come while no request has been sent.
func (c *conn) examine(data []byte, n int, err error) (int, error) {
	c.mutex.Lock()
	unasked := !c.idleSince.IsZero() || !c.written
	awaitsHead := c.awaited.head
	// The use that begins next must not write.
	c.refused = c.refused || unasked
	c.spoilt = c.spoilt || unasked
	c.mutex.Unlock()
	switch {
	case unasked:
		c.reportSurplus(SurplusUnasked)
		return 0, errSurplus
	case !awaitsHead || c.idHeader == "":
		return n, err
	}
	if length := headLength(data[:n]); length > 0 && !isInterim(data[:length]) && !c.isEarlier(data[:length]) {
		c.endHead()
		return n, err
	}
	return c.skipEarlier(data, n)
}

// skipEarlier discards interim responses and those to earlier requests, the first bytes of which data holds, and reads the
// awaited one.
func (c *conn) skipEarlier(data []byte, n int) (int, error) {
	c.rest = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(data[:n])), readerFunc(c.readSocket)), maxExaminedHead)
	for interim := 0; ; {
		head, err := peekHead(c.rest)
		switch {
		case err == nil && isInterim(head) && interim < maxInterimBytes:
			interim += len(head)
			_, _ = c.rest.Discard(len(head))
		case err == nil && c.isEarlier(head):
			c.reportSurplus(SurplusEarlier)
			if err := discardResponse(c.rest); err != nil {
				return 0, err
			}
		default:
			c.endHead()
			c.restErr = err
			return c.readRest(data)
		}
	}
}

// readRest reads what has been read from the socket and not passed on yet.
func (c *conn) readRest(data []byte) (int, error) {
	if c.rest != nil && c.rest.Buffered() > 0 {
		return c.rest.Read(data)
	}
	err := c.restErr
	c.rest, c.restErr = nil, nil
	if errors.Is(err, bufio.ErrBufferFull) {
		err = nil
	}
	return 0, err
}

func (c *conn) endHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.awaited.head = false
}

func (c *conn) reportSurplus(kind Surplus) {
	if c.onSurplus != nil {
		c.onSurplus(kind)
	}
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(data []byte) (int, error)

func (f readerFunc) Read(data []byte) (int, error) { return f(data) }
