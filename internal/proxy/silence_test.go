package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/origin"
	"github.com/cloverrail/cloverrail/internal/outbound"
	"github.com/cloverrail/cloverrail/internal/property"
	"github.com/cloverrail/cloverrail/internal/routing"
)

const (
	// testReportDelay is the time in which other nodes' observations are known: reports arrive every
	// testReportInterval, and say what was so testReportAge before.
	testReportDelay    = testReportAge + testReportInterval
	testReportAge      = 200 * time.Millisecond
	testReportInterval = 200 * time.Millisecond
)

// sharedServicePlacer returns a placer of the route "urgent" of a service that a route of another
// priority shares, with targets of 400 ms, the given prompt and servers with a KV cache of the given
// size.
func sharedServicePlacer(own, servers, cacheTokens int) *placer {
	p := newTestPlacer(own, servers, 0)
	engine := *p.admitted.service.Engine
	engine.CacheTokens = cacheTokens
	share := []catalog.Share{{Service: "s", Weight: 1}}
	snapshot := catalog.New(catalog.Declaration{
		Version: 1, Services: []catalog.Service{{Name: "s", Engine: &engine}},
		Routes: []catalog.Route{
			{Name: "urgent", Priority: 0, TargetLatency: 400 * time.Millisecond, Split: share},
			{Name: "long", Priority: 1, TargetLatency: 800 * time.Millisecond, Split: share},
		},
	})
	p.proxy.replica.Store(&catalog.Replica{Snapshot: snapshot, AsOf: time.Now()})
	p.proxy.propagationDelay = func() time.Duration { return testReportDelay }
	p.admitted.replica, p.admitted.service = p.proxy.replica.Load(), snapshot.Service("s")
	p.admitted.route = &snapshot.Declaration().Routes[0]
	return p
}

// silentPlacement returns an attempt on a server that begins at a given time.
func (p *placer) silentPlacement(server string, at time.Time) *placement {
	chosen := routing.Candidate{Endpoint: server}
	attempt := p.proxy.set.Begin(backend.Placement{
		Query: p.query(at), Chosen: chosen, StillValid: func(*routing.Candidate) bool { return true },
	}, at)
	return &placement{placer: p, request: p.routingRequest(), chosen: chosen, attempt: attempt, placedAt: at}
}

// allowance returns the time that an attempt is allowed for its prefill, in whole steps of
// givenUpAfter.
func (p *placer) allowance(now time.Time) time.Duration {
	attempt := p.silentPlacement("i-0", now)
	defer attempt.attempt.End(exchange.ResultNeutral, now)
	return (attempt.prefillAllowance() + silenceStep - 1).Truncate(silenceStep)
}

// silenceStep is the interval at which givenUpAfter checks an attempt.
const silenceStep = 10 * time.Millisecond

// givenUpAfter returns how long after sending an attempt is given up. The function answered returns
// the server's last answer to other nodes at a time.
func (p *placer) givenUpAfter(sent time.Time, answered func(at time.Time) time.Time) time.Duration {
	attempt := p.silentPlacement("i-0", sent)
	defer attempt.attempt.End(exchange.ResultNeutral, sent)
	for elapsed := -2 * time.Second; elapsed <= 5*time.Second; elapsed += silenceStep {
		now := sent.Add(elapsed)
		if elapsed%testReportInterval == 0 {
			work := backend.Work{Server: backend.ServerKey("i-0")}
			if last := answered(now.Add(-testReportAge)); !last.IsZero() {
				work.AnswerAge = max(1, now.Sub(last))
			}
			p.proxy.set.ApplyPeerWork([]backend.Work{work}, now)
		}
		if elapsed > 0 && attempt.exceedsSilenceLimitAt(elapsed, now) {
			return elapsed
		}
	}
	return -1
}

// Load: an engine answers 13 requests/s of other nodes; this node has one request of
// 400 ms target in its queue, and knows of answers up to 400 ms late. Guards against cancelling the attempt
// as silent after 200 ms, which reads the prompt again on another engine.
func TestAttemptIsKeptWhileServerAnswersOtherNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	answers := func(at time.Time) time.Time { return at.Truncate(75 * time.Millisecond) }
	p := sharedServicePlacer(100, 2, 0)
	allowance := p.allowance(now)
	require.Equal(t, time.Second+allowance, p.givenUpAfter(now, answers), "2.5 times the target, as for one that answers here")

	unshared := newTestPlacer(100, 2, 0)
	unshared.admitted.route = p.admitted.route
	require.Equal(t, 200*time.Millisecond+unshared.allowance(now), unshared.givenUpAfter(now, answers), "a service of one priority is as before")
}

