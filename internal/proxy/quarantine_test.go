package proxy

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// refusingServers are servers that have all crashed and refuse connections.
type gone struct{ asked atomic.Int64 }

func (g *gone) Send(context.Context, Dispatch) (*exchange.Reply, error) { return nil, context.Canceled }

func (g *gone) Refuses(string) bool {
	g.asked.Add(1)
	return true
}

// suspicionRecorder records resolved suspicions.
type settlements struct {
	unheeded
	settled chan Suspicion
}

func (s *settlements) Settled(suspicion Suspicion) { s.settled <- suspicion }

// Guards against resolving only the first of several suspicions of one server. The server is probed
// at most once per LivenessCheckDelay (0.5 s). When only the time of the last probe was cached, and
// not its result, later requests took the server to be alive until its registration expired seconds
// later. If the culprit was among them, the request resolved first seemed to have run alone.
func TestOneSignOfAnEndCountsForAllThatRanThere(t *testing.T) {
	servers, recorder := &gone{}, &settlements{settled: make(chan Suspicion, 10)}
	set := backend.NewSet()
	set.Update([]backend.Server{{Instance: "i-1", Address: "at i-1", Service: "s"}}, time.Now())
	proxy := New(Options{Servers: servers, Set: set, Requests: quarantine.NewLedger(), Recorder: recorder, Lapse: time.Minute, Belief: &catalog.Holder{}})
	server := routing.Candidate{Endpoint: "i-1", Address: "at i-1"}
	for _, body := range []string{"one", "other", "third"} {
		proxy.suspect(&admitted{request: &Request{Body: []byte(body)}}, server, false, time.Now())
	}
	for range 3 {
		select {
		case suspicion := <-recorder.settled:
			require.True(t, suspicion.Ended)
		case <-time.After(4 * SettleTime):
			t.Fatal("suspicion not resolved in time")
		}
	}
	require.Equal(t, int64(1), servers.asked.Load())
}
