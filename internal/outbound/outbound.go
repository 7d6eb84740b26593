// Package outbound bounds the calls that this process makes to others: the shared store, servers and
// other nodes. The bound is part of the transport, so that no call can be made without one.
package outbound

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
)

// MaxHeaderBytes bounds the head of a response in bytes, which the library reads whole before it returns the response.
const MaxHeaderBytes = 64 << 10

// maxBodyBytes bounds the body of the response to a call of this process's own.
const maxBodyBytes = 32 << 20

// ErrBodyTooLarge is the error of reading the body of a response beyond its bound.
var ErrBodyTooLarge = errors.New("the body of the response exceeds the bound of 32 MiB; let the called service send less at a time")

// Transport ends each call after a timeout, which includes connecting and reading the body of the
// response. A context that ends earlier ends the call earlier; only one made by WithTimeout allows it to
// last longer.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
	// Timeout bounds a call; it must be positive.
	Timeout time.Duration
	// MaxBody bounds the body of a response in bytes; 0 means that callers bound what they hold of it.
	MaxBody int64
}

// NewClient returns an HTTP client whose calls end after a timeout. Its connections are not shared with
// other clients.
func NewClient(timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: timeout}
	client := Wrap(&http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: MaxHeaderBytes}, timeout)
	client.Transport.(*Transport).MaxBody = maxBodyBytes
	return client
}

// Wrap returns an HTTP client that sends requests with a transport, and whose calls end after a timeout.
func Wrap(base http.RoundTripper, timeout time.Duration) *http.Client {
	return &http.Client{Transport: &Transport{Base: base, Timeout: timeout}}
}

type timeoutKey struct{}

// WithTimeout returns a context whose calls end after a timeout in place of the transport's. It is meant
// for calls whose purpose is to last, such as watches and requests of callers.
func WithTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, timeoutKey{}, timeout)
}

// RoundTrip sends a request. Reading the body of the response fails with context.DeadlineExceeded once
// the time is over.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	timeout, longer := request.Context().Value(timeoutKey{}).(time.Duration)
	if !longer {
		timeout = t.Timeout
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	response, err := t.Base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, cancel: cancel, bounded: t.MaxBody > 0, left: t.MaxBody}
	return response, nil
}

// body is the body of a response. Closing it releases the call's timer.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
	// bounded reports that at most left more bytes may be read.
	bounded bool
	left    int64
}

// Read reads bytes. The error is ErrBodyTooLarge beyond the bound.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.bounded {
		return n, err
	}
	if b.left -= int64(n); b.left < 0 {
		return 0, ErrBodyTooLarge
	}
	return n, err
}

// Close closes the body.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// MalformedLength returns the name of a header that gives the length of the body and ends with white space, or "". net/http keeps
// it as a header of another name.
func MalformedLength(header http.Header) string {
	for name := range header {
		trimmed := strings.TrimRight(name, " \t")
		if trimmed != name && (strings.EqualFold(trimmed, "Content-Length") || strings.EqualFold(trimmed, "Transfer-Encoding")) {
			return name
		}
	}
	return ""
}
