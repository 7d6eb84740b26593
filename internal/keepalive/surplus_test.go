package keepalive

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// scriptedServer writes what a script says in place of each response of a connection.
type scriptedServer struct {
	// respond returns what is written, in these pieces, to a request, from the IDs of the earlier ones of its connection.
	respond func(earlier []string, id string) []string
}

func (s *scriptedServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *scriptedServer) serve(far net.Conn) {
	defer far.Close()
	reader := bufio.NewReader(far)
	for earlier := []string{}; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Id")
		for _, piece := range s.respond(earlier, id) {
			if _, err := io.WriteString(far, piece); err != nil {
				return
			}
		}
		earlier = append(earlier, id)
	}
}

// exchange sends a request and returns the body of its response, which must bear its ID.
func exchange(c *Client, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err := c.Do(func() *http.Request {
		return (&http.Request{
			Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: "server:1", Path: "/"}, Header: http.Header{"Id": {id}},
			Body: io.NopCloser(strings.NewReader("b")), ContentLength: 1,
		}).WithContext(ctx)
	}, false)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if received := response.Header.Get("Id"); received != id {
		return "", fmt.Errorf("response of %q", received)
	}
	body, err := io.ReadAll(response.Body)
	// The connection becomes idle after the end of the body.
	synctest.Wait()
	return string(body), err
}

// endTest closes the connections of a client.
func endTest(c *Client) {
	c.transport.Base.(*http.Transport).CloseIdleConnections()
	time.Sleep(time.Minute)
}

// Guards against heads that net/http reads and this package waits on: a line may end without a carriage return.
func TestResponseWithBareLineEndsIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedServer{respond: func(_ []string, id string) []string {
			return []string{"HTTP/1.1 200 OK\nId: " + id + "\nContent-Length: 2\n\nok"}
		}}
		c := New(Options{Timeout: time.Minute, Dial: s.dial, IDHeader: "Id"})
		for _, id := range []string{"a", "b"} {
			body, err := exchange(c, id)
			require.NoError(t, err)
			require.Equal(t, "ok", body)
		}
		endTest(c)
	})
}

// Guards against an interim response that counts as the awaited one, so that a response too many behind it fails the request.
func TestResponseTooManyBehindInterimResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response := func(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 1\r\n\r\n" + id }
		s := &scriptedServer{respond: func(earlier []string, id string) []string {
			if len(earlier) == 0 {
				return []string{response(id)}
			}
			return []string{"HTTP/1.1 100 Continue\r\n\r\n", response("a"), "HTTP/1.1 103 Early Hints\r\n\r\n", response(id)}
		}}
		c := New(Options{Timeout: time.Minute, Dial: s.dial, IDHeader: "Id"})
		for _, id := range []string{"a", "b"} {
			body, err := exchange(c, id)
			require.NoError(t, err)
			require.Equal(t, id, body)
		}
		endTest(c)
	})
}

// Guards against a response too many that nothing tells of, as net/http has read it together with the response before it.
func TestResponseTooManyInReadOfResponseIsReported(t *testing.T) {
	for name, surplus := range map[string]string{"none": "", "response": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n", "byte": "H"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedServer{respond: func(_ []string, id string) []string {
					return []string{"HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok" + surplus}
				}}
				var received []Surplus
				c := New(Options{Timeout: time.Minute, Dial: s.dial, IDHeader: "Id", OnSurplus: func(_ string, kind Surplus) { received = append(received, kind) }})
				for _, id := range []string{"a", "b"} {
					_, err := exchange(c, id)
					require.NoError(t, err)
				}
				endTest(c)
				if surplus == "" {
					require.Empty(t, received)
				} else {
					require.Equal(t, []Surplus{SurplusUnasked, SurplusUnasked}, received)
				}
			})
		})
	}
}

// Guards against a response too many that counts as the one to a later request of its connection, and against responses that
// are changed on their way, however they are framed and cut into reads.
func TestEachRequestGetsItsOwnResponse(outer *testing.T) {
	property.Check(outer, func(t *rapid.T) {
		exchanges := rapid.IntRange(2, 8).Draw(t, "exchanges")
		shapes := rapid.SliceOfN(rapid.IntRange(0, 5), exchanges, exchanges).Draw(t, "shapes")
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 100, 1500, 9000}), exchanges, exchanges).Draw(t, "sizes")
		before := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, exchanges), 0, 3), exchanges, exchanges).Draw(t, "before")
		after := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, exchanges), 0, 2), exchanges, exchanges).Draw(t, "after")
		pieces := rapid.SliceOfN(rapid.IntRange(1, 3000), 1, 8).Draw(t, "pieces")
		bufferSize := rapid.SampledFrom([]int{0, 1 << 10, 16 << 10}).Draw(t, "buffer size")
		idOf := func(i int) string { return fmt.Sprint("request-", i) }
		bodyOf := func(i int) string { return strings.Repeat(idOf(i)+"\r\n\r\n", sizes[i]/10+1)[:sizes[i]] }
		response := func(i int) string {
			if i >= exchanges {
				return "HTTP/1.1 200 OK\r\nId: unknown\r\nContent-Length: 7\r\n\r\nunknown"
			}
			return responseOf(shapes[i], idOf(i), bodyOf(i))
		}
		lost, wrong := 0, []string{}
		synctest.Test(outer, func(*testing.T) {
			s := &scriptedServer{respond: func(earlier []string, id string) []string {
				current := 0
				_, _ = fmt.Sscanf(id, "request-%d", &current)
				text := ""
				for _, i := range before[current] {
					if i == exchanges || slices.Contains(earlier, idOf(i)) {
						text += response(i)
					}
				}
				text += response(current)
				for _, i := range after[current] {
					if i == current || i == exchanges || slices.Contains(earlier, idOf(i)) {
						text += response(i)
					}
				}
				return cut(text, pieces)
			}}
			c := New(Options{Timeout: time.Minute, Dial: s.dial, IDHeader: "Id", BufferSize: bufferSize})
			for i := range exchanges {
				body, err := exchange(c, idOf(i))
				switch {
				case err != nil:
					lost++
				case body != bodyOf(i):
					wrong = append(wrong, fmt.Sprintf("request %d got %q", i, body))
				}
			}
			endTest(c)
		})
		require.Empty(t, wrong)
		unknown := func(indexes []int) bool { return slices.Contains(indexes, exchanges) }
		if !slices.ContainsFunc(before, unknown) {
			require.Zero(t, lost, "responses too many that their IDs tell")
		}
	})
}

// responseOf returns a response of one of several shapes.
func responseOf(shape int, id, body string) string {
	switch head := "HTTP/1.1 200 OK\r\nid:  " + id + " \r\n"; shape {
	case 0:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case 1:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + "\r\n"
	case 2:
		return head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n" + chunked(body) + "Sum: 1\r\n\r\n"
	case 3:
		return "HTTP/1.1 100 Continue\r\n\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	case 4:
		return fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\nID:%s\n\n%s", len(body), id, body)
	default:
		padding := "X-Padding: " + strings.Repeat("a", 2000) + "\r\n"
		return head + padding + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// chunked returns the chunks of a body, up to the last one.
func chunked(body string) string {
	text := ""
	for len(body) > 0 {
		n := min(len(body), 700)
		text += fmt.Sprintf("%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return text + "0\r\n"
}

// cut cuts a text into pieces of the given lengths, which repeat.
func cut(text string, lengths []int) []string {
	var pieces []string
	for i := 0; len(text) > 0; i++ {
		n := min(lengths[i%len(lengths)], len(text))
		pieces, text = append(pieces, text[:n]), text[n:]
	}
	return pieces
}