// Guards against holding on to a dark server: where no other node hears it, or this node receives
// no reports, it is given up as early as without reports; after its last answer to others, once that
// limit and the delay of reports have passed.
func TestDarkServerIsGivenUpWithoutEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	p := sharedServicePlacer(100, 2, 0)
	target := p.admitted.route.TargetLatency
	never := func(time.Time) time.Time { return time.Time{} }
	limit := target/2 + p.allowance(now)
	require.Equal(t, limit, p.givenUpAfter(now, never))
	dark := func(since time.Time) func(at time.Time) time.Time {
		return func(at time.Time) time.Time {
			if at.After(since) {
				return since
			}
			return at
		}
	}
	require.Equal(t, limit, sharedServicePlacer(100, 2, 0).givenUpAfter(now, dark(now.Add(-testReportDelay))))
	require.Equal(t, target/2+testReportDelay, sharedServicePlacer(100, 2, 0).givenUpAfter(now, dark(now)), "it went dark as the request was sent")

	partitioned := sharedServicePlacer(100, 2, 0)
	partitioned.proxy.set.ApplyPeerWork([]backend.Work{{Server: backend.ServerKey("i-0"), AnswerAge: 1}}, now.Add(-1100*time.Millisecond))
	require.True(t, partitioned.silentPlacement("i-0", now).exceedsSilenceLimitAt(limit, now.Add(limit)), "its last report has expired")

	unreachable := sharedServicePlacer(100, 2, 0)
	unreachable.silentPlacement("i-0", now).attempt.End(exchange.ResultUnreached, now)
	unreachable.proxy.set.ApplyPeerWork([]backend.Work{{Server: backend.ServerKey("i-0"), AnswerAge: 1}}, now.Add(100*time.Millisecond))
	require.True(t, unreachable.silentPlacement("i-0", now).exceedsSilenceLimitAt(limit, now.Add(limit)), "others hear it, but this node cannot connect to it")
}

// Whatever peers report, an attempt is given up no earlier than at the short limit and no later than
// at the long one.
func TestSilenceLimitsHoldWhateverPeersReport(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		p := sharedServicePlacer(100, 2, 0)
		start := time.Unix(1000, 0)
		target := p.admitted.route.TargetLatency
		attempt := p.silentPlacement("i-0", start)
		for elapsed := 20 * time.Millisecond; elapsed < 2*target; elapsed += 20 * time.Millisecond {
			age := time.Duration(rapid.Int64Range(-1e9, 4e9).Draw(t, "age"))
			p.proxy.set.ApplyPeerWork([]backend.Work{{Server: backend.ServerKey("i-0"), AnswerAge: age}}, start.Add(elapsed))
			if attempt.exceedsSilenceLimitAt(elapsed, start.Add(elapsed)) {
				require.GreaterOrEqual(t, elapsed, target/2)
			}
		}
		longest := 5*target/2 + attempt.prefillAllowance()
		require.True(t, attempt.exceedsSilenceLimitAt(longest, start.Add(longest)))
	})
}

// Guards against requests that are reported as lacking a server although their deadline had passed: a placement found that out
// before the timer did.
func TestPlacementAfterDeadlineReportsDeadline(t *testing.T) {
	p := newTestPlacer(10, 2, 0)
	p.admitted.deadline = time.Now()
	outcome := exchange.Run(t.Context(), exchange.Request{Rules: exchange.Rules{MaxRuns: 1, MaxSends: 1}, Placer: p})
	require.Equal(t, failure.KindDeadline, outcome.Failure.Kind)
	require.Equal(t, failure.NotRun, outcome.Failure.Outcome)
}

// Guards against silent attempts that are given up although the request may be sent to no other server: because of crashes of
// servers that ran such requests meanwhile, or since it is not known which software version began the stream.
func TestSilentAttemptIsKeptIfNoOtherMayFollow(t *testing.T) {
	now := time.Now()
	const silent = time.Minute
	for name, bar := range map[string]func(p *placer){
		"quarantined": func(p *placer) {
			p.proxy.unconfirmed = func(uint64, time.Time) bool { return false }
			for server := range uint64(10) {
				p.proxy.quarantine.Suspect(p.admitted.suspects())
				p.proxy.quarantine.Resolve(p.admitted.suspects(), server, now, true, now)
			}
		},
		"unknown version": func(p *placer) { p.admitted.origin = &origin.Origin{Service: "s"} },
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPlacer(10, 3, 0)
			attempt := p.silentPlacement("i-0", now.Add(-silent))
			require.True(t, attempt.Stalled(silent), "another server would take it")
			bar(p)
			_, unplaced := p.Place([]string{"i-0"})
			require.NotNil(t, unplaced)
			require.False(t, attempt.Stalled(silent))
		})
	}
}

// Guards against a stream that goes on at a server whose path is silent, and which waits until its deadline since it yields to
// the other requests of that server.
func TestDeferredContinuationIsGivenUpForSilence(t *testing.T) {
	p, sent := sharedServicePlacer(1, 2, 0), time.Now()
	for _, continues := range []bool{true, false} {
		attempt := p.silentPlacement("i-0", sent)
		attempt.deferred, attempt.continues = true, continues
		other := p.silentPlacement("i-0", sent)
		silent := 10 * p.admitted.route.TargetLatency
		other.attempt.ResponseStarted(sent.Add(silent - time.Millisecond))
		require.Equal(t, continues, attempt.exceedsSilenceLimitAt(silent, sent.Add(silent)))
		attempt.attempt.End(exchange.ResultNeutral, sent)
		other.attempt.End(exchange.ResultNeutral, sent)
	}
}

