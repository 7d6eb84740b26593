package proxy

import (
	"net/http"

	"github.com/juju/errors"

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

// checkStatus returns a reply, or an ErrUnvouched if its status promises that the request did not run: a server that
// vouches for that makes Send return an ErrRefused. A status that is not that of a final response, which other nodes may
// pass on like any status, cannot be written to a caller.
func checkStatus(reply *exchange.Reply) (*exchange.Reply, error) {
	var err error
	switch {
	case reply.Status < http.StatusOK:
		err = errors.Errorf("status %d is not that of a final response", reply.Status)
	case promisesNotRun(reply.Status):
		err = &exchange.ErrUnvouched{Status: reply.Status}
	default:
		return reply, nil
	}
	if reply.Complete != nil && reply.Complete.Release != nil {
		reply.Complete.Release()
	}
	reply.Close()
	return nil, err
}
