package keepalive

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that needs a new connection and never gets one, as net/http hands it the connections that other
// requests return while it connects, and against the loss of those.
func TestNewConnectionIsOpenedWhileOthersAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedServer{respond: func(_ []string, id string) []string {
			time.Sleep(5 * time.Millisecond)
			return []string{"HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok"}
		}}
		var mutex sync.Mutex
		dials := 0
		c := New(Options{Timeout: time.Minute, IDHeader: "Id", Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(30 * time.Millisecond)
			mutex.Lock()
			defer mutex.Unlock()
			dials++
			return s.dial(ctx, network, address)
		}})
		request := func(id string, reuse Reuse) error {
			response, _, err := c.DoOn(func() *http.Request {
				return &http.Request{
					Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: "server:1", Path: "/"}, Header: http.Header{"Id": {id}},
					Body: io.NopCloser(strings.NewReader("b")), ContentLength: 1,
				}
			}, reuse)
			if err != nil {
				return err
			}
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			return err
		}
		ended := make(chan struct{})
		var others sync.WaitGroup
		const callers = maxIdlePerServer
		for caller := range callers {
			others.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-ended:
						return
					default:
						require.NoError(t, request(fmt.Sprint("other-", caller, "-", i), ReuseAny))
					}
				}
			})
		}
		time.Sleep(time.Second)
		const requests = 20
		failed := 0
		for i := range requests {
			if request(fmt.Sprint("new-", i), ReuseNone) != nil {
				failed++
			}
		}
		close(ended)
		others.Wait()
		require.Zero(t, failed, "requests of %d", requests)
		require.LessOrEqual(t, dials, callers+requests, "connections")
		endTest(c)
	})
}