// Guards against a stream that waits until its deadline at a server that its path leaves silent: nobody probed the path of a
// stream that had begun, and an attempt there counted as a run.
func TestPathOfSilentStreamIsProbed(t *testing.T) {
	const gap = 50 * time.Millisecond
	for name, test := range map[string]struct {
		// probed is what a probe of the path shows; nil if none is to be sent within a second.
		probed func(set *backend.Set, address string)
		heard  bool
		failed bool
	}{
		"the probe is not answered": {probed: func(set *backend.Set, address string) { set.ObserveUnanswered(address, boottime.Now(), boottime.Now()) }, failed: true},
		"the server answers": {probed: func(set *backend.Set, address string) {
			set.ObserveConnect(address, true, boottime.Now(), boottime.Now())
		}},
		"this node hears the server": {heard: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPlacer(10, 1, 0)
				p.proxy.forwarder = stubForwarder{}
				p.admitted.route = &catalog.Route{Name: "r", Kind: catalog.Stream, Resumable: true, TargetLatency: 800 * time.Millisecond, GapTarget: 500 * time.Millisecond}
				p.admitted.origin = &origin.Origin{}
				set, stream := p.proxy.set, p.silentPlacement("i-0", boottime.Now())
				_, stream.completion = outbound.TrackCompletion(context.Background())
				stream.ResponseStarted()
				for range 5 {
					time.Sleep(gap)
					stream.Forwarding()
				}
				time.Sleep(500 * time.Millisecond)
				if test.heard {
					other := p.silentPlacement("i-0", boottime.Now())
					other.attempt.ResponseStarted(boottime.Now())
				}
				require.False(t, stream.PathFailed(500*time.Millisecond))
				due := set.DuePathProbes(4, boottime.Now())
				require.Equal(t, test.probed != nil, len(due) == 1)
				if test.probed != nil {
					test.probed(set, due[0])
				}
				time.Sleep(time.Millisecond)
				require.Equal(t, test.failed, stream.PathFailed(501*time.Millisecond))
				stream.End(exchange.ResultSilent)
				closed := newRelease(stream, boottime.Now())
				require.Equal(t, test.failed, closed.silentOnFailedPath(boottime.Now()))
			})
		})
	}
}

// Guards against probes for each silence that is usual in a stream: hundreds of nodes have thousands of streams.
func TestUsualGapOfStreamCausesNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(10, 1, 0)
		p.proxy.forwarder = stubForwarder{}
		p.admitted.route = &catalog.Route{Name: "r", Kind: catalog.Stream, Resumable: true, TargetLatency: 800 * time.Millisecond, GapTarget: 500 * time.Millisecond}
		p.admitted.origin = &origin.Origin{}
		stream := p.silentPlacement("i-0", boottime.Now())
		stream.ResponseStarted()
		stream.Forwarding()
		time.Sleep(400 * time.Millisecond)
		require.False(t, stream.PathFailed(400*time.Millisecond))
		require.Empty(t, p.proxy.set.DuePathProbes(4, boottime.Now()), "nothing is known of its gaps")
		stream.Forwarding()
		time.Sleep(900 * time.Millisecond)
		require.False(t, stream.PathFailed(900*time.Millisecond))
		require.Empty(t, p.proxy.set.DuePathProbes(4, boottime.Now()))
		time.Sleep(100 * time.Millisecond)
		require.False(t, stream.PathFailed(time.Second))
		require.Len(t, p.proxy.set.DuePathProbes(4, boottime.Now()), 1, "half of the time for which it may be silent")
	})
}

// Guards against a stream that waits until its deadline on a connection that a short failure of its path has left silent, while the
// server responds on others.
func TestStreamOnConnectionThatPathHeldUpIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(10, 2, 0)
		p.proxy.forwarder = stubForwarder{}
		p.admitted.route = &catalog.Route{Name: "r", Kind: catalog.Stream, Resumable: true, TargetLatency: 800 * time.Millisecond, GapTarget: 500 * time.Millisecond}
		p.admitted.origin = &origin.Origin{}
		set, stream := p.proxy.set, p.silentPlacement("i-0", boottime.Now())
		stream.ResponseStarted()
		stream.Forwarding()
		time.Sleep(50 * time.Millisecond)
		stream.Forwarding()
		time.Sleep(500 * time.Millisecond)
		require.False(t, stream.PathFailed(500*time.Millisecond))
		probedAt := boottime.Now()
		require.Len(t, set.DuePathProbes(4, probedAt), 1)
		time.Sleep(time.Second)
		other := p.silentPlacement("i-0", boottime.Now())
		other.attempt.ResponseStarted(boottime.Now())
		time.Sleep(499 * time.Millisecond)
		set.ObserveUnanswered("at i-0", probedAt, boottime.Now())
		require.False(t, set.PathBroken("i-0"))
		require.False(t, stream.PathFailed(1999*time.Millisecond))
		time.Sleep(time.Millisecond)
		require.True(t, stream.PathFailed(2*time.Second), "it is silent for as long as it may be")
	})
}
