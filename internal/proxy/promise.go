package proxy

import (
	"net/http"

	"github.com/cloverrail/cloverrail/internal/exchange"
)

// promisesNotRun reports whether a status promises the caller that the request did not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// rejectPromise returns a reply, or an ErrUnvouched if its status promises that the request did not run: a server that
// vouches for that makes Send return an ErrRefused, and other nodes may pass on any status.
func rejectPromise(reply *exchange.Reply) (*exchange.Reply, error) {
	if !promisesNotRun(reply.Status) {
		return reply, nil
	}
	if reply.Complete != nil && reply.Complete.Release != nil {
		reply.Complete.Release()
	}
	reply.Close()
	return nil, &exchange.ErrUnvouched{Status: reply.Status}
}
