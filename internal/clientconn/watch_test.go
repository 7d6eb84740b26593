package clientconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const waitTimeout = 20 * time.Second

// watched is what a Watch reported of one request.
type watched struct {
	end     End
	outcome Outcome
}

// newServer starts a server that watches its clients. Each request takes run, unless its client leaves.
func newServer(t *testing.T, run time.Duration) (address string, reports <-chan watched) {
	all := make(chan watched, 1)
	server := &http.Server{ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watch, ctx := NewWatch(r, func(end End, outcome Outcome) { all <- watched{end, outcome} })
		defer watch.Stop()
		select {
		case <-time.After(run):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		watch.BeginResponse()
		_, _ = io.WriteString(w, "done")
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(&Listener{Listener: listener}) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), all
}

// sendAndClose sends a request of a version of HTTP, and closes the client's direction of the connection.
func sendAndClose(t *testing.T, address, version string) *net.TCPConn {
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "GET / %s\r\nHost: h\r\n\r\n", version)
	require.NoError(t, err)
	client := connection.(*net.TCPConn)
	require.NoError(t, client.CloseWrite())
	return client
}

// awaitReport returns the next report of a watch.
func awaitReport(t *testing.T, reports <-chan watched) watched {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	select {
	case report := <-reports:
		return report
	case <-ctx.Done():
		require.Fail(t, "the end of the client's data was not reported")
		return watched{}
	}
}

// A client that closes its direction gets interim responses, which it must pass over, and then its response.
func TestHalfClosedClientWaits(t *testing.T) {
	address, reports := newServer(t, 450*time.Millisecond)
	client := sendAndClose(t, address, "HTTP/1.1")
	require.Equal(t, watched{EndOfData, OutcomeWaits}, awaitReport(t, reports))
	reader := bufio.NewReader(client)
	interim := 0
	for {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		if response.StatusCode == http.StatusContinue {
			interim++
			continue
		}
		require.Equal(t, http.StatusOK, response.StatusCode)
		break
	}
	require.Equal(t, len(probeDelays)+1, interim)
}

// A client that waits at first, and then closes the connection, counts as gone, too.
func TestHalfClosedClientThatLeavesIsNoticed(t *testing.T) {
	address, reports := newServer(t, waitTimeout)
	client := sendAndClose(t, address, "HTTP/1.1")
	require.Equal(t, watched{EndOfData, OutcomeWaits}, awaitReport(t, reports))
	require.NoError(t, client.Close())
	closedAt := time.Now()
	require.Equal(t, watched{EndOfData, OutcomeLeft}, awaitReport(t, reports))
	require.Less(t, time.Since(closedAt), 500*time.Millisecond)
}

// HTTP/1.0 has no interim responses, so that the end of a client's data is all that is known of it.
func TestHalfClosedClientOfFormerVersionCountsAsLeft(t *testing.T) {
	address, reports := newServer(t, waitTimeout)
	client := sendAndClose(t, address, "HTTP/1.0")
	require.Equal(t, watched{EndOfData, OutcomeLeft}, awaitReport(t, reports))
	data, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Empty(t, data)
}

// acceptOne returns both ends of a connection.
func acceptOne(t *testing.T) (server *Conn, client *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	accepted, err := (&Listener{Listener: listener}).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*Conn), connection.(*net.TCPConn)
}

// requestWatch is the Watch of one request on a connection.
type requestWatch struct {
	*Watch
	conn    *Conn
	ctx     context.Context
	reports chan watched
	// endRequest ends the request's context, as net/http does at the end of the client's data.
	endRequest context.CancelFunc
}

func watchRequest(t *testing.T, conn *Conn) *requestWatch {
	w := &requestWatch{conn: conn, reports: make(chan watched, 1)}
	var requestCtx context.Context
	requestCtx, w.endRequest = context.WithCancel(WithConn(t.Context(), conn))
	request, err := http.NewRequestWithContext(requestCtx, http.MethodGet, "http://h/", nil)
	require.NoError(t, err)
	w.Watch, w.ctx = NewWatch(request, func(end End, outcome Outcome) { w.reports <- watched{end, outcome} })
	t.Cleanup(w.Stop)
	return w
}

// readEnd reads the end of the client's data.
func (w *requestWatch) readEnd(t *testing.T) {
	_, err := w.conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	w.endRequest()
}

