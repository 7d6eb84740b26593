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
	maximumMessage = 16 << 20
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = time.Second
	idleTimeout    = time.Minute
	idlePerPeer    = 4
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
	source io.Reader
	left   int
}

func (reader *boundedReader) Read(data []byte) (int, error) {
	if reader.left <= 0 {
		return 0, errors.Errorf("message exceeds %d bytes", maximumMessage)
	}
	count, err := reader.source.Read(data[:min(len(data), reader.left)])
	reader.left -= count
	return count, err
}

type connection struct {
	net.Conn
	reader  *boundedReader
	encoder *gob.Encoder
	decoder *gob.Decoder
	used    time.Time
}

func newConnection(socket net.Conn) *connection {
	reader := &boundedReader{source: socket, left: maximumMessage}
	return &connection{Conn: socket, reader: reader, encoder: gob.NewEncoder(socket), decoder: gob.NewDecoder(reader)}
}

func (connection *connection) receive() (envelope, error) {
	connection.reader.left = maximumMessage
	var message envelope
	err := connection.decoder.Decode(&message)
	return message, err
}

// Client sends requests to other nodes over pooled connections.
type Caller struct {
	credentials *Credentials
	mutex       sync.Mutex
	idle        map[string][]*connection
	blocked     func(address string) bool
}

// NewClient returns a client. Tests use blocked, which may be nil, to simulate
// network partitions.
func NewCaller(credentials *Credentials, blocked func(address string) bool) *Caller {
	return &Caller{credentials: credentials, idle: map[string][]*connection{}, blocked: blocked}
}

// Call sends one request and waits for the response. It may send the request
// twice, and after an error the peer may have processed it, so requests must be
// idempotent.
func (caller *Caller) Call(ctx context.Context, address string, request any) (any, error) {
	if caller.blocked != nil && caller.blocked(address) {
		return nil, errors.Errorf("no path to %s: address blocked", address)
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	kept := caller.take(address)
	if kept != nil {
		if answer, err := exchange(ctx, kept, request); err == nil {
			return caller.finish(address, kept, answer)
		}
		_ = kept.Close()
		if ctx.Err() != nil {
			return nil, errors.Trace(ctx.Err())
		}
		// The peer may have closed the idle connection, so retry on a new one.
	}
	fresh, err := caller.dial(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(err, "cannot connect to %s", address)
	}
	answer, err := exchange(ctx, fresh, request)
	if err != nil {
		_ = fresh.Close()
		return nil, errors.Annotatef(err, "no response from %s", address)
	}
	return caller.finish(address, fresh, answer)
}

func exchange(ctx context.Context, connection *connection, request any) (envelope, error) {
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

func (caller *Caller) finish(address string, connection *connection, answer envelope) (any, error) {
	caller.keep(address, connection)
	if answer.Problem != "" {
		return nil, errors.New(answer.Problem)
	}
	return answer.Body, nil
}

func (caller *Caller) dial(ctx context.Context, address string) (*connection, error) {
	dialer := &tls.Dialer{Config: caller.credentials.config}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConnection(socket), nil
}

func (caller *Caller) take(address string) *connection {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	kept := caller.idle[address]
	for len(kept) > 0 {
		last := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		caller.idle[address] = kept
		if time.Since(last.used) < idleTimeout {
			return last
		}
		_ = last.Close()
	}
	return nil
}

func (caller *Caller) keep(address string, connection *connection) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if len(caller.idle[address]) >= idlePerPeer {
		_ = connection.Close()
		return
	}
	connection.used = time.Now()
	caller.idle[address] = append(caller.idle[address], connection)
}

// Serve handles calls on a listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, credentials *Credentials, handler Handler) {
	secure := tls.NewListener(listener, credentials.config)
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
		go serveConnection(ctx, newConnection(socket), handler)
	}
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
		answer := envelope{}
		answer.Body, err = handler(ctx, request.Body)
		if err != nil {
			answer = envelope{Problem: err.Error()}
		}
		_ = connection.SetDeadline(time.Now().Add(DefaultTimeout))
		if connection.encoder.Encode(answer) != nil {
			return
		}
	}
}
