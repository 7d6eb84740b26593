package proxy

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/outbound"
)

const (
	// releaseCheckInterval is the interval at which it is checked whether a server still works on an attempt that was
	// given up, apart from the end of its connection.
	releaseCheckInterval = 50 * time.Millisecond
	// livenessCheckInterval is the interval of the liveness checks of a server that does not end an attempt, and
	// livenessCheckTimeout the timeout of one. A server that has stopped fails them, and one to which the connection of
	// the attempt hangs does not.
	livenessCheckInterval = 500 * time.Millisecond
	livenessCheckTimeout  = 200 * time.Millisecond
	// minCallerIdleTimeout, callerTargetFactor and callerGapFactor determine after which gap callers give a stream
	// up: the longest of the first, and of these multiples of the target latency and of the target gap.
	minCallerIdleTimeout = 2 * time.Second
	callerTargetFactor   = 4
	callerGapFactor      = 8
)

// AwaitRelease waits until the attempt, which was given up, no longer runs at its server. A server that has stopped for
// a moment does not notice meanwhile that its connection was closed, and would go on with a stream that continues at
// another one.
func (placement *placement) AwaitRelease(ctx context.Context) exchange.ReleaseReason {
	if placement.placer.admitted.route.Kind != catalog.Stream || placement.completion == nil {
		return exchange.ReleaseNotRequired
	}
	release := newRelease(placement, boottime.Now())
	reason := release.await(ctx)
	if release.awaitPathFailure(ctx) || release.silentOnFailedPath(boottime.Now()) {
		return exchange.ReleaseUnreachable
	}
	return reason
}

// await waits until the attempt no longer runs at its server, or the caller can wait no longer.
func (r *release) await(ctx context.Context) exchange.ReleaseReason {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(releaseCheckInterval)
	defer ticker.Stop()
	done := r.placement.completion.Done()
	for {
		select {
		case <-done:
			if reason := r.complete(boottime.Now()); reason != "" {
				return reason
			}
			done = nil
		case <-ctx.Done():
			return exchange.ReleaseOverdue
		case <-ticker.C:
			if reason := r.check(boottime.Now()); reason != "" {
				return reason
			}
			r.checkLiveness(ctx, boottime.Now())
		}
	}
}

// silentOnFailedPath reports whether an attempt of a stream that has begun was given up for its silence, and this node's path to the
// server has failed meanwhile.
func (r *release) silentOnFailedPath(now time.Time) bool {
	if !r.placement.gaveUpSilent || !r.placement.hasOwnPath() {
		return false
	}
	since := r.placement.placedAt
	if r.placement.responding {
		since = r.placement.lastEventAt
	}
	set, server := r.placement.placer.proxy.set, r.placement.chosen.Endpoint
	return set.PathVerdict(server, since, now) == backend.PathFailed || set.PathLapsed(server, since)
}

// awaitPathFailure reports whether an attempt of a stream that has begun broke because this node's path to the server failed.
// It waits no longer for that than for a silent server.
func (r *release) awaitPathFailure(ctx context.Context) bool {
	if r.placement.brokenAt.IsZero() || !r.placement.hasOwnPath() {
		return false
	}
	return r.placement.placer.proxy.awaitPathFailure(ctx, r.placement.chosen.Endpoint, r.placement.placedAt, r.placement.brokenAt, r.placement.placer.silenceTimeouts().BetweenEvents)
}

