package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// rawResult is a response as a client reads it from its connection.
type rawResult struct {
	status int
	header http.Header
	body   string
	// err is nil if the response is whole by its framing.
	err error
}

// sendRaw sends a request of a version of HTTP on a connection of its own, and reads until the response ends.
func (fixture *fixture) sendRaw(version string, c routeCall) rawResult {
	connection, err := net.Dial("tcp", fixture.frontend.Listener.Addr().String())
	require.NoError(fixture.t, err)
	defer connection.Close()
	request, err := http.NewRequest(c.method, "http://"+host+c.path, nil)
	require.NoError(fixture.t, err)
	request.Header.Set(standin.HeaderRequestID, fmt.Sprint("request-", fixture.requests.Add(1)))
	request.Header.Set(standin.HeaderDeadline, "15000")
	request.Header.Set("Authorization", "Bearer "+key)
	if c.prompted {
		setPromptHeaders(request)
	}
	_, err = fmt.Fprintf(connection, "%s %s %s\r\nHost: %s\r\n", c.method, c.path, version, host)
	require.NoError(fixture.t, err)
	require.NoError(fixture.t, request.Header.Write(connection))
	_, err = io.WriteString(connection, "\r\n")
	require.NoError(fixture.t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	if err != nil {
		return rawResult{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return rawResult{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// TestCutStreamOfOlderClientIsReset guards against streams that a server breaks off between two events and that look complete:
// a client of HTTP/1.0 takes the end of its connection for the end of the stream.
func TestCutStreamOfOlderClientIsReset(t *testing.T) {
	const event = "id: 1\ndata: token 1\n\n"
	for framing, encoded := range map[string]string{
		"length": "Content-Length: 1000\r\n\r\n" + event,
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(event), event),
	} {
		for name, c := range map[string]routeCall{"stream": plainStream, "resumable stream": resumableStream} {
			t.Run(framing+", "+name, func(t *testing.T) {
				t.Parallel()
				server := engine("i-1", breakOff("HTTP/1.1 200 OK\r\n"+rawHeaders+encoded))
				fixture := newFixture(t).serve(server)
				got := fixture.sendRaw("HTTP/1.0", c)
				require.Equal(t, http.StatusOK, got.status)
				require.ErrorIs(t, got.err, syscall.ECONNRESET, "%q looks complete", got.body)
				server.SetHandler(standin.StreamEvents(3, 0))
				fixture.waitUntil(func() bool {
					got = fixture.sendRaw("HTTP/1.0", c)
					return got.status == http.StatusOK
				})
				require.NoError(t, got.err)
				require.Equal(t, eventText(3), got.body)
			})
		}
	}
}

// breakOff runs a request, sends bytes like respondRaw, and closes the connection. A request to continue a stream gets no
// response.
func breakOff(text string) standin.Handler {
	return func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(standin.HeaderLastEventID) != "" {
			panic(http.ErrAbortHandler)
		}
		connection, err := writeRaw(text, server, w, r)
		if err == nil {
			_ = connection.Close()
		}
	}
}

// lockedBuffer is a buffer that may be used concurrently.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// TestBytesBehindResponseAreNotLogged guards against parts of responses in a node's output, line by line and without a bound: net/http
// quotes what a server sends after its response.
func TestBytesBehindResponseAreNotLogged(t *testing.T) {
	output := &lockedBuffer{}
	former := log.Writer()
	log.SetOutput(output)
	defer func() { log.SetOutput(former) }()
	server := plainServer("i-1", respondRaw("HTTP/1.1 200 OK\r\n"+rawHeaders+"Content-Length: 4\r\n\r\ndone and an answer"))
	fixture := newFixture(t).serve(server)
	fixture.waitUntil(func() bool {
		require.Equal(t, "done", fixture.send(http.MethodPost, "/again/", "turn", nil).body)
		return strings.Contains(output.String(), "answer") || fixture.metric("cloverrail_proxy_library_messages_total", "unsolicited_response") > 0
	})
	require.Empty(t, output.String())
}
