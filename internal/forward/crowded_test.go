package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/connlimit"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

// Guards against attempts of unknown outcome that no node has read: a node that holds as many connections as it can closes
// further ones unread.
func TestCrowdedNodeRefusesAttempts(t *testing.T) {
	const limit, attempts = 16, 40
	f := newTestFleet(t)
	gate := connlimit.NewGate(limit)
	ended := make(chan struct{})
	sender := &stubSender{send: func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
		<-ended
		return complete("done")
	}}
	options := testHandlerOptions(sender)
	options.Crowded = gate.Crowded
	server := httptest.NewUnstartedServer(NewHandler(options))
	server.Listener = &connlimit.Listener{Listener: server.Listener, Gate: gate, OnTurnedAway: func(connlimit.Reason, connlimit.Arrival) {}}
	server.Start()
	t.Cleanup(server.Close)
	f.nodes = append(f.nodes, fleet.Node{Name: "node", Address: server.Listener.Addr().String(), Zone: "a"})
	dispatch := testDispatch()
	dispatch.Resumes, dispatch.Repeatable, dispatch.Request.Method = false, false, http.MethodPost
	var mutex sync.Mutex
	served, refused := 0, 0
	var wrong []error
	var callers sync.WaitGroup
	for range attempts {
		callers.Go(func() {
			reply, err := f.client.Forward(t.Context(), dispatch, "a")
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case err == nil:
				reply.Close()
				served++
			case isUnreached(err):
				refused++
			default:
				wrong = append(wrong, err)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	close(ended)
	callers.Wait()
	require.Empty(t, wrong)
	require.Equal(t, len(sender.sent()), served)
	require.Equal(t, attempts, served+refused)
	require.GreaterOrEqual(t, served, limit/2)
}

func isUnreached(err error) bool {
	_, unreached := err.(*exchange.ErrUnreached)
	return unreached
}