// awaitPathFailure reports whether this node's path to a server failed under an attempt that was sent at a time and failed at
// another. It waits for the probe that shows it, until the longest time has passed since then: a node with many servers probes
// some of them later. The path counts as failed then while this node is isolated, and if it was broken when the attempt was
// sent. That is not concluded earlier: the next attempt would go the same way until other nodes are known to reach the server.
func (proxy *Proxy) awaitPathFailure(ctx context.Context, server string, sentAt, failedAt time.Time, longest time.Duration) bool {
	ticker := time.NewTicker(releaseCheckInterval)
	defer ticker.Stop()
	for {
		now := boottime.Now()
		verdict, onBroken := proxy.set.PathVerdict(server, failedAt, now), proxy.set.SentOnBrokenPath(server, sentAt)
		switch {
		case verdict == backend.PathFailed:
			return true
		case now.Sub(failedAt) >= longest:
			return onBroken || proxy.set.IsolatedSince(failedAt)
		case verdict == backend.PathNotFailed && !onBroken:
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// release is the wait for the end of one attempt at its server.
type release struct {
	placement *placement
	closedAt  time.Time
	// latest is when another server must get the stream to complete it by its deadline; zero if that is not possible.
	latest time.Time
	// responsiveSince is when the server is first known to have responded after closedAt; zero if it has not.
	responsiveSince time.Time
	// reset is the wait for a server that sent on until its connection was reset.
	reset resetWait
}

func newRelease(placement *placement, now time.Time) *release {
	r := &release{placement: placement, closedAt: now}
	admitted := placement.placer.admitted
	if latest := admitted.deadline.Add(-placement.placer.proxy.runTimes.estimate(admitted.route.Name)); latest.After(now) {
		r.latest = latest
	}
	return r
}

// complete returns why the attempt counts as ended once its connection is closed, or "" if that does not show it.
func (r *release) complete(now time.Time) exchange.ReleaseReason {
	switch r.placement.completion.Result() {
	case outbound.CompletionEnded:
		r.observeEnd(now)
		return exchange.ReleaseEnded
	case outbound.CompletionReset:
		r.reset = r.placement.newResetWait(now)
	}
	return ""
}

// check returns why the attempt counts as ended although its connection is not, or "".
func (r *release) check(now time.Time) exchange.ReleaseReason {
	proxy, server := r.placement.placer.proxy, r.placement.chosen.Endpoint
	r.observeResponses()
	switch {
	case proxy.set.Replaced(server):
		return exchange.ReleaseReplaced
	case !r.placement.detour && proxy.set.PathBroken(server) && proxy.set.PartitionedFrom(backend.ServerKey(server), r.closedAt):
		return exchange.ReleaseUnreachable
	case r.reset.over(now):
		return exchange.ReleaseResponsive
	case !r.reset.begun() && r.connectionHangs(now):
		go r.observeLateEnd()
		return exchange.ReleaseResponsive
	case now.Sub(r.closedAt) > proxy.closeTimes.estimate(r.service()) && r.overdue(now):
		return exchange.ReleaseOverdue
	}
	return ""
}

// connectionHangs reports whether the server has shown signs of life for longer than it takes to notice a close, and cannot
// notice that of the attempt's connection. A server that could, and has not ended the attempt, still works on it.
func (r *release) connectionHangs(now time.Time) bool {
	responsive := !r.responsiveSince.IsZero() && now.Sub(r.responsiveSince) > r.placement.placer.proxy.closeTimes.estimate(r.service())
	return responsive && !r.placement.completion.CloseAcknowledged()
}

// observeResponses records whether the server has responded since the attempt was given up.
func (r *release) observeResponses() {
	at := r.placement.placer.proxy.set.LastAliveAt(r.placement.chosen.Endpoint)
	if r.responsiveSince.IsZero() && at.After(r.closedAt) {
		r.responsiveSince = at
	}
}

// checkLiveness starts a liveness check of a server that takes longer than usual to end the attempt.
func (r *release) checkLiveness(ctx context.Context, now time.Time) {
	proxy, name := r.placement.placer.proxy, r.placement.chosen.Endpoint
	early := now.Sub(r.closedAt) <= proxy.closeTimes.estimate(r.service())
	if early || proxy.reportBorn == nil || r.placement.detour || !r.responsiveSince.IsZero() {
		return
	}
	server, due := proxy.set.BeginLivenessCheck(name, livenessCheckInterval, now)
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, livenessCheckTimeout)
		defer cancel()
		if _, err := proxy.reportBorn(ctx, server); err == nil {
			proxy.set.ObserveAlive(name, boottime.Now())
		}
	}()
}

// overdue reports whether the stream must go on elsewhere now: its caller would give it up, or another server could not
// complete it by its deadline any more.
func (r *release) overdue(now time.Time) bool {
	return now.Sub(r.placement.silentSince()) >= r.placement.placer.maxServerSilence() || !r.latest.IsZero() && !now.Before(r.latest)
}

// silentSince returns since when the server has been silent towards this node, not counting the time allowed for the
// prefill of the prompt.
func (placement *placement) silentSince() time.Time {
	silent := placement.lastEventAt
	if !placement.responding {
		silent = placement.placedAt.Add(placement.prefillAllowance())
	}
	if at := placement.placer.proxy.set.SilentSince(placement.chosen.Endpoint); !at.IsZero() && at.Before(silent) {
		return at
	}
	return silent
}

func (r *release) service() string { return r.placement.placer.admitted.service.Name }

// observeLateEnd learns how long the server takes to end the attempt. Connections do not linger for ever.
func (r *release) observeLateEnd() {
	<-r.placement.completion.Done()
	if r.placement.completion.Result() == outbound.CompletionEnded {
		r.observeEnd(boottime.Now())
	}
}

// observeEnd records that the server has ended the attempt, and how long it took, not counting the time in which it was
// silent.
func (r *release) observeEnd(now time.Time) {
	proxy := r.placement.placer.proxy
	proxy.set.ObserveAlive(r.placement.chosen.Endpoint, now)
	if !r.responsiveSince.IsZero() {
		proxy.closeTimes.observe(r.service(), now.Sub(r.responsiveSince))
	}
}

// maxServerSilence returns how long a server may be silent until its streams go on at others in any case. Callers then
// have an event in time if those begin within the target latency.
func (placer *placer) maxServerSilence() time.Duration {
	route := placer.admitted.route
	idleTimeout := max(minCallerIdleTimeout, callerTargetFactor*route.TargetLatency, callerGapFactor*route.GapTarget)
	return idleTimeout - route.TargetLatency
}

// trackCompletion returns the context of the attempt's calls.
func (placement *placement) trackCompletion(ctx context.Context) context.Context {
	ctx, placement.completion = outbound.TrackCompletion(ctx)
	return ctx
}

// resetWait is the wait until a server notices, when it writes again, that its connection was reset. The zero value does not
// end.
type resetWait struct{ until time.Time }

// newResetWait returns the wait of an attempt whose connection was just reset.
func (placement *placement) newResetWait(now time.Time) resetWait {
	service := placement.placer.admitted.service.Name
	gap := max(placement.longestGap, placement.placer.proxy.eventGaps.estimate(service), placement.placer.eventGapTimeout())
	return resetWait{until: now.Add(gap)}
}

// begun reports whether the connection was reset.
func (w resetWait) begun() bool { return !w.until.IsZero() }

func (w resetWait) over(now time.Time) bool { return w.begun() && !now.Before(w.until) }
