package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/proxy"
)

// stubSender sends attempts with a function.
type stubSender struct {
	send func(ctx context.Context, dispatch proxy.Dispatch, onNotice func(proxy.ServerNotice)) (*exchange.Reply, error)

	mutex      sync.Mutex
	dispatches []proxy.Dispatch
	done       int
}

func (s *stubSender) SendForPeer(ctx context.Context, dispatch proxy.Dispatch, onNotice func(proxy.ServerNotice)) (*exchange.Reply, func(), error) {
	s.mutex.Lock()
	s.dispatches = append(s.dispatches, dispatch)
	s.mutex.Unlock()
	reply, err := s.send(ctx, dispatch, onNotice)
	return reply, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.done++
	}, err
}

func (s *stubSender) sent() []proxy.Dispatch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.dispatches)
}

// testFleet is a client and the nodes that it may use.
type testFleet struct {
	t       *testing.T
	client  *Client
	nodes   []fleet.Node
	mutex   sync.Mutex
	results []Result
	notices []proxy.ServerNotice
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t}
	peers := NewPeers("a", func() []fleet.Node { return f.nodes }, func(from, to string) int {
		if from == to {
			return 0
		}
		return 1
	})
	dialer := net.Dialer{Timeout: time.Second}
	f.client = NewClient("self", peers, dialer.DialContext, nil, func(n proxy.ServerNotice) { f.notices = append(f.notices, n) }, func(r Result) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.results = append(f.results, r)
	})
	return f
}

// addNode adds a node that handles attempts with a handler.
func (f *testFleet) addNode(zone string, handler http.Handler) *httptest.Server {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	f.nodes = append(f.nodes, fleet.Node{Name: fmt.Sprint("node-", len(f.nodes)), Address: server.Listener.Addr().String(), Zone: zone})
	return server
}

func (f *testFleet) addSender(send func(ctx context.Context, dispatch proxy.Dispatch, onNotice func(proxy.ServerNotice)) (*exchange.Reply, error)) *stubSender {
	sender := &stubSender{send: send}
	f.addNode("a", newTestHandler(sender))
	return sender
}

func newTestHandler(sender Sender) http.Handler { return NewHandler(testHandlerOptions(sender)) }

func testHandlerOptions(sender Sender) HandlerOptions {
	return HandlerOptions{
		Sender: sender, MaxBytes: func() int64 { return 1 << 20 },
		Reserve:     func(int64) (func(), error) { return func() {}, nil },
		OnForwarded: func(string, proxy.Dispatch, error) {},
	}
}

func testDispatch() proxy.Dispatch {
	return proxy.Dispatch{
		Request:  &proxy.Request{ID: "r-1", Method: http.MethodPost, Host: "h", Target: "/p/a%2Fb?x=1", Header: http.Header{"X-Kept": {"yes"}, "User-Agent": nil}, Body: []byte("turn"), Key: "secret"},
		Instance: "i-1", Server: "i-1@5", Address: "10.0.0.1:80", Tenant: "one", Deadline: boottime.Now().Add(4 * time.Second),
		Urgency: 3, Version: 7, Salt: "salt", FetchFrom: "10.0.0.2:80", SaveTo: "10.0.0.3:80", Resumes: true, After: 12, Repeatable: true,
	}
}

func complete(text string) (*exchange.Reply, error) {
	return &exchange.Reply{Status: http.StatusCreated, Header: http.Header{"X-Server": {"1"}}, Close: func() {}, Complete: &exchange.Answer{Status: http.StatusCreated, Body: []byte(text)}}, nil
}

