// Package keepalive sends HTTP requests on persistent connections, and never
// resends a request of which a byte may have been sent.
//
// A server closes a connection that has been idle for some time, possibly just as
// the next request is written; then it is unknown whether the request ran. The
// client therefore learns each server's idle timeout, reuses a connection only well
// within it, and closes connections that have been idle for longer.
package keepalive

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
)

const (
	// maxIdlePerServer bounds the idle connections to one server.
	idlePerServer = 4
	// transitMargin is left before the end of a server's idle timeout for the request to reach the
	// server.
	crossing = 200 * time.Millisecond
	// onceFraction is the fraction of a server's idle timeout after which a connection is no longer
	// reused for requests that must not run twice.
	onceShare = 0.6
	// maxServers bounds the servers that are remembered. When it is reached, all are forgotten.
	mostServers = 8192
	// maxAttempts bounds the connections that are tried for one request.
	maximumTries = idlePerServer + 2
)

// ErrUnsent reports that a connection failed before any byte of the request was sent.
var ErrUnsent = errors.New("no byte of the request was sent")

// Options configures a Client.
type Options struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// BufferSize is the size of each connection's read and write buffers in bytes.
	BufferSize int
	// OnConnection, if set, is called for each request with whether it reused a connection. It
	// must not block.
	Used func(kept bool)
}

// Client sends requests on persistent connections. It is safe for concurrent use.
type Client struct {
	used   func(kept bool)
	client *http.Client

	mutex sync.Mutex
	lives map[string]*Life
}

// New returns a client without connections.
func New(options Options) *Client {
	c := &Client{used: options.Used, lives: map[string]*Life{}}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			plain, err := options.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: plain, closed: func(rested time.Duration) { c.closed(address, rested) }}, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerServer,
		ReadBufferSize:      options.BufferSize,
		WriteBufferSize:     options.BufferSize,
	}
	c.client = &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Do sends the request that build returns. It calls build again if a connection turned out to be
// closed before any byte of the request was sent. The body must not be replayable, so that
// net/http does not resend a request by itself. Once says that the request must not run twice.
//
// ErrUnsent and dial errors guarantee that nothing was sent.
func (c *Client) Do(build func() *http.Request, once bool) (*http.Response, error) {
	for try := 1; ; try++ {
		request := build()
		u := &use{client: c, address: request.URL.Host, once: once, fresh: once && replayable(request)}
		traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: u.begin, PutIdleConn: u.end})
		response, err := c.client.Do(request.WithContext(traced))
		switch {
		case err == nil:
			c.heard(u.address, response.Header.Get("Keep-Alive"))
			return response, nil
		case !u.unsent() || request.Context().Err() != nil:
			return nil, err
		case try == maximumTries:
			return nil, errors.Annotate(ErrUnsent, err.Error())
		}
	}
}

// replayable reports whether net/http would resend the request by itself if a reused connection
// failed.
func replayable(request *http.Request) bool {
	if request.Body != nil && request.Body != http.NoBody {
		return request.GetBody != nil
	}
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return len(request.Header["Idempotency-Key"])+len(request.Header["X-Idempotency-Key"]) > 0
}

// use is one request's use of a connection.
type use struct {
	client  *Client
	address string
	once    bool
	// needsNew says that the request must not reuse a connection.
	fresh bool

	mutex  sync.Mutex
	conn   *conn
	number int
}

func (u *use) begin(got httptrace.GotConnInfo) {
	taken, known := got.Conn.(*conn)
	if !known {
		return
	}
	number := taken.begin(u.client.limit(u.address, u.once), u.fresh && got.Reused)
	if u.client.used != nil {
		u.client.used(got.Reused)
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.conn, u.number = taken, number
}

// finish marks the connection as idle, unless err says that it was not returned to the pool.
func (u *use) end(err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if err == nil && u.conn != nil {
		u.conn.rest(u.number, u.client.limit(u.address, false))
	}
}

// unsent reports whether the request got a connection and no byte was sent on it.
func (u *use) unsent() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.conn != nil && u.conn.unsent()
}

// timeoutOf returns the estimator of a server's idle timeout. The caller holds the mutex.
func (c *Client) life(address string) *Life {
	known := c.lives[address]
	if known == nil {
		if len(c.lives) >= mostServers {
			clear(c.lives)
		}
		known = &Life{}
		c.lives[address] = known
	}
	return known
}

// maxIdle returns how long a connection may have been idle to be reused.
func (c *Client) limit(address string, once bool) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	life := c.life(address).At(boottime.Now())
	limit := max(life/2, life-crossing)
	if once {
		limit = min(limit, time.Duration(onceShare*float64(life)))
	}
	return limit
}

func (c *Client) heard(address, header string) {
	told := ToldLife(header)
	if told == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.life(address).Told(told)
}

func (c *Client) closed(address string, rested time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.life(address).Closed(rested, boottime.Now())
}
