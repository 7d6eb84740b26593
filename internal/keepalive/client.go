// Package keepalive sends HTTP requests on persistent connections, and never
// resends a request of which a byte may have been sent. No connection carries a
// request twice.
//
// A server closes a connection that has been idle for some time, possibly just as
// the next request is written; then it is unknown whether the request ran. The
// client therefore learns each server's idle timeout, reuses a connection only well
// within it, and closes connections that have been idle for longer.
package keepalive

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/outbound"
)

const (
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 4
	// transitMargin is left before the end of a server's idle timeout for the request to reach the
	// server.
	transitMargin = 200 * time.Millisecond
	// atMostOnceFraction is the fraction of a server's idle timeout after which a connection is no longer
	// reused for requests that must not run twice.
	atMostOnceFraction = 0.6
	// maxServers bounds the servers that are remembered. When it is reached, all are forgotten.
	maxServers = 8192
	// maxAttempts bounds the connections that are tried for one request.
	maxAttempts = maxIdlePerServer + 2
)

// ErrUnsent reports that a request failed before any byte of it was sent: it could not be written, or there was no
// connection, whose error is kept.
var ErrUnsent = errors.New("no byte of the request was sent")

// Reuse says which open connections a request may use.
type Reuse int

const (
	// ReuseAny allows all that are expected to be open.
	ReuseAny Reuse = iota
	// ReuseRecent allows those that are certainly open, for requests that must not run twice.
	ReuseRecent
	// ReuseNone allows none: a server may have forgotten an idle connection, and resets it then.
	ReuseNone
)

// ReuseFor returns which open connections an attempt may use. One that continues a stream gets a new one: the caller has
// events already, and few further attempts are left if it is reset.
func ReuseFor(continues, repeatable bool) Reuse {
	switch {
	case continues:
		return ReuseNone
	case !repeatable:
		return ReuseRecent
	default:
		return ReuseAny
	}
}

// Options configures a Client.
type Options struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout bounds each request, and must be positive. Those with a context of outbound.WithTimeout have
	// their own bound.
	Timeout time.Duration
	// BufferSize is the size of each connection's read and write buffers in bytes.
	BufferSize int
	// OnConnection, if set, is called for each request with whether it reused a connection. It
	// must not block.
	OnConnection func(kept bool)
	// IDHeader is the header of a request's ID, which servers repeat in their responses; "" means that requests have none.
	IDHeader string
	// OnRepeat, if set, is called with the address of a server and the ID of a request that needs another connection, as the
	// one it got has carried it before. It must not block.
	OnRepeat func(address, id string)
	// OnSurplus, if set, is called with the address of a server that has sent a response too many, which was not used. It must
	// not block.
	OnSurplus func(address string, kind Surplus)
}

// Client sends requests on persistent connections. It is safe for concurrent use.
type Client struct {
	onConnection func(kept bool)
	idHeader     string
	onRepeat     func(address, id string)
	// transport is used without an http.Client, which fails responses with a malformed Location header.
	transport *outbound.Transport
	// newTransport returns a transport without connections. An idle timeout of 0 means no bound.
	newTransport func(idleTimeout time.Duration) *outbound.Transport
	lingerers    lingerers

	mutex        sync.Mutex
	idleTimeouts map[string]*IdleTimeout
}

// New returns a client without connections.
func New(options Options) *Client {
	c := &Client{onConnection: options.OnConnection, idHeader: options.IDHeader, onRepeat: options.OnRepeat, idleTimeouts: map[string]*IdleTimeout{}}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := options.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		opened := newConn(plain)
		opened.lingerers, opened.idHeader = &c.lingerers, c.idHeader
		opened.serverClosed = func(idle time.Duration) { c.serverClosed(address, idle) }
		if options.OnSurplus != nil {
			opened.onSurplus = func(kind Surplus) { options.OnSurplus(address, kind) }
		}
		return opened, nil
	}
	c.newTransport = func(idleTimeout time.Duration) *outbound.Transport {
		base := &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			MaxResponseHeaderBytes: outbound.MaxHeaderBytes,
			MaxIdleConnsPerHost:    maxIdlePerServer,
			IdleConnTimeout:        idleTimeout,
			ReadBufferSize:         options.BufferSize,
			WriteBufferSize:        options.BufferSize,
		}
		return &outbound.Transport{Base: base, Timeout: options.Timeout}
	}
	c.transport = c.newTransport(0)
	return c
}

// Do sends the request that build returns. It calls build again if a connection turned out to be
// closed before any byte of the request was sent. The body must not be replayable, so that
// net/http does not resend a request by itself. AtMostOnce says that the request must not run twice.
//
// ErrUnsent and dial errors guarantee that nothing was sent.
func (c *Client) Do(build func() *http.Request, atMostOnce bool) (*http.Response, error) {
	reuse := ReuseAny
	if atMostOnce {
		reuse = ReuseRecent
	}
	response, _, err := c.DoOn(build, reuse)
	return response, err
}

