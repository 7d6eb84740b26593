package inbound

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/admission"
)

const (
	maxBytes    = 5 << 20
	bodyTimeout = 200 * time.Millisecond
	waitTimeout = 10 * time.Second
)

// fixture is a server whose handler decodes a message and responds with the number of its bytes.
type fixture struct {
	*httptest.Server
	memory     *admission.MemoryBudget
	rejections chan Rejection
	handled    atomic.Int64
}

func newFixture(t *testing.T, memory int64, handler http.HandlerFunc) *fixture {
	f := &fixture{memory: admission.NewMemoryBudget(memory).Messages(), rejections: make(chan Rejection, 100)}
	reader := &Reader{Memory: f.memory, OnRejected: func(rejection Rejection) { f.rejections <- rejection }}
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.handled.Add(1)
		handler(w, r)
	})
	f.Server = httptest.NewServer(WithBodyTimeout(bodyTimeout, reader.Handle(Limits{MaxBytes: func() int64 { return maxBytes }}, counted)))
	t.Cleanup(f.Close)
	return f
}

// post sends a message and returns the status and the body of the response.
func (f *fixture) post(t *testing.T, message []byte) (int, string) {
	response, err := http.Post(f.URL, "", bytes.NewReader(message))
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// open sends the beginning of a message of a length, and leaves it open.
func (f *fixture) open(t *testing.T, length int, beginning []byte) net.Conn {
	connection, err := net.Dial("tcp", f.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, beginning)
	require.NoError(t, err)
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(waitTimeout)))
	return connection
}

func readAll(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = w.Write(body)
}

func encode(t *testing.T, values ...any) []byte {
	encoded := bytes.Buffer{}
	encoder := gob.NewEncoder(&encoded)
	for _, value := range values {
		require.NoError(t, encoder.Encode(value))
	}
	return encoded.Bytes()
}

type attempt struct {
	Header map[string][]string
	Body   []byte
}

// Guards against messages of sound nodes that are changed or rejected.
func TestMessagesArriveWhole(t *testing.T) {
	f := newFixture(t, 0, readAll)
	for name, message := range map[string][]byte{
		"none":        {},
		"a sequence":  encode(t, 1, "service", "", []byte("keys")),
		"an attempt":  encode(t, attempt{Header: map[string][]string{"A": {"b", ""}, "C": nil}, Body: []byte("turn")}),
		"16 KiB":      encode(t, make([]byte, admission.FreeResponseBytes-4)),
		"some blocks": encode(t, bytes.Repeat([]byte("abc"), 100_000)),
		"4 MB":        encode(t, attempt{Body: bytes.Repeat([]byte("abcd"), 1_000_000)}),
	} {
		t.Run(name, func(t *testing.T) {
			status, echoed := f.post(t, message)
			require.Equal(t, http.StatusOK, status, echoed)
			require.Equal(t, string(message), echoed)
			require.Zero(t, f.memory.Held())
		})
	}
}

// Guards against a few bytes that have a decoder allocate what they claim to follow.
func TestMessageThatClaimsMoreThanItHasIsRejected(t *testing.T) {
	f := newFixture(t, 0, readAll)
	oneEntry := encode(t, attempt{Header: map[string][]string{"A": {"b"}}})
	manyEntries := bytes.Replace(oneEntry, []byte("\x01\x01A\x01\x01b"), []byte("\xfd\x40\x00\x00\x01A\x01\x01b"), 1)
	last := bytes.LastIndexByte(manyEntries[:bytes.Index(manyEntries, []byte("\xfd\x40"))], 0xff) - 1
	manyEntries[last] += 3
	for name, message := range map[string][]byte{
		"a value":                  []byte("\xfd\x9f\x00\x00a"),
		"a second value":           append(encode(t, 1), "\xfd\x9f\x00\x00a"...),
		"a value of 2^63 bytes":    []byte("\xf8\xff\xff\xff\xff\xff\xff\xff\xffa"),
		"a length of 128 bytes":    []byte("\x80a"),
		"a length that is cut off": []byte("\xfd\x9f"),
		"entries of a map":         manyEntries,
		"no gob":                   []byte("garbage"),
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			status, problem := f.post(t, message)
			runtime.ReadMemStats(&after)
			require.Equal(t, http.StatusBadRequest, status, problem)
			require.Equal(t, BoundFormat, (<-f.rejections).Bound)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4<<20), "bytes allocated")
		})
	}
	require.Zero(t, f.handled.Load())
}

// Guards against messages beyond the bound, with and without a declared length.
func TestMessageBeyondItsBoundIsRejected(t *testing.T) {
	f := newFixture(t, 0, readAll)
	message := encode(t, make([]byte, maxBytes))
	for name, body := range map[string]io.Reader{"declared": bytes.NewReader(message), "chunked": io.MultiReader(bytes.NewReader(message))} {
		t.Run(name, func(t *testing.T) {
			response, err := http.Post(f.URL, "", body)
			if err == nil {
				defer response.Body.Close()
				require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
			}
			require.Equal(t, BoundLength, (<-f.rejections).Bound)
		})
	}
	require.Zero(t, f.handled.Load())
}

// Guards against messages that never end, which held their connections and their memory for good.
func TestOpenMessageEnds(t *testing.T) {
	f := newFixture(t, 1<<30, readAll)
	connection := f.open(t, maxBytes, bytes.Repeat([]byte("a"), 1<<20))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Equal(t, BoundTime, (<-f.rejections).Bound)
	_, err = io.Copy(io.Discard, connection)
	require.NoError(t, err, "the connection stays open")
	require.Zero(t, f.memory.Held())
	require.Zero(t, f.handled.Load())
}

// Guards against messages that together hold more than their part of the memory, and that keep small ones of sound nodes out.
func TestMessagesTogetherStayWithinMemory(t *testing.T) {
	f := newFixture(t, 8<<20, readAll)
	whole := encode(t, bytes.Repeat([]byte("a"), 3*int(f.memory.Limit())/4))
	for range 8 {
		f.open(t, len(whole), whole[:len(whole)/2])
	}
	rejected := <-f.rejections
	require.Equal(t, BoundMemory, rejected.Bound)
	require.Equal(t, http.StatusServiceUnavailable, rejected.Status)
	require.LessOrEqual(t, f.memory.Held(), f.memory.Limit())
	status, _ := f.post(t, encode(t, 1, "small"))
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return f.memory.Held() == 0 }, waitTimeout, time.Millisecond)
	status, _ = f.post(t, whole)
	require.Equal(t, http.StatusOK, status)
}

// Guards against a timeout that ends the response to a message which has arrived in time.
func TestTimeoutEndsWithMessage(t *testing.T) {
	f := newFixture(t, 0, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			_, _ = io.WriteString(w, "ended")
		case <-time.After(3 * bodyTimeout):
			_, _ = io.WriteString(w, "done")
		}
	})
	for range 2 {
		_, body := f.post(t, encode(t, strings.Repeat("a", 100)))
		require.Equal(t, "done", body)
	}
}

// Guards against bodies that a handler does not read, and that never end.
func TestOpenBodyThatIsNotReadEnds(t *testing.T) {
	server := httptest.NewServer(WithBodyTimeout(bodyTimeout, http.NotFoundHandler()))
	defer server.Close()
	f := &fixture{Server: server}
	connection := f.open(t, 1000, []byte("a"))
	_, err := io.Copy(io.Discard, connection)
	require.NoError(t, err, "the connection stays open")
}
