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
	idle   time.Duration
	header string
	// fails reports for each request in turn whether its connection is closed before the response.
	breaks func() bool

	mutex sync.Mutex
	// requests counts the requests by id.
	got map[string]int
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
		_ = far.SetReadDeadline(time.Now().Add(s.idle))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if s.note(request.Header.Get("Id")) {
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

func (s *server) note(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.got[id]++
	return s.breaks != nil && s.breaks()
}

// send sends one request and reads its response.
func send(c *Client, method, id, body string, header http.Header, once bool) error {
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
	}, once)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	// The connection becomes idle after the end of the body.
	synctest.Wait()
	return err
}

func TestNoRequestIsSentTwiceWhateverConnectionsDo(outer *testing.T) {
	property.Check(outer, func(t *rapid.T) {
		idle := time.Duration(rapid.IntRange(50, 3000).Draw(t, "idle")) * time.Millisecond
		header := rapid.SampledFrom([]string{"", "timeout=1", "timeout=3", "timeout=60", "timeout=x"}).Draw(t, "header")
		broken := rapid.SliceOfN(rapid.Bool(), 20, 20).Draw(t, "broken")
		methods := rapid.SliceOfN(rapid.SampledFrom([]string{http.MethodPost, http.MethodGet}), 20, 20).Draw(t, "methods")
		bodies := rapid.SliceOfN(rapid.SampledFrom([]string{"", "body"}), 20, 20).Draw(t, "bodies")
		keyed := rapid.SliceOfN(rapid.Bool(), 20, 20).Draw(t, "keyed")
		rests := rapid.SliceOfN(rapid.IntRange(0, 4000), 20, 20).Draw(t, "rests")
		var wrong []string
		synctest.Test(outer, func(*testing.T) {
			turn := 0
			s := &server{idle: idle, header: header, got: map[string]int{}, breaks: func() bool { turn++; return broken[turn%20] }}
			c := New(Options{Dial: s.dial})
			for i := range 20 {
				id := fmt.Sprint("r", i)
				extra := http.Header{}
				if keyed[i] {
					extra["Idempotency-Key"] = []string{"k"}
				}
				err := send(c, methods[i], id, bodies[i], extra, true)
				s.mutex.Lock()
				count := s.got[id]
				s.mutex.Unlock()
				switch {
				case count > 1, err == nil && count != 1, errors.Is(err, ErrUnsent) && count != 0:
					wrong = append(wrong, fmt.Sprintf("%s %s was sent %d times, error %v", methods[i], id, count, err))
				}
				time.Sleep(time.Duration(rests[i]) * time.Millisecond)
			}
			c.client.CloseIdleConnections()
			time.Sleep(time.Minute)
		})
		require.Empty(t, wrong)
	})
}

func TestConnectionsAreKeptInsideTheServersTimeOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{idle: 3 * time.Second, header: "timeout=3", got: map[string]int{}}
		kept := []bool{}
		c := New(Options{Dial: s.dial, Used: func(k bool) { kept = append(kept, k) }})
		for i, rest := range []time.Duration{0, 100 * time.Millisecond, 2500 * time.Millisecond, 2900 * time.Millisecond, time.Second} {
			time.Sleep(rest)
			require.NoError(t, send(c, http.MethodPost, fmt.Sprint(i), "b", nil, false))
		}
		require.Equal(t, []bool{false, true, true, false, true}, kept)
		// A request that must not run twice requires a larger margin.
		time.Sleep(2500 * time.Millisecond)
		require.NoError(t, send(c, http.MethodPost, "once", "b", nil, true))
		require.Equal(t, 3, s.dials)
		time.Sleep(time.Minute)
	})
}

func TestAServerThatClosesEarlyIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{idle: 300 * time.Millisecond, header: "timeout=5", got: map[string]int{}}
		c := New(Options{Dial: s.dial})
		for i := range 5 {
			require.NoError(t, send(c, http.MethodPost, fmt.Sprint(i), "b", nil, false))
			time.Sleep(time.Second)
		}
		require.Equal(t, 300*time.Millisecond, c.life("server:1").At(time.Now()))
		time.Sleep(time.Minute)
	})
}

func TestTheEstimateConvergesForgetsAndIsNotMovedByOneLiar(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		told := time.Duration(rapid.IntRange(1, 50).Draw(t, "told")) * time.Second
		truth := time.Duration(rapid.IntRange(1, 5000).Draw(t, "truth")) * time.Millisecond
		var l Life
		require.Equal(t, assumedLife, l.At(now))
		l.Told(told)
		require.Equal(t, told, l.At(now))
		l.Closed(time.Millisecond, now)
		require.Equal(t, told, l.At(now), "a single closing does not count")
		for range mostClosings {
			now = now.Add(time.Second)
			l.Closed(truth, now)
		}
		require.Equal(t, min(told, truth), l.At(now))
		l.Closed(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "lie"))*time.Millisecond, now)
		require.Equal(t, min(told, truth), l.At(now))
		require.Equal(t, told, l.At(now.Add(closingLife)))
	})
}

func TestTheServersWordIsRead(t *testing.T) {
	for header, life := range map[string]time.Duration{
		"timeout=5, max=100": 5 * time.Second, "max=3, Timeout = 2": 2 * time.Second,
		"": 0, "timeout=-1": 0, "timeout=nan": 0, "max=9": 0, "timeout=1e300": 0,
	} {
		require.Equal(t, life, ToldLife(header), header)
	}
}
