package peer

import (
	"context"
	"crypto/tls"
	"encoding/gob"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// maxMessageBytes bounds the size of one message.
	maxMessageBytes = 16 << 20
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = time.Second
	idleTimeout    = time.Minute
	// handshakeTimeout bounds the time in which a client must prove that it belongs to the fleet.
	handshakeTimeout = 5 * time.Second
	maxIdlePerPeer   = 4
)

// Handler handles one request. The types of requests and responses must be
// registered with gob.
type Handler func(ctx context.Context, request any) (any, error)

// envelope is the encoded message. If a call failed, Problem is set instead of
// Body.
type envelope struct {
	Body    any
	Problem string
}

// boundedReader limits the size of one message.
type boundedReader struct {
	source    io.Reader
	remaining int
}

func (reader *boundedReader) Read(data []byte) (int, error) {
	if reader.remaining <= 0 {
		return 0, errors.Errorf("message exceeds %d bytes", maxMessageBytes)
	}
	count, err := reader.source.Read(data[:min(len(data), reader.remaining)])
	reader.remaining -= count
	return count, err
}

type connection struct {
	net.Conn
	reader     *boundedReader
	encoder    *gob.Encoder
	decoder    *gob.Decoder
	lastUsedAt time.Time
}

func newConnection(socket net.Conn) *connection {
	reader := &boundedReader{source: socket, remaining: maxMessageBytes}
	return &connection{Conn: socket, reader: reader, encoder: gob.NewEncoder(socket), decoder: gob.NewDecoder(reader)}
}

func (connection *connection) receive() (envelope, error) {
	connection.reader.remaining = maxMessageBytes
	var message envelope
	err := connection.decoder.Decode(&message)
	return message, err
}

// Client sends requests to other nodes over pooled connections.
type Client struct {
	credentials *Credentials
	mutex       sync.Mutex
	idle        map[string][]*connection
	blocked     func(address string) bool
}

// NewClient returns a client. Tests use blocked, which may be nil, to simulate
// network partitions.
func NewClient(credentials *Credentials, blocked func(address string) bool) *Client {
	return &Client{credentials: credentials, idle: map[string][]*connection{}, blocked: blocked}
}

// Call sends one request and waits for the response. It may send the request
// twice, and after an error the peer may have processed it, so requests must be
// idempotent.
func (client *Client) Call(ctx context.Context, address string, request any) (any, error) {
	if client.blocked != nil && client.blocked(address) {
		return nil, errors.Errorf("no path to %s: address blocked", address)
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	pooled := client.takeIdle(address)
	if pooled != nil {
		if response, err := roundTrip(ctx, pooled, request); err == nil {
			return client.completeCall(address, pooled, response)
		}
		_ = pooled.Close()
		if ctx.Err() != nil {
			return nil, errors.Trace(ctx.Err())
		}
		// The peer may have closed the idle connection, so retry on a new one.
	}
	fresh, err := client.dial(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(err, "cannot connect to %s", address)
	}
	response, err := roundTrip(ctx, fresh, request)
	if err != nil {
		_ = fresh.Close()
		return nil, errors.Annotatef(err, "no response from %s", address)
	}
	return client.completeCall(address, fresh, response)
}

func roundTrip(ctx context.Context, connection *connection, request any) (envelope, error) {
	deadline, _ := ctx.Deadline()
	if err := connection.SetDeadline(deadline); err != nil {
		return envelope{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := connection.encoder.Encode(envelope{Body: request}); err != nil {
		return envelope{}, err
	}
	return connection.receive()
}

func (client *Client) completeCall(address string, connection *connection, response envelope) (any, error) {
	client.putIdle(address, connection)
	if response.Problem != "" {
		return nil, errors.New(response.Problem)
	}
	return response.Body, nil
}

func (client *Client) dial(ctx context.Context, address string) (*connection, error) {
	dialer := &tls.Dialer{Config: client.credentials.tlsConfig}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConnection(socket), nil
}

func (client *Client) takeIdle(address string) *connection {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	idle := client.idle[address]
	for len(idle) > 0 {
		last := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		client.idle[address] = idle
		if time.Since(last.lastUsedAt) < idleTimeout {
			return last
		}
		_ = last.Close()
	}
	return nil
}

func (client *Client) putIdle(address string, connection *connection) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if len(client.idle[address]) >= maxIdlePerPeer {
		_ = connection.Close()
		return
	}
	connection.lastUsedAt = time.Now()
	client.idle[address] = append(client.idle[address], connection)
}

// Serve handles calls on a listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, credentials *Credentials, handler Handler) {
	secure := tls.NewListener(listener, credentials.tlsConfig)
	context.AfterFunc(ctx, func() { _ = secure.Close() })
	for {
		socket, err := secure.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go func() {
			if shakeHands(ctx, socket) == nil {
				serveConnection(ctx, newConnection(socket), handler)
			}
		}()
	}
}

// shakeHands authenticates the client of a connection, or closes it.
func shakeHands(ctx context.Context, socket net.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	err := socket.(*tls.Conn).HandshakeContext(ctx)
	if err != nil {
		_ = socket.Close()
	}
	return err
}

func serveConnection(ctx context.Context, connection *connection, handler Handler) {
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	for {
		_ = connection.SetDeadline(time.Now().Add(2 * idleTimeout))
		request, err := connection.receive()
		if err != nil {
			return
		}
		response := envelope{}
		response.Body, err = handler(ctx, request.Body)
		if err != nil {
			response = envelope{Problem: err.Error()}
		}
		_ = connection.SetDeadline(time.Now().Add(DefaultTimeout))
		if connection.encoder.Encode(response) != nil {
			return
		}
	}
}