func TestForwardedAttemptIsUnchanged(t *testing.T) {
	f := newTestFleet(t)
	sender := f.addSender(func(_ context.Context, _ proxy.Dispatch, onNotice func(proxy.ServerNotice)) (*exchange.Reply, error) {
		onNotice(proxy.ServerNotice{Server: "i-1@5", SentAt: boottime.Now(), Notice: backend.Notice{Leaving: true, HasRateLimit: true, RateLimit: 1.5}})
		return complete("done")
	})
	sent := testDispatch()
	reply, err := f.client.Forward(t.Context(), sent, "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, reply.Complete.Status)
	require.Equal(t, "done", string(reply.Complete.Body))
	require.Equal(t, []string{"1"}, reply.Complete.Header["X-Server"])
	require.Len(t, f.notices, 1)
	require.True(t, f.notices[0].Notice.Leaving)
	require.Equal(t, 1.5, f.notices[0].Notice.RateLimit)
	got := sender.sent()[0]
	require.Empty(t, got.Request.Key, "the caller's key stays at the node that authenticated it")
	require.Contains(t, got.Request.Header, "User-Agent", "an absent user agent stays absent")
	require.WithinDuration(t, sent.Deadline, got.Deadline, 500*time.Millisecond)
	got.Request.Key, got.Request.Arrived, got.Deadline, got.OnNotice = sent.Request.Key, sent.Request.Arrived, sent.Deadline, nil
	got.Request.Header["User-Agent"] = nil
	require.Equal(t, sent, got)
}

// Guards against a "not run" that is not true, and against asking a second node for an attempt that
// may have run.
func TestErrorsOfForwardedAttemptsKeepTheirMeaning(t *testing.T) {
	for name, c := range map[string]struct {
		err error
		// next says that another node may be asked.
		next bool
	}{
		"refused":     {err: &exchange.ErrRefused{Reason: "503", LoadedVersion: 4, AnotherInstance: true, RespondingInstance: "i-2"}},
		"unreached":   {err: &exchange.ErrUnreached{Reason: "dial"}, next: true},
		"unavailable": {err: &proxy.ErrUnavailable{Reason: "stopping"}, next: true},
		"withdrawn":   {err: &exchange.ErrWithdrawn{Reason: "draining"}},
		"cut off":     {err: &exchange.ErrCutOff{Reason: "EOF"}},
		"unvouched":   {err: &exchange.ErrUnvouched{Status: 421, RespondingInstance: "i-2"}},
		"path failed": {err: &exchange.ErrPathFailed{Reason: "reset"}},
		"broken":      {err: errors.New("garbled")},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			fails := func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
				return nil, c.err
			}
			first, second := f.addSender(fails), f.addSender(fails)
			_, err := f.client.Forward(t.Context(), testDispatch(), "a")
			asked := len(first.sent()) + len(second.sent())
			if c.next {
				var unreached *exchange.ErrUnreached
				require.ErrorAs(t, err, &unreached)
				require.Equal(t, 2, asked)
				return
			}
			require.Equal(t, 1, asked)
			var cutOff *exchange.ErrCutOff
			switch name {
			case "unvouched", "path failed":
				require.Equal(t, c.err, err)
			case "refused":
				require.Equal(t, &exchange.ErrRefused{Reason: "503", LoadedVersion: 4, AnotherInstance: true, RespondingInstance: "i-2", ByPeer: true}, err)
			case "withdrawn":
				require.Equal(t, &exchange.ErrWithdrawn{Reason: "draining", ByPeer: true}, err)
			case "cut off":
				require.ErrorAs(t, err, &cutOff)
			default:
				require.EqualError(t, err, "garbled")
			}
		})
	}
}

// Guards against taking a 421 for "not run" because a node of a former build does, which needs no statement of the server.
func TestMisdirectionReportedByFormerBuildMayHaveRun(t *testing.T) {
	former := wireError{Kind: errorRefused, Reason: "421", AnotherInstance: true, RespondingInstance: "i-2"}
	require.Equal(t, &exchange.ErrUnvouched{Status: 421, RespondingInstance: "i-2"}, former.err())
	former.Reason = "503"
	var refused *exchange.ErrRefused
	require.ErrorAs(t, former.err(), &refused)
	stated := newWireError(&exchange.ErrRefused{Reason: "421"})
	require.ErrorAs(t, stated.err(), &refused)
}

// Guards against "not run" from a kind of error that a later build has added.
func TestErrorOfUnknownKindMayHaveRun(t *testing.T) {
	require.EqualError(t, wireError{Kind: errorPathFailed + 1, Reason: "new"}.err(), "new")
	var refused *exchange.ErrRefused
	require.False(t, errors.As(wireError{Kind: errorPathFailed + 1}.err(), &refused))
}

func TestNodesThatDoNotForwardAreSkipped(t *testing.T) {
	f := newTestFleet(t)
	f.addNode("a", http.NotFoundHandler())
	f.nodes = append(f.nodes, fleet.Node{Name: "gone", Address: "127.0.0.1:1", Zone: "a"})
	sender := f.addSender(func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
		return complete("done")
	})
	for range 10 {
		reply, err := f.client.Forward(t.Context(), testDispatch(), "a")
		require.NoError(t, err)
		reply.Close()
	}
	require.Len(t, sender.sent(), 10)
	require.LessOrEqual(t, len(f.results), 12, "nodes that failed are not asked again at once")
}

// Guards against attempts that circle among nodes all of which are partitioned: each is asked once, and
// none for a while after that.
func TestPartitionedFleetIsNotAskedAgain(t *testing.T) {
	f := newTestFleet(t)
	refuses := func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
		return nil, &proxy.ErrUnavailable{Reason: "this node reaches no server itself"}
	}
	senders := []*stubSender{f.addSender(refuses), f.addSender(refuses)}
	for range 50 {
		_, err := f.client.Forward(t.Context(), testDispatch(), "a")
		var unreached *exchange.ErrUnreached
		require.ErrorAs(t, err, &unreached)
		require.False(t, f.client.Available())
	}
	for _, s := range senders {
		require.Len(t, s.sent(), 1)
	}
}

