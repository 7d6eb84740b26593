package inprocess

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request on a kept connection whose head is being read while the node closes its connections is answered.
func TestHeadDuringShutdownOfNodeIsAnswered(t *testing.T) {
	fleet := startFleet(t, Config{Nodes: 1, Engines: 1, StepTime: 2 * time.Millisecond})
	connection, err := net.Dial("tcp", strings.TrimPrefix(fleet.URL(0), "http://"))
	require.NoError(t, err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	body, err := http.NewRequest(http.MethodPost, fleet.URL(0)+"/v1/completions", bytes.NewReader(completionBody(t, "prompt", 3, false)))
	require.NoError(t, err)
	body.Header.Set("Authorization", "Bearer "+Key(Tenant))
	require.NoError(t, body.Write(connection))
	response, err := http.ReadResponse(reader, body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	_, err = fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	done := fleet.Nodes[0].Shutdown()
	time.Sleep(time.Second)
	_, err = fmt.Fprintf(connection, "Authorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", Key(Tenant))
	require.NoError(t, err)
	response, err = http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	<-done
}
