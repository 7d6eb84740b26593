package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/internal/routing"
)

const (
	testBorn     = 7
	testSoftware = "v1"
	testEntryTTL = time.Hour
)

// youngConnectionTest is a stream on a connection that the list of servers is too old to vouch for.
type youngConnectionTest struct {
	placer    *placer
	placement *placement
	reply     *exchange.Reply
	// unanswered is the number of questions for the server's start time that get no answer, and asked that of all.
	unanswered int
	asked      int
}

func newYoungConnectionTest(continues bool, unanswered int) *youngConnectionTest {
	p := newTestPlacer(10, 1, 0)
	y := &youngConnectionTest{placer: p, unanswered: unanswered}
	server := backend.Server{Instance: "i-0", Born: testBorn, Address: "at i-0", Service: "s", Software: testSoftware, Versions: map[string]int64{"m": 1}}
	p.proxy.set.Update([]backend.Server{server}, boottime.Now())
	p.proxy.entryTTL = testEntryTTL
	p.proxy.reportBorn = func(context.Context, backend.Server) (int64, error) {
		if y.asked++; y.asked <= y.unanswered {
			return 0, errors.New("connection reset by peer")
		}
		return testBorn, nil
	}
	p.admitted.route = &catalog.Route{Name: "r", Kind: catalog.Stream, Resumable: true}
	if continues {
		p.admitted.origin = &origin.Origin{Service: "s", Software: testSoftware}
	}
	y.placement = &placement{placer: p, continues: continues, chosen: routing.Candidate{Endpoint: server.Incarnation(), Software: testSoftware}}
	y.reply = &exchange.Reply{Status: http.StatusOK, ConnectedAt: boottime.Now(), Close: func() {}, Next: func() (exchange.StreamEvent, error) { return exchange.StreamEvent{}, io.EOF }}
	return y
}

// Guards against streams that callers have events of and that are given up since some questions for the start time of the server
// that goes on with them got no answer: such a server sends the stream, and few further attempts are left.
func TestContinuationOutlastsUnansweredQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newYoungConnectionTest(true, 2*maxReportQuestions)
		require.NoError(t, y.placement.requireKnownVersion(t.Context(), y.reply))
		require.Equal(t, 2*maxReportQuestions+1, y.asked)
	})
}

// Guards against the same for a stream that goes on through another node, which asked the server once.
func TestContinuationThroughPeerOutlastsUnansweredQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newYoungConnectionTest(true, 2*maxReportQuestions)
		y.placer.proxy.servers = replyingServers{y.reply}
		reply, _, err := y.placer.proxy.SendForPeer(t.Context(), Dispatch{Server: y.placement.chosen.Endpoint, Confirm: true, Resumes: true}, nil)
		require.NoError(t, err)
		require.True(t, reply.ConfirmedByPeer)
	})
}

// replyingServers respond to each attempt with the same reply.
type replyingServers struct{ reply *exchange.Reply }

func (r replyingServers) Send(context.Context, Dispatch) (*exchange.Reply, error) {
	return r.reply, nil
}
func (r replyingServers) RefusesConnections(string) bool { return false }

// Guards against a wait for the start time of a server that may be another one: where the caller has no event yet, where the
// server is no longer listed or known to be replaced, and once the attempt is given up.
func TestUncertainStreamIsNotAwaited(t *testing.T) {
	for name, test := range map[string]struct {
		continues bool
		prepare   func(y *youngConnectionTest)
		timeout   time.Duration
		after     time.Duration
	}{
		"it begins": {timeout: time.Hour},
		"the server leaves the list": {continues: true, timeout: time.Hour, after: 2 * time.Second, prepare: func(y *youngConnectionTest) {
			time.AfterFunc(2*time.Second, func() { y.placer.proxy.set.Update(nil, boottime.Now()) })
		}},
		"another one has started": {continues: true, timeout: time.Hour, prepare: func(y *youngConnectionTest) {
			y.placer.proxy.reportBorn = func(context.Context, backend.Server) (int64, error) { return testBorn + 1, nil }
		}},
		"the attempt is given up": {continues: true, timeout: 3 * time.Second, after: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				y := newYoungConnectionTest(test.continues, 1e6)
				if test.prepare != nil {
					test.prepare(y)
				}
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				startedAt := boottime.Now()
				require.Error(t, y.placement.requireKnownVersion(ctx, y.reply))
				require.InDelta(t, test.after.Seconds(), boottime.Since(startedAt).Seconds(), livenessCheckInterval.Seconds())
			})
		})
	}
}
