package inbound

import (
	"net/http"
	"time"
)

// WithBodyTimeout returns a handler that bounds the time in which the bodies of requests must arrive. http.Server.ReadTimeout
// would end long responses, too.
func WithBodyTimeout(timeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Body != http.NoBody {
			setReadDeadline(w, time.Now().Add(timeout))
		}
		next.ServeHTTP(w, request)
	})
}

// endBodyTimeout ends the timeout of a body that has been read whole: the connection is read from while the handler runs, to
// notice that the client has closed it.
func endBodyTimeout(w http.ResponseWriter) { setReadDeadline(w, time.Time{}) }

// setReadDeadline sets the read deadline of a request's connection. Writers of tests have none.
func setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}
