package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/outbound"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// peerUnansweredLimit is how long an attempt of another node may stay without a response until a probe must tell
// whether this node reaches the server.
const peerUnansweredLimit = time.Second

// peerPathCheckInterval is the time between two checks of the path under a stream of another node.
const peerPathCheckInterval = 100 * time.Millisecond

// silentForwardPath is the reason why a stream of another node was cut off.
const silentForwardPath = "the forwarding node's path to the server failed while it was silent"

// Forwarder sends attempts through other nodes, on servers that this node cannot reach.
type Forwarder interface {
	// Forward sends an attempt on a server in a zone. It returns the error types of Servers.Send:
	// ErrUnreached if no node that was asked reached the server.
	Forward(ctx context.Context, dispatch Dispatch, zone string) (*exchange.Reply, error)
	// Available reports whether any node may be asked now.
	Available() bool
}

// ServerNotice is what a server reports of itself in a response.
type ServerNotice struct {
	// Server is the incarnation name or the instance ID, and SentAt when the request was sent.
	Server string
	SentAt time.Time
	Notice backend.Notice
}

// ErrUnavailable is returned if this node sends no attempts for other nodes now. Nothing was sent.
type ErrUnavailable struct{ Reason string }

// Error implements the error interface.
func (e *ErrUnavailable) Error() string { return "unavailable: " + e.Reason }

// sendAttempt sends the attempt to the server, or through another node if this one cannot connect to
// the server while others can.
func (placement *placement) sendAttempt(ctx context.Context, dispatch Dispatch) (*exchange.Reply, error) {
	proxy := placement.placer.proxy
	if !placement.needsDetour() {
		reply, err := proxy.servers.Send(ctx, dispatch)
		var unreached *exchange.ErrUnreached
		if !errors.As(err, &unreached) || !placement.needsDetour() {
			return reply, err
		}
	}
	placement.detour = true
	placement.attempt.SentOnDetour()
	reply, err := proxy.forwarder.Forward(ctx, dispatch, placement.chosen.Zone)
	var unreached *exchange.ErrUnreached
	if errors.As(err, &unreached) && !proxy.forwarder.Available() {
		proxy.set.SuspendDetours(boottime.Now())
	}
	return reply, err
}

func (placement *placement) needsDetour() bool {
	proxy := placement.placer.proxy
	return proxy.forwarder != nil && proxy.set.NeedsDetour(placement.chosen.Endpoint)
}

// SendForPeer sends an attempt of another node, which cannot reach the server. It never sends it
// through a third node. Besides the error types of Servers.Send it returns ErrUnavailable. The
// returned function must be called when the response has been passed on: until it returns, the attempt
// counts as an open request of this node. It returns once the server has ended the attempt.
func (proxy *Proxy) SendForPeer(ctx context.Context, dispatch Dispatch, onNotice func(ServerNotice)) (reply *exchange.Reply, done func(), err error) {
	proxy.open.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-proxy.stopping:
			cancel()
		case <-ctx.Done():
		}
	}()
	tracked, completion := outbound.TrackCompletion(ctx)
	var gaps gapTracker
	done = func() {
		cancel()
		// The other node sends the request elsewhere once this one has closed their connection.
		proxy.awaitCompletion(completion)
		if completion.Result() == outbound.CompletionReset {
			pause.For(context.Background(), max(minLongestTime, gaps.longest()))
		}
		proxy.open.Add(-1)
	}
	if err := proxy.refusePeer(dispatch.Server, onNotice, boottime.Now()); err != nil {
		return nil, done, err
	}
	dispatch.OnNotice = onNotice
	sentAt := boottime.Now()
	unanswered := time.AfterFunc(peerUnansweredLimit, func() { proxy.set.SuspectPath(dispatch.Server, boottime.Now()) })
	reply, err = proxy.servers.Send(tracked, dispatch)
	unanswered.Stop()
	proxy.suspectForPeer(dispatch, sentAt, false, err)
	err = proxy.explainCutOff(ctx, dispatch, sentAt, dispatch.Resumes, err)
	if err == nil {
		reply, err = checkStatus(reply)
	}
	if err == nil && reply.Next != nil {
		next := reply.Next
		pathFailed := proxy.watchPath(ctx, dispatch, &gaps, cancel)
		reply.Next = func() (exchange.StreamEvent, error) {
			event, err := next()
			if err != nil && pathFailed.Load() {
				return event, &exchange.ErrPathFailed{Reason: silentForwardPath}
			}
			gaps.observe(boottime.Now())
			proxy.suspectForPeer(dispatch, sentAt, true, err)
			return event, proxy.explainCutOff(ctx, dispatch, sentAt, true, err)
		}
	}
	if err == nil && dispatch.Confirm && reply.Next != nil {
		ask := func() incarnationEvidence { return proxy.confirmIncarnation(ctx, dispatch.Server, reply.ConnectedAt) }
		reply.ConfirmedByPeer = proxy.askIncarnation(ctx, dispatch.Server, dispatch.Resumes, ask) == incarnationConfirmed
	}
	return reply, done, err
}