// DoOn is like Do, and also returns when the connection was established on which the response arrives.
func (c *Client) DoOn(build func() *http.Request, reuse Reuse) (response *http.Response, connectedAt time.Time, err error) {
	for attempt := 1; ; attempt++ {
		request, transport := build(), c.transport
		// The last attempt cannot meet another connection that it may not use.
		needsNew := reuse == ReuseNone || reuse == ReuseRecent && replayable(request) || attempt == maxAttempts
		if needsNew {
			// A shared transport may hand out a connection that is returned while the new one is opened.
			transport = c.newTransport(defaultIdleTimeout)
		}
		u := &use{client: c, address: request.URL.Host, id: c.idOf(request), method: request.Method, atMostOnce: reuse == ReuseRecent, single: needsNew, completion: outbound.CompletionOf(request.Context())}
		traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: u.acquire, PutIdleConn: u.finish})
		response, err = transport.RoundTrip(request.WithContext(traced))
		switch {
		case err == nil:
			c.observeHeader(u.address, response.Header.Get("Keep-Alive"))
			return response, u.connectedAt(), nil
		case request.Context().Err() != nil:
			return nil, time.Time{}, err
		case !u.connected():
			// No connection would take the request, or there is none. Another attempt would end in the same way.
			return nil, time.Time{}, fmt.Errorf("%w: %w", ErrUnsent, err)
		case !u.unsent():
			return nil, time.Time{}, err
		case attempt == maxAttempts:
			return nil, time.Time{}, errors.Annotate(ErrUnsent, err.Error())
		}
	}
}

// idOf returns the ID of a request, or "" if it has none.
func (c *Client) idOf(request *http.Request) string {
	if c.idHeader == "" {
		return ""
	}
	return request.Header.Get(c.idHeader)
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
	// id is that of the request; "" if it has none.
	id         string
	method     string
	atMostOnce bool
	// single says that the connection is closed after the request. The request needs a new one: it may not reuse any, or
	// net/http would resend it by itself if a reused one failed.
	single bool
	// completion, if set, tracks when the server has ended the request.
	completion *outbound.Completion

	mutex sync.Mutex
	// gotConn says that the request got a connection, which is conn.
	gotConn bool
	conn    *conn
	number  int
}

func (u *use) acquire(got httptrace.GotConnInfo) {
	u.mutex.Lock()
	u.gotConn = true
	u.mutex.Unlock()
	taken, known := got.Conn.(*conn)
	if !known {
		return
	}
	if got.Reused {
		taken.awaitReader()
	}
	repeats, carries := taken.carry(u.id, u.method)
	if repeats && u.client.onRepeat != nil {
		u.client.onRepeat(u.address, u.id)
	}
	number := taken.acquire(u.id, u.client.maxIdle(u.address, u.atMostOnce), !carries || u.single && got.Reused)
	if completed := taken.currentCompletion(); u.completion != nil && completed != nil {
		u.completion.Begin(completed.done, func() outbound.CompletionResult { return completed.result }, taken.closeAcknowledged)
	}
	if u.client.onConnection != nil {
		u.client.onConnection(got.Reused)
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.conn, u.number = taken, number
}

// finish marks the connection as idle, unless err says that it was not returned to the pool.
func (u *use) finish(err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if err != nil || u.conn == nil {
		return
	}
	timeout := u.client.maxIdle(u.address, false)
	if u.single {
		timeout = 0
	}
	u.conn.release(u.number, timeout)
}

// connectedAt returns when the connection was established, or zero if there is none.
func (u *use) connectedAt() time.Time {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.conn == nil {
		return time.Time{}
	}
	return u.conn.connectedAt
}

// connected reports whether the request got a connection.
func (u *use) connected() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.gotConn
}

// unsent reports whether the request got a connection and no byte was sent on it.
func (u *use) unsent() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.conn != nil && u.conn.unsent()
}

// estimatorFor returns the estimator of a server's idle timeout. The caller holds the mutex.
func (c *Client) estimatorFor(address string) *IdleTimeout {
	estimator := c.idleTimeouts[address]
	if estimator == nil {
		if len(c.idleTimeouts) >= maxServers {
			clear(c.idleTimeouts)
		}
		estimator = &IdleTimeout{}
		c.idleTimeouts[address] = estimator
	}
	return estimator
}

// maxIdle returns how long a connection may have been idle to be reused.
func (c *Client) maxIdle(address string, atMostOnce bool) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	timeout := c.estimatorFor(address).Estimate(boottime.Now())
	limit := max(timeout/2, timeout-transitMargin)
	if atMostOnce {
		limit = min(limit, time.Duration(atMostOnceFraction*float64(timeout)))
	}
	return limit
}

func (c *Client) observeHeader(address, header string) {
	advertised := ParseKeepAlive(header)
	if advertised == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.estimatorFor(address).SetAdvertised(advertised)
}

func (c *Client) serverClosed(address string, idle time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.estimatorFor(address).ObserveClose(idle, boottime.Now())
}
