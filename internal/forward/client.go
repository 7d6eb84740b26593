package forward

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/keepalive"
	"github.com/cloverrail/cloverrail/internal/outbound"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

const (
	// maxPeersPerAttempt bounds the nodes that one attempt is offered to.
	maxPeersPerAttempt = 3
	// maxResponseBytes bounds the head of a response, with a buffered body.
	maxResponseBytes = 32 << 20
	// defaultTimeout bounds a call to another node that is not an attempt with a deadline.
	defaultTimeout = time.Second
	// deadlineMargin is added to the deadline of an attempt, which its caller ends by itself.
	deadlineMargin = time.Second
)

// Client sends attempts through other nodes.
type Client struct {
	node     string
	peers    *Peers
	client   *keepalive.Client
	memory   *admission.MemoryBudget
	onNotice func(notice proxy.ServerNotice)
	onResult func(result Result)
}

// Result is the outcome of offering an attempt to another node.
type Result struct {
	RequestID string
	Server    string
	Node      string
	// Offered is the number of nodes that the attempt has been offered to.
	Offered int
	// Err is nil if the node has passed on a response of the server.
	Err error
}

// NewClient returns the client of a node. dial opens the connections to other nodes, and memory bounds what their responses
// hold; nil means no bound. onNotice is called with what servers report of themselves,
// and onResult with the result of each offer. They must not block.
func NewClient(node string, peers *Peers, dial func(ctx context.Context, network, address string) (net.Conn, error), memory *admission.MemoryBudget, onNotice func(proxy.ServerNotice), onResult func(Result)) *Client {
	return &Client{node: node, peers: peers, memory: memory, client: keepalive.New(keepalive.Options{Dial: dial, Timeout: defaultTimeout}), onNotice: onNotice, onResult: onResult}
}

// Forward sends an attempt on a server in a zone through another node. It returns the errors of
// proxy.Servers.Send; ErrUnreached means that none of the nodes that were asked reached the server,
// or that there are none. After an error by which the attempt may have run, no other node is asked.
func (c *Client) Forward(ctx context.Context, dispatch proxy.Dispatch, zone string) (*exchange.Reply, error) {
	body := bytes.Buffer{}
	if err := gob.NewEncoder(&body).Encode(newWireAttempt(c.node, dispatch)); err != nil {
		return nil, &exchange.ErrWithdrawn{Reason: err.Error()}
	}
	ctx = outbound.WithTimeout(ctx, boottime.Until(dispatch.Deadline)+deadlineMargin)
	var excluded []string
	reason := "no other node is available"
	for offered := 1; offered <= maxPeersPerAttempt && ctx.Err() == nil; offered++ {
		use := c.peers.choose(dispatch.Server, zone, excluded, boottime.Now())
		if use == nil {
			break
		}
		excluded = append(excluded, use.node.Name)
		reply, err := c.offer(ctx, use, body.Bytes(), keepalive.ReuseFor(dispatch.Resumes, dispatch.Repeatable))
		c.onResult(Result{RequestID: dispatch.Request.ID, Server: dispatch.Server, Node: use.node.Name, Offered: offered, Err: err})
		if err == nil {
			return reply, nil
		}
		use.end()
		var unreached *exchange.ErrUnreached
		var unavailable *proxy.ErrUnavailable
		if !errors.As(err, &unreached) && !errors.As(err, &unavailable) {
			return nil, err
		}
		reason = "node " + use.node.Name + ": " + err.Error()
	}
	return nil, &exchange.ErrUnreached{Reason: "neither this node nor others reach the server: " + reason, ByPeer: len(excluded) > 0}
}

// Available reports whether any node may be asked to forward an attempt now.
func (c *Client) Available() bool { return c.peers.available(boottime.Now()) }

// offer sends an attempt to one node. If it returns a reply, the use ends when that is closed.
func (c *Client) offer(ctx context.Context, use *use, body []byte, reuse keepalive.Reuse) (*exchange.Reply, error) {
	build := func() *http.Request {
		request := &http.Request{
			Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: use.node.Address, Path: Path}, Header: http.Header{"User-Agent": nil},
			Body: singleUseBody{bytes.NewReader(body)}, ContentLength: int64(len(body)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		}
		return request.WithContext(ctx)
	}
	response, _, err := c.client.DoOn(build, reuse)
	if err != nil {
		return nil, c.failed(ctx, use, err)
	}
	reply, err := c.readReply(response, use)
	if err != nil {
		response.Body.Close()
	}
	return reply, err
}

