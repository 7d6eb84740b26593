package outbound

import (
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// DecodeJSON sends a request with a client, and decodes the body of a response with a status of 2xx into success, or of another
// one into failure, each unless it is nil. The error wraps io.ErrUnexpectedEOF if a 200 (OK) has no body to decode into success:
// sling takes that for a body without fields.
func DecodeJSON(client sling.Doer, request *http.Request, success, failure any) (*http.Response, error) {
	response, err := sling.New().Doer(client).Do(request, success, failure)
	if err == nil && success != nil && response.StatusCode == http.StatusOK && response.ContentLength == 0 {
		return response, errors.Annotate(io.ErrUnexpectedEOF, "response has no body")
	}
	return response, err
}