// A stream of a client that closed its direction before the response began is not cut because that is read only later.
func TestEndOfDataBeforeResponseDoesNotEndIt(t *testing.T) {
	conn, client := acceptOne(t)
	watch := watchRequest(t, conn)
	require.NoError(t, client.CloseWrite())
	time.Sleep(100 * time.Millisecond)
	watch.BeginResponse()
	watch.readEnd(t)
	require.Equal(t, watched{EndOfData, OutcomeResponding}, awaitReport(t, watch.reports))
	require.NoError(t, watch.ctx.Err())
}

// The end of a client's data right after its request does not end the response, even if that begins first.
func TestEndOfDataAfterQuickResponseDoesNotEndIt(t *testing.T) {
	conn, client := acceptOne(t)
	watch := watchRequest(t, conn)
	time.Sleep(2 * maxEndDelay)
	watch.RequestRead()
	watch.BeginResponse()
	require.NoError(t, client.CloseWrite())
	watch.readEnd(t)
	require.Equal(t, watched{EndOfData, OutcomeResponding}, awaitReport(t, watch.reports))
	require.NoError(t, watch.ctx.Err())
}

// The end of a client's data once the response has begun ends the response.
func TestEndOfDataDuringResponseEndsIt(t *testing.T) {
	conn, client := acceptOne(t)
	watch := watchRequest(t, conn)
	watch.BeginResponse()
	time.Sleep(maxEndDelay)
	require.NoError(t, client.CloseWrite())
	watch.readEnd(t)
	require.Equal(t, watched{EndOfData, OutcomeLeft}, awaitReport(t, watch.reports))
	<-watch.ctx.Done()
}

// pausedConn is a connection whose process is paused after it has set its first write deadline.
type pausedConn struct {
	net.Conn
	pause time.Duration
	once  sync.Once
}

func (p *pausedConn) SetWriteDeadline(deadline time.Time) error {
	err := p.Conn.SetWriteDeadline(deadline)
	p.once.Do(func() { time.Sleep(p.pause) })
	return err
}

// A client whose probe could not be written in time, since this process was paused, still counts as waiting.
func TestProbeThatTimesOutIsNoSignOfLeaving(t *testing.T) {
	conn, client := acceptOne(t)
	conn.stallTimeout = 100 * time.Millisecond
	conn.Conn = &pausedConn{Conn: conn.Conn, pause: 2 * conn.stallTimeout}
	watch := watchRequest(t, conn)
	require.NoError(t, client.CloseWrite())
	watch.readEnd(t)
	require.Equal(t, watched{EndOfData, OutcomeWaits}, awaitReport(t, watch.reports))
	require.NoError(t, watch.ctx.Err())
}

// partialConn is a connection whose client takes a part of each write until the process is paused once.
type partialConn struct {
	net.Conn
	pause time.Duration
	once  sync.Once
}

func (p *partialConn) Write(data []byte) (int, error) {
	n, err := len(data), error(nil)
	p.once.Do(func() {
		time.Sleep(p.pause)
		n, err = 1, os.ErrDeadlineExceeded
	})
	return n, err
}

// A response is written on after this process was paused for longer than its write may take.
func TestWriteThatWasPausedGoesOn(t *testing.T) {
	conn, _ := acceptOne(t)
	conn.stallTimeout = 50 * time.Millisecond
	conn.Conn = &partialConn{Conn: conn.Conn, pause: 2 * conn.stallTimeout}
	n, err := conn.Write([]byte("event"))
	require.NoError(t, err)
	require.Equal(t, len("event"), n)
}

// The end of a client's data right after a body that took long to arrive belongs to the request.
func TestEndOfDataAfterSlowBodyDoesNotEndResponse(t *testing.T) {
	began := make(chan struct{})
	ended := make(chan error, 1)
	reports := make(chan watched, 1)
	handler := Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		w.WriteHeader(http.StatusOK)
		require.NoError(t, http.NewResponseController(w).Flush())
		close(began)
		select {
		case <-r.Context().Done():
		case <-time.After(maxEndDelay):
		}
		ended <- r.Context().Err()
	}), func(end End, outcome Outcome) { reports <- watched{end, outcome} })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnContext: WithConn, Handler: handler}
	go func() { _ = server.Serve(&Listener{Listener: listener}) }()
	t.Cleanup(func() { _ = server.Close() })
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	require.NoError(t, err)
	time.Sleep(2 * maxEndDelay)
	_, err = io.WriteString(connection, "dy")
	require.NoError(t, err)
	<-began
	require.NoError(t, connection.(*net.TCPConn).CloseWrite())
	require.Equal(t, watched{EndOfData, OutcomeResponding}, awaitReport(t, reports))
	require.NoError(t, <-ended)
}