func TestNodeIsNotAskedAgainForServerThatItDidNotReach(t *testing.T) {
	f := newTestFleet(t)
	sender := f.addSender(func(_ context.Context, d proxy.Dispatch, _ func(proxy.ServerNotice)) (*exchange.Reply, error) {
		if d.Server == "i-2" {
			return complete("done")
		}
		return nil, &exchange.ErrUnreached{Reason: "dial"}
	})
	for range 5 {
		_, err := f.client.Forward(t.Context(), testDispatch(), "a")
		require.Error(t, err)
	}
	require.Len(t, sender.sent(), 1)
	other := testDispatch()
	other.Server = "i-2"
	_, err := f.client.Forward(t.Context(), other, "a")
	require.NoError(t, err, "other servers are reached through it")
}

// Guards against streams that are sent through a node again whose path to the server has failed under them.
func TestNodeIsNotAskedAgainForServerToWhichItsPathFailed(t *testing.T) {
	failed := &exchange.ErrPathFailed{Reason: "reset"}
	for name, begins := range map[string]bool{"before the response": false, "during the stream": true} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			sender := f.addSender(func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
				if !begins {
					return nil, failed
				}
				return &exchange.Reply{Status: http.StatusOK, Close: func() {}, Next: func() (exchange.StreamEvent, error) { return exchange.StreamEvent{}, failed }}, nil
			})
			reply, err := f.client.Forward(t.Context(), testDispatch(), "a")
			if begins {
				require.NoError(t, err)
				_, err = reply.Next()
				reply.Close()
			}
			require.Equal(t, failed, err)
			var unreached *exchange.ErrUnreached
			_, err = f.client.Forward(t.Context(), testDispatch(), "a")
			require.ErrorAs(t, err, &unreached)
			require.Len(t, sender.sent(), 1)
		})
	}
}

// Guards against a stream that ends as complete when the connection between two nodes breaks.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		last error
		want error
	}{
		"whole":                  {last: io.EOF, want: io.EOF},
		"the server crashes":     {last: &exchange.ErrCutOff{Reason: "EOF"}},
		"the other node crashes": {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			var node *httptest.Server
			next := 0
			sender := f.addSender(func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
				return &exchange.Reply{Status: http.StatusOK, Close: func() {}, Next: func() (exchange.StreamEvent, error) {
					if next++; next <= 3 {
						return exchange.StreamEvent{Raw: []byte(fmt.Sprint("event ", next)), ID: int64(next), HasID: true}, nil
					}
					if c.last == nil {
						node.CloseClientConnections()
						return exchange.StreamEvent{}, errors.New("closed")
					}
					return exchange.StreamEvent{}, c.last
				}}, nil
			})
			node = f.addNode("a", newTestHandler(sender))
			f.nodes = f.nodes[1:]
			reply, err := f.client.Forward(t.Context(), testDispatch(), "a")
			require.NoError(t, err)
			defer reply.Close()
			for id := range int64(3) {
				event, err := reply.Next()
				require.NoError(t, err)
				require.Equal(t, id+1, event.ID)
				require.Equal(t, fmt.Sprint("event ", id+1), string(event.Raw))
			}
			_, err = reply.Next()
			require.Error(t, err)
			require.Equal(t, c.want == io.EOF, errors.Is(err, io.EOF), "%v", err)
		})
	}
}

func TestCancellationReachesForwardingNode(t *testing.T) {
	f := newTestFleet(t)
	started, ended := make(chan struct{}), make(chan struct{})
	f.addSender(func(ctx context.Context, _ proxy.Dispatch, _ func(proxy.ServerNotice)) (*exchange.Reply, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := f.client.Forward(ctx, testDispatch(), "a")
	require.Error(t, err)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the attempt goes on after its caller has left")
	}
	require.True(t, f.client.Available(), "a caller who leaves says nothing of the node")
}

func TestNearNodesAreAskedFirstUntilTheyAreBusy(t *testing.T) {
	f := newTestFleet(t)
	release := make(chan struct{})
	holds := func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
		<-release
		return complete("done")
	}
	near, far := &stubSender{send: holds}, &stubSender{send: holds}
	f.addNode("b", newTestHandler(far))
	f.addNode("a", newTestHandler(near))
	var sent sync.WaitGroup
	for range 2 {
		sent.Go(func() { _, _ = f.client.Forward(t.Context(), testDispatch(), "a") })
	}
	require.Eventually(t, func() bool { return len(near.sent()) == 2 }, 10*time.Second, time.Millisecond)
	require.Empty(t, far.sent())
	for range 30 {
		sent.Go(func() { _, _ = f.client.Forward(t.Context(), testDispatch(), "a") })
	}
	require.Eventually(t, func() bool { return len(near.sent())+len(far.sent()) == 32 }, 10*time.Second, time.Millisecond)
	require.Greater(t, len(far.sent()), 8, "a busy node is relieved by those of other zones")
	close(release)
	sent.Wait()
}

