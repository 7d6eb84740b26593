package engineapi

import (
	"bytes"
	"io"
)

// newSingleUseBody hides the concrete reader type from net/http, which would
// otherwise set Request.GetBody and could resend the body on its own.
func newBody(data []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(data)}
}
