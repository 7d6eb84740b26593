package engineapi

import (
	"bytes"
	"io"
)

// newBody hides the concrete reader from net/http, which would otherwise keep
// the means to send the body a second time on its own.
func newBody(data []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(data)}
}
