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
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// server serves connections over pipes. It closes idle ones after its idle timeout, and aborts
// some.
type server struct {
	idleTimeout time.Duration
	header      string
	// fails reports for each request in turn whether its connection is closed before the response.
	fails func() bool

	mutex sync.Mutex
	// requests counts the requests by id.
	requests map[string]int
	// dials counts the connections.
	dials int
}

func (s *server) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dials++
	go s.serve(far)
	return near, nil
}

func (s *server) serve(far net.Conn) {
	defer far.Close()
	reader := bufio.NewReader(far)
	for {
		_ = far.SetReadDeadline(time.Now().Add(s.idleTimeout))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if s.record(request.Header.Get("Id")) {
			return
		}
		text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		if s.header != "" {
			text += "Keep-Alive: " + s.header + "\r\n"
		}
		if _, err := io.WriteString(far, text+"\r\nok"); err != nil {
			return
		}
	}
}

func (s *server) record(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests[id]++
	return s.fails != nil && s.fails()
}

// send sends one request and reads its response.
func send(c *Client, method, id, body string, header http.Header, atMostOnce bool) error {
	response, err := c.Do(func() *http.Request {
		request := &http.Request{
			Method: method, URL: &url.URL{Scheme: "http", Host: "server:1", Path: "/"}, Header: http.Header{"Id": {id}},
			Body: struct {
				io.Reader
				io.Closer
			}{strings.NewReader(body), io.NopCloser(nil)}, ContentLength: int64(len(body)),
		}
		if body == "" && method == http.MethodPost {
			request.Body = http.NoBody
		}
		for name, values := range header {
			request.Header[name] = values
		}
		return request
	}, atMostOnce)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	// The connection becomes idle after the end of the body.
	synctest.Wait()
	return err
}

func TestAtMostOnceRequestIsNeverSentTwice(outer *testing.T) {
	property.Check(outer, func(t *rapid.T) {
		idle := time.Duration(rapid.IntRange(50, 3000).Draw(t, "idle")) * time.Millisecond
		header := rapid.SampledFrom([]string{"", "timeout=1", "timeout=3", "timeout=60", "timeout=x"}).Draw(t, "header")
		broken := rapid.SliceOfN(rapid.Bool(), 20, 20).Draw(t, "broken")
		methods := rapid.SliceOfN(rapid.SampledFrom([]string{http.MethodPost, http.MethodGet}), 20, 20).Draw(t, "methods")
		bodies := rapid.SliceOfN(rapid.SampledFrom([]string{"", "body"}), 20, 20).Draw(t, "bodies")
		keyed := rapid.SliceOfN(rapid.Bool(), 20, 20).Draw(t, "keyed")
		idleTimes := rapid.SliceOfN(rapid.IntRange(0, 4000), 20, 20).Draw(t, "rests")
		var wrong []string
		synctest.Test(outer, func(*testing.T) {
			next := 0
			s := &server{idleTimeout: idle, header: header, requests: map[string]int{}, fails: func() bool { next++; return broken[next%20] }}
			c := New(Options{Timeout: time.Minute, Dial: s.dial})
			for i := range 20 {
				id := fmt.Sprint("r", i)
				extra := http.Header{}
				if keyed[i] {
					extra["Idempotency-Key"] = []string{"k"}
				}
				err := send(c, methods[i], id, bodies[i], extra, true)
				s.mutex.Lock()
				count := s.requests[id]
				s.mutex.Unlock()
				switch {
				case count > 1, err == nil && count != 1, errors.Is(err, ErrUnsent) && count != 0:
					wrong = append(wrong, fmt.Sprintf("%s %s was sent %d times, error %v", methods[i], id, count, err))
				}
				time.Sleep(time.Duration(idleTimes[i]) * time.Millisecond)
			}
			c.transport.Base.(*http.Transport).CloseIdleConnections()
			time.Sleep(time.Minute)
		})
		require.Empty(t, wrong)
	})
}

func TestConnectionsAreReusedOnlyWithinIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{idleTimeout: 3 * time.Second, header: "timeout=3", requests: map[string]int{}}
		reused := []bool{}
		c := New(Options{Timeout: time.Minute, Dial: s.dial, OnConnection: func(k bool) { reused = append(reused, k) }})
		for i, idle := range []time.Duration{0, 100 * time.Millisecond, 2500 * time.Millisecond, 2900 * time.Millisecond, time.Second} {
			time.Sleep(idle)
			require.NoError(t, send(c, http.MethodPost, fmt.Sprint(i), "b", nil, false))
		}
		require.Equal(t, []bool{false, true, true, false, true}, reused)
		// A request that must not run twice requires a larger margin.
		time.Sleep(2500 * time.Millisecond)
		require.NoError(t, send(c, http.MethodPost, "once", "b", nil, true))
		require.Equal(t, 3, s.dials)
		time.Sleep(time.Minute)
	})
}

func TestEarlyCloseShortensIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{idleTimeout: 300 * time.Millisecond, header: "timeout=5", requests: map[string]int{}}
		c := New(Options{Timeout: time.Minute, Dial: s.dial})
		for i := range 5 {
			require.NoError(t, send(c, http.MethodPost, fmt.Sprint(i), "b", nil, false))
			time.Sleep(time.Second)
		}
		require.Equal(t, 300*time.Millisecond, c.estimatorFor("server:1").Estimate(time.Now()))
		time.Sleep(time.Minute)
	})
}

func TestEstimateUsesMedianOfRecentClosings(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		advertised := time.Duration(rapid.IntRange(1, 50).Draw(t, "told")) * time.Second
		actual := time.Duration(rapid.IntRange(1, 5000).Draw(t, "truth")) * time.Millisecond
		var timeout IdleTimeout
		require.Equal(t, defaultIdleTimeout, timeout.Estimate(now))
		timeout.SetAdvertised(advertised)
		require.Equal(t, advertised, timeout.Estimate(now))
		timeout.ObserveClose(time.Millisecond, now)
		require.Equal(t, advertised, timeout.Estimate(now), "a single closing does not count")
		for range maxClosings {
			now = now.Add(time.Second)
			timeout.ObserveClose(actual, now)
		}
		require.Equal(t, min(advertised, actual), timeout.Estimate(now))
		timeout.ObserveClose(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "lie"))*time.Millisecond, now)
		require.Equal(t, min(advertised, actual), timeout.Estimate(now))
		require.Equal(t, advertised, timeout.Estimate(now.Add(closingTTL)))
	})
}

func TestParseKeepAlive(t *testing.T) {
	for header, timeout := range map[string]time.Duration{
		"timeout=5, max=100": 5 * time.Second, "max=3, Timeout = 2": 2 * time.Second,
		"": 0, "timeout=-1": 0, "timeout=nan": 0, "max=9": 0, "timeout=1e300": 0,
	} {
		require.Equal(t, timeout, ParseKeepAlive(header), header)
	}
}

// Guards against shorter idle timeouts, and so more new connections, after a partition has reset the idle
// connections to a server.
func TestResetConnectionsDoNotShortenIdleTimeout(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			closings := make(chan time.Duration, 1)
			plain, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			far, err := listener.Accept()
			require.NoError(t, err)
			c := newConn(plain)
			c.serverClosed = func(idle time.Duration) { closings <- idle }
			c.release(c.acquire("", time.Minute, false), time.Minute)
			if reset {
				require.NoError(t, far.(*net.TCPConn).SetLinger(0))
			}
			require.NoError(t, far.Close())
			_, err = c.Read(make([]byte, 1))
			require.Error(t, err)
			_ = c.Close()
			require.Len(t, closings, map[bool]int{false: 1, true: 0}[reset])
		})
	}
}

// Guards against a request that could not be written, such as one with a header value that no connection carries, counting
// as one that may have run.
func TestRequestThatCannotBeWrittenIsUnsent(t *testing.T) {
	for name, value := range map[string]string{"line end": "x\n", "carriage return": "x\ry", "zero byte": "x\x00y", "control character": "\x01", "delete": "x\x7f"} {
		for _, atMostOnce := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " at most once ", atMostOnce), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &server{idleTimeout: time.Second, requests: map[string]int{}}
					c := New(Options{Timeout: time.Minute, Dial: s.dial})
					err := send(c, http.MethodPost, "request", "body", http.Header{"Expected": {value}}, atMostOnce)
					require.ErrorIs(t, err, ErrUnsent)
					require.ErrorContains(t, err, "invalid header field value")
					require.Empty(t, s.requests)
				})
			})
		}
	}
}

// Guards against losing what a failure to connect was, by which others tell a server that refuses connections.
func TestErrorOfConnectingIsKept(t *testing.T) {
	failure := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	c := New(Options{Timeout: time.Minute, Dial: func(context.Context, string, string) (net.Conn, error) { return nil, failure }})
	_, err := c.Do(func() *http.Request {
		return &http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: "server:1", Path: "/"}, Header: http.Header{}}
	}, true)
	require.ErrorIs(t, err, ErrUnsent)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	var operation *net.OpError
	require.ErrorAs(t, err, &operation)
}
