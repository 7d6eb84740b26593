package keepalive

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// Guards against a response to the first of two attempts that counts as the one to the second: both have the same ID, so that
// they must not share a connection, whatever other requests have used it.
func TestNoConnectionCarriesRequestTwice(outer *testing.T) {
	property.Check(outer, func(t *rapid.T) {
		ids := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 30).Draw(t, "ids")
		synctest.Test(outer, func(outer *testing.T) {
			var carried []*map[string]int
			s := &server{idleTimeout: time.Minute, requests: map[string]int{}}
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				near, err := s.dial(ctx, network, address)
				requests := map[string]int{}
				carried = append(carried, &requests)
				return &countingConn{Conn: near, requests: requests}, err
			}
			var repeats int
			c := New(Options{Timeout: time.Minute, Dial: dial, IDHeader: "Id", OnRepeat: func(string, string) { repeats++ }})
			for _, id := range ids {
				require.NoError(outer, send(c, http.MethodPost, id, "b", nil, false))
			}
			for _, requests := range carried {
				for id, count := range *requests {
					require.Equal(outer, 1, count, "request %s", id)
				}
			}
			require.Equal(outer, repeats, len(carried)-1, "only repeats need another connection")
			c.transport.Base.(*http.Transport).CloseIdleConnections()
			time.Sleep(time.Minute)
		})
	})
}

// countingConn counts the requests that are written to it, each at once, by their IDs.
type countingConn struct {
	net.Conn
	requests map[string]int
}

func (c *countingConn) Write(data []byte) (int, error) {
	for _, id := range []string{"a", "b", "c", "d"} {
		if header := "\r\nId: " + id + "\r\n"; strings.Contains(string(data), header) {
			c.requests[id]++
		}
	}
	return c.Conn.Write(data)
}

// Guards against requests that are forgotten: a connection that can remember no more carries no more.
func TestConnectionCarriesBoundedNumberOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{idleTimeout: time.Minute, requests: map[string]int{}}
		c := New(Options{Timeout: time.Minute, Dial: s.dial, IDHeader: "Id"})
		for i := range maxCarried {
			require.NoError(t, send(c, http.MethodPost, fmt.Sprint(i), "b", nil, false))
		}
		require.Equal(t, 1, s.dials)
		require.NoError(t, send(c, http.MethodPost, "one more", "b", nil, false))
		require.Equal(t, 2, s.dials)
		c.transport.Base.(*http.Transport).CloseIdleConnections()
		time.Sleep(time.Minute)
	})
}
