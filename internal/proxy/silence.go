package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
)

// silenceRecheckInterval is the interval at which a silent attempt is checked again, where reports
// of other nodes may show that its server answers: at most that of the reports.
const silenceRecheckInterval = 50 * time.Millisecond

// unusualGapFactor is the silence of a stream, as a multiple of its longest gap so far, from which on its path is suspected.
const unusualGapFactor = 4

// serverEvidence is what is known of the server of a silent attempt.
type serverEvidence int

const (
	// serverSilent means that the server has not responded to any node, as far as known.
	serverSilent serverEvidence = iota
	// evidencePending means that other nodes heard the server so recently that their report of a
	// response during the silence may still be on its way.
	evidencePending
	// answeredPeers means that the server has responded to another node during the silence, and
	// answeredHere that it has responded to this node.
	answeredPeers
	answeredHere
)

// exceedsSilenceLimit reports whether an attempt has been silent for too long, not counting the
// expected prefill of its prompt and of those queued before it. The limit is shorter if the server
// has not answered any request meanwhile, and longer if it is merely busy.
func (placement *placement) exceedsSilenceLimit(silent time.Duration) bool {
	return placement.exceedsSilenceLimitAt(silent, boottime.Now())
}

func (placement *placement) exceedsSilenceLimitAt(silent time.Duration, now time.Time) bool {
	if !placement.responding {
		silent -= placement.prefillAllowance()
	}
	target := placement.placer.admitted.route.TargetLatency
	if silent <= 0 || silent < target/2 {
		return false
	}
	evidence := placement.serverEvidence(silent, now)
	if evidence == serverSilent {
		return true
	}
	// A deferred request yields to others for as long as the server serves these, unless its caller has events already and
	// waits for the next one.
	yields := placement.deferred && !placement.responding && !placement.continues
	exceeds := !yields && silent >= time.Duration(maxSilenceFactor*float64(target))
	if !exceeds && evidence != answeredHere {
		placement.recordKept(silent)
	}
	return exceeds
}

// serverEvidence returns what is known of the server after a silence. It considers the reports of
// other nodes only for services that routes of different priority share.
func (placement *placement) serverEvidence(silent time.Duration, now time.Time) serverEvidence {
	since := now.Add(-silent)
	switch {
	case placement.attempt.ServerRespondedHereSince(since):
		return answeredHere
	case !placement.placer.sharesPriorities():
		return serverSilent
	case placement.attempt.ServerRespondedSince(since):
		return answeredPeers
	case placement.evidencePending(now):
		return evidencePending
	default:
		return serverSilent
	}
}

// evidencePending reports whether other nodes may hear the server although no report shows it yet.
// A server counts as silent towards them once the shorter silence limit has passed since they last
// heard it, and also the time that a report takes. A server that no other node has heard recently
// has no such extra time.
func (placement *placement) evidencePending(now time.Time) bool {
	at, found := placement.attempt.PeersAnsweredAt(now)
	if !found {
		return false
	}
	limit := placement.placer.admitted.route.TargetLatency / 2
	return now.Sub(at) < limit+placement.placer.proxy.reportDelay()
}

// recordKept records, once per attempt, that it is kept because other nodes hear its server.
func (placement *placement) recordKept(silent time.Duration) {
	if placement.kept {
		return
	}
	placement.kept = true
	placement.placer.proxy.recorder.AttemptKept(placement.placer.admitted.request, placement.chosen.Endpoint, silent)
}

// PathFailed reports whether this node's path to the server has failed under the attempt of a stream that has begun, and has
// been silent for some time. It has the path probed once that is long for the stream, unless this node has heard the server
// meanwhile. A server that has not begun its response is probed with others that do not answer: it may be busy with the prompt.
func (placement *placement) PathFailed(silent time.Duration) bool {
	return placement.pathFailedAt(silent, boottime.Now())
}

// unusualGap returns the silence from which on the path of the stream is suspected; longest is the one that its server is allowed.
func (placement *placement) unusualGap(longest time.Duration) time.Duration {
	if placement.longestGap == 0 {
		return longest / 2
	}
	return min(unusualGapFactor*placement.longestGap, longest/2)
}

// hasOwnPath reports whether the attempt is one of a stream that has begun, and was sent by this node itself although others could.
func (placement *placement) hasOwnPath() bool {
	return placement.placer.proxy.forwarder != nil && placement.placer.admitted.origin != nil && !placement.attempt.Detour()
}

func (placement *placement) pathFailedAt(silent time.Duration, now time.Time) bool {
	proxy, since := placement.placer.proxy, now.Add(-silent)
	if !placement.hasOwnPath() {
		return false
	}
	longest := placement.placer.silenceTimeouts().BetweenEvents
	if placement.responding && silent >= placement.unusualGap(longest) && !placement.attempt.ServerRespondedHereSince(since) {
		proxy.set.SuspectPathSince(placement.chosen.Endpoint, since, now)
	}
	failed := proxy.set.PathVerdict(placement.chosen.Endpoint, since, now) == backend.PathFailed
	return failed || silent >= longest && proxy.set.PathLapsed(placement.chosen.Endpoint, since)
}

// sharesPriorities reports whether routes of different priority share the request's service.
func (placer *placer) sharesPriorities() bool {
	snapshot := placer.admitted.replica.Snapshot
	return snapshot != nil && snapshot.SharesPriorities(placer.admitted.service.Name)
}

// reportDelay returns the time in which other nodes' reports reach this node.
func (proxy *Proxy) reportDelay() time.Duration {
	if proxy.propagationDelay == nil {
		return 0
	}
	return proxy.propagationDelay()
}