// failed records that calling a node has failed, and returns the error of the attempt.
func (c *Client) failed(ctx context.Context, use *use, err error) error {
	if ctx.Err() != nil {
		return err
	}
	use.failed(boottime.Now())
	var operation *net.OpError
	if errors.Is(err, keepalive.ErrUnsent) || errors.As(err, &operation) && operation.Op == "dial" {
		return &proxy.ErrUnavailable{Reason: err.Error()}
	}
	return errors.Annotatef(err, "node %s failed while it forwarded the attempt", use.node.Name)
}

// readReply reads the head of a response.
func (c *Client) readReply(response *http.Response, use *use) (*exchange.Reply, error) {
	if response.StatusCode != http.StatusOK {
		// The handler does not run the attempt then; builds without it have no such path.
		use.failed(boottime.Now())
		return nil, &proxy.ErrUnavailable{Reason: "it responded with status " + response.Status}
	}
	hold := c.memory.HoldResponse()
	held := &admission.HeldReader{Source: response.Body, Hold: hold, Limit: maxResponseBytes}
	reply, err := c.readHeld(response, held, use)
	if err != nil {
		hold.Release()
	}
	return reply, err
}

// readHeld reads the head of a response whose bytes are held.
func (c *Client) readHeld(response *http.Response, held *admission.HeldReader, use *use) (*exchange.Reply, error) {
	decoder := gob.NewDecoder(held)
	var head wireHead
	if err := decoder.Decode(&head); err != nil {
		return nil, c.failed(response.Request.Context(), use, err)
	}
	now := boottime.Now()
	for _, n := range head.Notices {
		c.onNotice(n.notice(now))
	}
	if err := head.Error.err(); err != nil {
		recordError(use, err, now)
		return nil, err
	}
	use.answered()
	if head.Header == nil {
		head.Header = http.Header{}
	}
	reply := &exchange.Reply{Status: head.Status, Header: head.Header, ConfirmedByPeer: head.Confirmed, EndsWithConnection: head.EndsWithConnection, Close: func() { use.end() }}
	if !head.Stream {
		response.Body.Close()
		use.end()
		reply.Complete = &exchange.Answer{Status: head.Status, Header: head.Header, Body: head.Body, Release: held.Hold.Release}
		return reply, nil
	}
	reply.Close = func() {
		use.end()
		response.Body.Close()
		held.Hold.Release()
	}
	hasContent := !head.EndsWithConnection
	reply.Next = func() (exchange.StreamEvent, error) {
		held.Reset()
		var event wireEvent
		if err := decoder.Decode(&event); err != nil {
			return exchange.StreamEvent{}, c.failed(response.Request.Context(), use, noEOF(err))
		}
		if event.End && !hasContent {
			// Former builds pass the end of such a continuation on.
			return exchange.StreamEvent{}, &exchange.ErrCutOff{Reason: "the connection ended before the first event"}
		}
		hasContent = true
		next, err := event.streamEvent()
		if pathFailed(err) {
			use.unreached(boottime.Now())
		}
		return next, err
	}
	return reply, nil
}

// recordError records what the error of a forwarded attempt says of the node.
func recordError(use *use, err error, now time.Time) {
	var unreached *exchange.ErrUnreached
	var unavailable *proxy.ErrUnavailable
	switch {
	case errors.As(err, &unreached) || pathFailed(err):
		use.unreached(now)
	case errors.As(err, &unavailable):
		use.failed(now)
	default:
		use.answered()
	}
}

// pathFailed reports whether an error means that the path of the other node has failed.
func pathFailed(err error) bool {
	var failed *exchange.ErrPathFailed
	return errors.As(err, &failed)
}

// noEOF replaces the end of a connection, since only a wireEvent with End ends a stream.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// singleUseBody is a body without GetBody, so that net/http never sends it again by itself.
type singleUseBody struct{ io.Reader }

// Close does nothing.
func (singleUseBody) Close() error { return nil }