// watchPath cuts off an attempt of a stream of another node once the path to its server has failed while the server was silent,
// and then sets failed: the other node does not see this path, and may have no other server for the stream.
func (proxy *Proxy) watchPath(ctx context.Context, dispatch Dispatch, gaps *gapTracker, cutOff func()) (failed *atomic.Bool) {
	failed = &atomic.Bool{}
	if !dispatch.Stream || !dispatch.Repeatable {
		return failed
	}
	begunAt := boottime.Now()
	go func() {
		ticker := time.NewTicker(peerPathCheckInterval)
		defer ticker.Stop()
		for !failed.Load() {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			since := begunAt
			if last := gaps.last(); last.After(since) {
				since = last
			}
			if proxy.pathFailedSince(dispatch.Server, since, boottime.Now()) {
				failed.Store(true)
				cutOff()
			}
		}
	}()
	return failed
}

// pathFailedSince reports whether the path to a server has failed under an attempt of another node that has been silent since
// a time. It has the path probed once that is long.
func (proxy *Proxy) pathFailedSince(server string, since, now time.Time) bool {
	if now.Sub(since) < minEventGapTimeout/2 {
		return false
	}
	proxy.set.SuspectPathSince(server, since, now)
	return proxy.set.PathVerdict(server, since, now) == backend.PathFailed
}

// suspectForPeer suspects an attempt of another node whose connection the server closed before its complete response. This
// node can tell sooner than the other one whether the server has crashed, which does not reach it.
func (proxy *Proxy) suspectForPeer(dispatch Dispatch, sentAt time.Time, responding bool, err error) {
	if !isCutOff(err) || dispatch.Suspects.Request == 0 || !proxy.set.InService(dispatch.Server) {
		return
	}
	proxy.suspect(dispatch.Suspects, brokenAttempt{
		server: routing.Candidate{Endpoint: dispatch.Server, Address: dispatch.Address}, sentAt: sentAt, at: boottime.Now(), responding: responding,
	})
}

// explainCutOff returns the error of an attempt of another node that was sent at sentAt. If its connection was cut off, the
// path to the server is suspected. If it is that of a stream which may have begun and may be resumed, the other node must
// know whether the path has failed.
func (proxy *Proxy) explainCutOff(ctx context.Context, dispatch Dispatch, sentAt time.Time, began bool, err error) error {
	if !isCutOff(err) {
		return err
	}
	now := boottime.Now()
	proxy.set.SuspectPathSince(dispatch.Server, sentAt, now)
	if began && dispatch.Stream && dispatch.Repeatable && proxy.awaitPathFailure(ctx, dispatch.Server, sentAt, now, minEventGapTimeout) {
		return &exchange.ErrPathFailed{Reason: err.Error()}
	}
	return err
}

// isCutOff reports whether a server's connection ended before its complete response.
func isCutOff(err error) bool {
	var cutOff *exchange.ErrCutOff
	return errors.As(err, &cutOff)
}

// gapTracker tracks the longest time between two events of a stream. It is safe for concurrent use.
type gapTracker struct {
	mutex  sync.Mutex
	lastAt time.Time
	gap    time.Duration
}

func (g *gapTracker) observe(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.lastAt.IsZero() {
		g.gap = max(g.gap, now.Sub(g.lastAt))
	}
	g.lastAt = now
}

// last returns when the last event arrived, or zero if none did.
func (g *gapTracker) last() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lastAt
}

func (g *gapTracker) longest() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.gap
}

// awaitCompletion waits until a server has ended an attempt, or this node must exit. Connections do not linger for ever.
func (proxy *Proxy) awaitCompletion(completion *outbound.Completion) {
	select {
	case <-completion.Done():
	case <-proxy.stopping:
	}
}

// refusePeer returns why an attempt of another node is not sent, or nil. What the server has told this
// node applies to all that this node sends.
func (proxy *Proxy) refusePeer(server string, onNotice func(ServerNotice), now time.Time) error {
	switch {
	case proxy.refusing.Load():
		return &ErrUnavailable{Reason: "this node is shutting down"}
	case proxy.set.Isolated():
		return &ErrUnavailable{Reason: "this node reaches no server itself"}
	case proxy.set.PathBroken(server):
		return &exchange.ErrUnreached{Reason: "this node does not reach the server either"}
	}
	notice := proxy.set.NoticeOf(server, now)
	if !notice.HasSignals() {
		return nil
	}
	onNotice(ServerNotice{Server: server, SentAt: now, Notice: notice})
	return &exchange.ErrWithdrawn{Reason: "the server has told the forwarding node that it is draining or wants no requests for now"}
}
