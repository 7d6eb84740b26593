package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/platform/standin"
)

// These tests guard against responses whose status or head a node cannot pass on as it is: the caller got no response at
// all, or another status than the server gave.

// respondRaw runs a request and sends bytes, in which {id} stands for the ID of the request and {stamp} for the server's
// stamp. The connection stays open until the caller closes it.
func respondRaw(text string) standin.Handler {
	return func(server *standin.Server, w http.ResponseWriter, r *http.Request) {
		connection, err := writeRaw(text, server, w, r)
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = connection.Read(make([]byte, 1))
	}
}

// writeRaw writes the bytes of respondRaw, and returns the connection, which the caller must close.
func writeRaw(text string, server *standin.Server, w http.ResponseWriter, r *http.Request) (net.Conn, error) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	text = strings.NewReplacer("{id}", r.Header.Get(standin.HeaderRequestID), "{stamp}", server.Instance+standin.StampSuffix).Replace(text)
	if _, err := io.WriteString(connection, text); err != nil {
		_ = connection.Close()
		return nil, err
	}
	return connection, nil
}

const rawHeaders = standin.HeaderRequestID + ": {id}\r\n" + standin.HeaderStamp + ": {stamp}\r\n"

// oddResponses are responses of servers by name.
var oddResponses = map[string]struct {
	text string
	// status is what the caller gets; 0 means that of a request that may have run.
	status int
}{
	"switch of protocols":           {text: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n" + rawHeaders + "\r\nother bytes"},
	"101 alone":                     {text: "HTTP/1.1 101 Switching Protocols\r\n" + rawHeaders + "\r\n"},
	"status below 100":              {text: "HTTP/1.1 099 Odd\r\n" + rawHeaders + "Content-Length: 3\r\n\r\nodd"},
	"status 0":                      {text: "HTTP/1.1 000 Odd\r\n" + rawHeaders + "Content-Length: 3\r\n\r\nodd"},
	"interim and final response":    {text: "HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\nHTTP/1.1 404 Not Found\r\n" + rawHeaders + "Content-Length: 3\r\n\r\nodd", status: http.StatusNotFound},
	"redirect":                      {text: "HTTP/1.1 307 Temporary Redirect\r\nLocation: /once/\r\n" + rawHeaders + "Content-Length: 3\r\n\r\nodd", status: http.StatusTemporaryRedirect},
	"redirect to a malformed place": {text: "HTTP/1.1 302 Found\r\nLocation: http://[::1\r\n" + rawHeaders + "Content-Length: 3\r\n\r\nodd", status: http.StatusFound},
}

func TestOddResponsesAreAnswered(t *testing.T) {
	for _, way := range promiseWays {
		for kind, c := range allCalls {
			t.Run(way+", "+kind, func(t *testing.T) {
				t.Parallel()
				f := newPromiseFixture(t, way, c)
				for name, odd := range oddResponses {
					f.setHandlers(f.servers.handle)
					f.awaitServers(c)
					f.setHandlers(respondRaw(odd.text))
					got := f.nodes[0].make(c)
					require.NoError(t, got.err, name)
					if odd.status == 0 {
						require.Equal(t, http.StatusBadGateway, got.status, "%s: %s", name, got.body)
						require.Empty(t, got.header.Get(standin.HeaderStamp), name)
						continue
					}
					require.Equal(t, odd.status, got.status, "%s: %s", name, got.body)
					require.Equal(t, "odd", got.body, name)
					require.NotEmpty(t, got.header.Get(standin.HeaderStamp), name)
				}
			})
		}
	}
}