func TestOversizedAttemptIsNotSent(t *testing.T) {
	f := newTestFleet(t)
	sender := f.addSender(func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
		return complete("done")
	})
	large := testDispatch()
	large.Request.Body = []byte(strings.Repeat("x", 2<<20))
	_, err := f.client.Forward(t.Context(), large, "a")
	var unreached *exchange.ErrUnreached
	require.ErrorAs(t, err, &unreached)
	require.Empty(t, sender.sent())
}

func TestMalformedAttemptIsRejected(t *testing.T) {
	sender := &stubSender{send: func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
		return complete("done")
	}}
	for body, status := range map[string]int{"not a message": http.StatusBadRequest, "": http.StatusBadRequest, strings.Repeat("x", 2<<20): http.StatusRequestEntityTooLarge} {
		response := httptest.NewRecorder()
		newTestHandler(sender).ServeHTTP(response, httptest.NewRequest(http.MethodPost, Path, strings.NewReader(body)))
		require.Equal(t, status, response.Code)
		require.Contains(t, response.Body.String(), ";", "the error names a remedy")
	}
	require.Empty(t, sender.sent())
}

// Guards against a zone's load on the few nodes that each node of a large fleet knows by name.
func TestLargeFleetSpreadsOverNodesFromStore(t *testing.T) {
	var known, all []fleet.Node
	for i := range 900 {
		n := fleet.Node{Name: fmt.Sprint(i), Address: fmt.Sprint("10.0.0.1:", i), Zone: "a"}
		all = append(all, n)
		if i < 60 {
			known = append(known, n)
		}
	}
	reads := 0
	d := &Directory{
		Known: func() []fleet.Node { return known }, Fleet: func() int { return len(all) + 1 },
		Read: func(context.Context) ([]fleet.Node, error) { reads++; return all, nil },
	}
	now := time.Unix(1000, 0)
	require.Len(t, d.Nodes(), 60)
	for range 5 {
		require.NoError(t, d.Refresh(t.Context(), now))
	}
	require.Equal(t, 1, reads)
	require.Len(t, d.Nodes(), 900)
	peers := NewPeers("a", d.Nodes, func(string, string) int { return 0 })
	counts := map[string]int{}
	for range 4500 {
		use := peers.choose("i-1", "a", nil, now)
		counts[use.node.Name]++
	}
	for name, count := range counts {
		require.LessOrEqual(t, count, 15, "node %s, where 5 is the mean", name)
	}
}

// Guards against a node that knows too few others for as long as a read lasts, after a read that failed.
func TestDirectoryReadsAgainAfterFailure(t *testing.T) {
	now, err := time.Unix(1000, 0), errors.New("outage")
	reads := 0
	d := &Directory{
		Known: func() []fleet.Node { return nil }, Fleet: func() int { return 9 },
		Read: func(context.Context) ([]fleet.Node, error) { reads++; return []fleet.Node{{Name: "a"}}, err },
	}
	require.Error(t, d.Refresh(t.Context(), now))
	require.NoError(t, d.Refresh(t.Context(), now))
	require.Equal(t, 1, reads)
	err = nil
	require.NoError(t, d.Refresh(t.Context(), now.Add(failedReadDelay)))
	require.Len(t, d.Nodes(), 1)
	require.NoError(t, d.Refresh(t.Context(), now.Add(directoryTTL)))
	require.Equal(t, 2, reads)
}

// Guards against streams that are cut since the attempt that continues them was offered on an idle connection which the other node
// had forgotten: the reset counts as a run, and the route allows few.
func TestContinuationIsOfferedOnNewConnection(t *testing.T) {
	f := newTestFleet(t)
	sender := &stubSender{send: func(context.Context, proxy.Dispatch, func(proxy.ServerNotice)) (*exchange.Reply, error) {
		return complete("done")
	}}
	handler, used := newTestHandler(sender), sync.Map{}
	f.addNode("a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, again := used.LoadOrStore(r.RemoteAddr, true); again {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = connection.(*net.TCPConn).SetLinger(0)
				connection.Close()
			}
			return
		}
		handler.ServeHTTP(w, r)
	}))
	first := testDispatch()
	first.Resumes = false
	for _, dispatch := range []proxy.Dispatch{first, testDispatch()} {
		reply, err := f.client.Forward(t.Context(), dispatch, "a")
		require.NoError(t, err)
		require.Equal(t, "done", string(reply.Complete.Body))
	}
}
