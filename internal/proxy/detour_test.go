package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/exchange"
)

// delayedServers respond to each attempt after a delay, with an error if that is set.
type delayedServers struct {
	delay time.Duration
	err   error
}

func (s delayedServers) Send(context.Context, Dispatch) (*exchange.Reply, error) {
	time.Sleep(s.delay)
	if s.err != nil {
		return nil, s.err
	}
	return &exchange.Reply{Status: 200, Complete: &exchange.Answer{Status: 200}, Close: func() {}}, nil
}

func (s delayedServers) RefusesConnections(string) bool { return false }

// Guards against a node that goes on to take attempts of others for a server which it does not reach itself: its connections are
// accepted, and bring no response.
func TestAttemptOfPeerWithoutResponseSuspectsPath(t *testing.T) {
	for name, test := range map[string]struct {
		servers  delayedServers
		suspects bool
	}{
		"response": {delayedServers{delay: peerUnansweredLimit - 1}, false},
		"silence":  {delayedServers{delay: peerUnansweredLimit + 1}, true},
		"cut off":  {delayedServers{err: &exchange.ErrCutOff{Reason: "reset"}}, true},
		"refusal":  {delayedServers{err: &exchange.ErrRefused{Reason: "full"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPlacer(10, 2, 0)
				p.proxy.servers = test.servers
				_, done, _ := p.proxy.SendForPeer(t.Context(), Dispatch{Server: "i-0"}, nil)
				done()
				probed := p.proxy.set.DuePathProbes(2, boottime.Now())
				require.Equal(t, test.suspects, len(probed) > 0)
				if test.suspects {
					require.Equal(t, []string{"at i-0"}, probed)
				}
			})
		})
	}
}
