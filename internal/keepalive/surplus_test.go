package keepalive

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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
