package clientconn

import (
	"io"
	"net/http"

	"github.com/juju/errors"
)

// Handler returns a handler that passes requests on to next. The contexts of these requests end once their clients have
// left, and not with the clients' data. onEnd is as in NewWatch.
func Handler(next http.Handler, onEnd func(end End, outcome Outcome)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watch, ctx := NewWatch(r, onEnd)
		defer watch.Stop()
		watched := r.WithContext(ctx)
		watched.Body = &requestBody{ReadCloser: r.Body, watch: watch}
		next.ServeHTTP(&responseWriter{ResponseWriter: w, watch: watch}, watched)
	})
}

// requestBody tells a watch when the request has been read whole.
type requestBody struct {
	io.ReadCloser
	watch *Watch
	ended bool
}

// Read reads a part of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.ended {
		b.ended = true
		b.watch.RequestRead()
	}
	return n, err
}

// responseWriter ends the probes of a watch before the response begins.
type responseWriter struct {
	http.ResponseWriter
	watch *Watch
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head of the response.
func (w *responseWriter) WriteHeader(status int) {
	w.watch.BeginResponse()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.watch.BeginResponse()
	return w.ResponseWriter.Write(p)
}
