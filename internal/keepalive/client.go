// Package keepalive sends HTTP requests on connections that are kept open between
// requests, without ever sending one again of which a byte may have left.
//
// A server closes a connection that has rested for a time, maybe at the very
// moment in which the next request is written: then nobody can tell whether it
// ran. So the client learns each server's time, uses a connection only well
// inside it, and closes what has rested longer.
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
	// idlePerServer is how many resting connections one server may have from here.
	idlePerServer = 4
	// crossing is kept free at the end of a server's time for the request's way
	// to it.
	crossing = 200 * time.Millisecond
	// onceShare is the share of a server's time after which a connection is not
	// used any more for what must not run twice.
	onceShare = 0.6
	// mostServers bounds the servers that are remembered. Above it, all are forgotten.
	mostServers = 8192
	// maximumTries bounds the connections that are tried for one request.
	maximumTries = idlePerServer + 2
)

// ErrUnsent says that a connection failed before a byte of the request had left.
var ErrUnsent = errors.New("no byte of the request was sent")

// Options are the parts of a client.
type Options struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// BufferSize is that of a connection's reader and of its writer, in bytes.
	BufferSize int
	// Used, if set, hears for each request whether its connection was kept. It must
	// not block.
	Used func(kept bool)
}

// Client sends requests. It is safe for concurrent use.
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

// Do sends the request that build returns. Build is called again if a connection
// turned out to be closed before a byte of the request had left; the library must
// not send a request again by itself, so its body must not be one that can be read
// twice. Once says that the request must not run twice.
//
// An error that is ErrUnsent, or that of a dial, promises that nothing was sent.
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

// replayable reports whether the library would send the request again by itself
// if a kept connection broke under it.
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
	// fresh says that only a new connection will do.
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

// end hears that the connection rests now, or that it was given up.
func (u *use) end(err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if err == nil && u.conn != nil {
		u.conn.rest(u.number, u.client.limit(u.address, false))
	}
}

// unsent reports whether a connection was there and no byte has left on it.
func (u *use) unsent() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.conn != nil && u.conn.unsent()
}

// life returns what is known of a server.
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

// limit is how long a connection may have rested to be used.
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
