package proxy

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// LivenessCheckDelay is how long a server that closed a connection before its complete response
// has to answer a request that was sent later. Servers in use answer many times per second. The
// rest of the time until the whole fleet knows of a crash is propagation between nodes.
const LivenessCheckDelay = 500 * time.Millisecond

// maxCachedProbes bounds the cached connection probes. When it is reached, all are discarded.
const maxCachedProbes = 1024

// Suspicion is the resolved suspicion that a server crashed while it ran a request.
type Suspicion struct {
	Suspects quarantine.Suspects
	Server   string
	// Terminated is false if the server has answered a request that was sent later, or if its
	// response had not begun and there is no other evidence that it has terminated.
	Terminated bool
	Evidence   Evidence
	// After is the time from the broken connection to the resolution of the suspicion.
	After time.Duration
}

// Evidence is what a suspicion was resolved by.
type Evidence string

const (
	// EvidenceAnswer is an answer of the server to a request of this node that was sent later.
	EvidenceAnswer Evidence = "answer"
	// EvidencePeers is an answer that other nodes got later, from the server or, at an isolated node, from another one.
	EvidencePeers Evidence = "answer to other nodes"
	// EvidenceSilence is the lack of an answer since the server had begun one.
	EvidenceSilence Evidence = "no answer"
	// EvidenceConnection is a failed connection of this node.
	EvidenceConnection Evidence = "failed connection"
	// EvidenceReplaced is another incarnation in the place of the server.
	EvidenceReplaced Evidence = "replaced"
	// EvidenceUnlisted is that the registration of the server is gone, and EvidenceListed that it has outlasted a crash.
	EvidenceUnlisted Evidence = "unlisted"
	EvidenceListed   Evidence = "listed"
)

// conclusion is whether a server has crashed, and what shows it.
type conclusion struct {
	crashed  bool
	evidence Evidence
}

// minQuarantineRetryAfter is the minimum retry delay of a quarantined request, while another request is being tried.
const minQuarantineRetryAfter = time.Second

// maxSuspectParts bounds the parts of one prompt that are suspected if a server crashes, so that callers cannot make a
// node hash hundreds of them for each request.
const maxSuspectParts = 64

// maxListDelay bounds the wait for a list of servers that shows whether a crashed server's registration has expired.
const maxListDelay = 3 * time.Second

// minReportedCrashes is the number of crashes under a request, or a part of its prompt, from which on its attempts are
// recorded. A single crash affects every request on the server.
const minReportedCrashes = 2

// suspects returns what may make a server crash that runs the request: its fingerprint, which is the same for all its
// retries, and the shared parts of its prompt. The last part is covered by the fingerprint.
func (admitted *admitted) suspects() quarantine.Suspects {
	if admitted.suspected.Request == 0 {
		admitted.suspected = quarantine.Suspects{Service: admitted.service.Name, Request: admitted.fingerprint(), Parts: admitted.partFingerprints()}
	}
	return admitted.suspected
}

func (admitted *admitted) fingerprint() quarantine.Fingerprint {
	request := admitted.request
	identity := quarantine.Identity{Caller: admitted.caller(), Method: request.Method, Host: request.Host, Target: request.Target, Body: request.Body}
	return identity.Fingerprint()
}

// caller returns the tenant's name, or "" for routes that require no key.
func (admitted *admitted) caller() string {
	if admitted.tenant == nil {
		return ""
	}
	return admitted.tenant.Name
}

// partFingerprints returns the fingerprints of the shared parts of the prompt, each once, and at most maxSuspectParts.
func (admitted *admitted) partFingerprints() []quarantine.Fingerprint {
	var parts []quarantine.Fingerprint
	for _, part := range admitted.sharedParts() {
		if len(parts) == maxSuspectParts {
			break
		}
		if f := admitted.partFingerprint(part); !slices.Contains(parts, f) {
			parts = append(parts, f)
		}
	}
	return parts
}

func (admitted *admitted) partFingerprint(part Part) quarantine.Fingerprint {
	identity := quarantine.PartIdentity{Service: admitted.service.Name, Model: admitted.request.Prompt.Model, Caller: admitted.caller(), ID: part.ID}
	return identity.Fingerprint()
}

// quarantineVerdict returns the verdict on a request. It does not compute the fingerprints while
// there are no suspicions.
func (proxy *Proxy) quarantineVerdict(admitted *admitted, now time.Time) quarantine.Verdict {
	if !proxy.quarantine.Active() {
		return quarantine.Verdict{}
	}
	return proxy.quarantine.Evaluate(admitted.suspects(), proxy.unconfirmed, now)
}

// checkQuarantine refuses a quarantined request as not run, with the time at which it may be
// retried. A permanent rejection would be wrong, since crashes are no proof: the request may only
// have run beside the one that caused them. A request that claims the trial of a quarantined part is sent.
func (proxy *Proxy) checkQuarantine(ctx context.Context, admitted *admitted, now time.Time) *failure.Failure {
	verdict := proxy.quarantineVerdict(admitted, now)
	if !verdict.Quarantined || verdict.TrialDue && proxy.claimTrial(ctx, admitted, verdict) {
		return nil
	}
	proxy.recorder.RequestQuarantined(admitted.request, admitted.suspects(), verdict)
	problem, remedy := quarantineProblem(verdict), "change the request, or retry after the given delay"
	if verdict.Part {
		remedy = fmt.Sprintf("leave out or change part %s, or retry after the given delay", admitted.describePart(verdict.Suspect))
	}
	return failure.New(failure.KindQuarantined, problem, remedy).WithRetryAfter(max(minQuarantineRetryAfter, verdict.Until.Sub(now)))
}

// claimTrial reports whether the request is the one of the whole fleet by which a quarantined part is tried.
func (proxy *Proxy) claimTrial(ctx context.Context, admitted *admitted, verdict quarantine.Verdict) bool {
	if proxy.trials == nil {
		return false
	}
	claimed, err := proxy.trials.Claim(ctx, verdict.Suspect)
	if claimed || err != nil {
		proxy.recorder.TrialClaimed(admitted.request, verdict.Suspect, err)
	}
	if claimed {
		admitted.trial = verdict.Suspect
	}
	return claimed
}

// describePart names the part of the request's prompt with a fingerprint, by its place and ID.
func (admitted *admitted) describePart(f quarantine.Fingerprint) string {
	for place, part := range admitted.sharedParts() {
		if admitted.partFingerprint(part) == f {
			return fmt.Sprintf("%d of the prompt (ID %s)", place+1, part.ID)
		}
	}
	return "of the prompt"
}

func quarantineProblem(verdict quarantine.Verdict) string {
	what := "this request"
	if verdict.Part {
		what = "requests that share a part of this prompt"
	}
	if verdict.Crashes == 0 {
		return "servers have crashed while running " + what
	}
	return fmt.Sprintf("%d servers have crashed while running %s", verdict.Crashes, what)
}

// blockedByQuarantine returns why no attempt of the request may be sent, or "". A request that tries a quarantined part,
// or whose prompt has a suspected one, is not sent again once a server may have crashed under it.
func (placer *placer) blockedByQuarantine(now time.Time) string {
	admitted := placer.admitted
	placer.verdict = placer.proxy.quarantineVerdict(admitted, now)
	verdict := placer.verdict
	tries := verdict.TrialDue && verdict.Suspect == admitted.trial && !admitted.cutOff
	switch {
	case verdict.Quarantined && !tries:
		return quarantineProblem(verdict)
	case admitted.cutOff && placer.proxy.quarantine.Active() && placer.proxy.quarantine.SuspectedPart(admitted.suspects(), now):
		return "servers have crashed while running this request and others that share a part of its prompt"
	default:
		return ""
	}
}

// isolateSuspect gives a suspected request a server ranking of its own, or one that it shares with all requests with the
// same suspected parts. The ranking is the same on all nodes, so that two suspected requests, or requests with different
// suspected parts, rarely share a server, whichever nodes send them.
func (placer *placer) isolateSuspect(candidates []routing.Candidate) {
	ledger := placer.proxy.quarantine
	if !ledger.Active() {
		return
	}
	key := ledger.IsolationKey(placer.admitted.suspects(), boottime.Now())
	if key == 0 {
		return
	}
	for i := range candidates {
		weight := prefix.Weight(prefix.Hash(key), candidates[i].Endpoint)
		candidates[i].IsolationDistance = 1 - float64(weight)/math.MaxUint64
	}
}

// suspect records that a server closed the connection before its complete response to a request.
// If the response had begun, the server counts as crashed unless it answers a later request. If
// not, the server may only have had too many connections, so that its crash must be confirmed,
// after LivenessCheckDelay or once its registration has expired. It has not crashed if only this
// node's path to it has failed; an isolated node can tell only by the registration, and so can one that sent the attempt
// through another node.
func (proxy *Proxy) suspect(suspects quarantine.Suspects, broken brokenAttempt) {
	suspects, key := suspects.WithSentAt(broken.sentAt), backend.ServerKey(broken.server.Endpoint)
	resolve := func(c conclusion) {
		now := boottime.Now()
		proxy.quarantine.Resolve(suspects, key, broken.at, c.crashed, now)
		proxy.recorder.SuspicionResolved(Suspicion{Suspects: suspects, Server: broken.server.Endpoint, Terminated: c.crashed, Evidence: c.evidence, After: now.Sub(broken.at)})
	}
	proxy.quarantine.Suspect(suspects)
	time.AfterFunc(LivenessCheckDelay, func() { proxy.settle(broken, resolve) })
}

// brokenAttempt is an attempt whose connection ended before the complete response.
type brokenAttempt struct {
	server     routing.Candidate
	sentAt, at time.Time
	// responding is set if the response had begun, and detour if another node sent the attempt.
	responding bool
	detour     bool
}

// pathFailed reports whether the server lives as far as other nodes know, so that only this node's path has failed. An attempt
// that another node sent shows nothing of this node's path: then only answers of the server itself count.
func (proxy *Proxy) pathFailed(broken brokenAttempt) bool {
	key := backend.ServerKey(broken.server.Endpoint)
	if broken.detour {
		return proxy.set.AnsweredPeersSince(key, broken.at)
	}
	return proxy.set.PartitionedFrom(key, broken.at)
}

// settle determines whether the server of a broken attempt has crashed, LivenessCheckDelay ago, and passes the result to
// resolve.
func (proxy *Proxy) settle(broken brokenAttempt, resolve func(conclusion)) {
	key := backend.ServerKey(broken.server.Endpoint)
	switch {
	case proxy.pathFailed(broken):
		resolve(conclusion{evidence: EvidencePeers})
	case proxy.set.AnsweredSince(key, broken.at):
		resolve(conclusion{evidence: EvidenceAnswer})
	case broken.detour || proxy.set.IsolatedSince(broken.at):
		proxy.settleByRegistration(broken, true, resolve)
	case broken.responding:
		resolve(conclusion{crashed: true, evidence: EvidenceSilence})
	case proxy.set.Terminated(key, broken.at) || !proxy.set.FailsByPath(broken.server.Endpoint) && proxy.refusesConnections(broken.server.Address):
		resolve(conclusion{crashed: true, evidence: EvidenceConnection})
	default:
		proxy.settleByRegistration(broken, false, resolve)
	}
}

// settleByRegistration determines by the registration of a server whether it has crashed at a time: as soon as the
// registration is gone, or when that of a crashed server must have expired. If this node was isolated, its own failed
// connections show nothing of the server.
func (proxy *Proxy) settleByRegistration(broken brokenAttempt, isolated bool, resolve func(conclusion)) {
	time.AfterFunc(LivenessCheckDelay, func() {
		key := backend.ServerKey(broken.server.Endpoint)
		isolated := isolated || proxy.set.IsolatedSince(broken.at)
		expired := proxy.entryExpired(broken.at)
		listed, partitioned := proxy.set.Listed(key), proxy.pathFailed(broken)
		switch {
		case !expired && (listed || partitioned):
			proxy.settleByRegistration(broken, isolated, resolve)
		case partitioned:
			resolve(conclusion{evidence: EvidencePeers})
		case !listed:
			resolve(conclusion{crashed: true, evidence: EvidenceUnlisted})
		case proxy.set.Replaced(broken.server.Endpoint):
			resolve(conclusion{crashed: true, evidence: EvidenceReplaced})
		case !isolated && proxy.set.Terminated(key, broken.at):
			resolve(conclusion{crashed: true, evidence: EvidenceConnection})
		default:
			resolve(conclusion{evidence: EvidenceListed})
		}
	})
}

// entryExpired reports whether the registration of a server that crashed at a time must have expired, by a list that was
// read since. Without such a list it counts as expired after maxListDelay more.
func (proxy *Proxy) entryExpired(crashedAt time.Time) bool {
	expiresAt := crashedAt.Add(proxy.entryTTL)
	return proxy.set.ListReadSince(expiresAt) || boottime.Since(expiresAt) >= maxListDelay
}

// verifyEnd determines whether the server of a response that ended with its connection has crashed then: the response
// looks complete in either case. It is evidence for or against the request only once that is known.
func (proxy *Proxy) verifyEnd(admitted *admitted, end brokenAttempt, outcome exchange.Outcome) {
	time.AfterFunc(LivenessCheckDelay, func() {
		key := backend.ServerKey(end.server.Endpoint)
		if proxy.set.AnsweredSince(key, end.at) {
			proxy.clearSuspicion(admitted, outcome, boottime.Now())
			return
		}
		suspects := admitted.suspects().WithSentAt(end.sentAt)
		proxy.quarantine.Suspect(suspects)
		proxy.settle(end, func(c conclusion) {
			now := boottime.Now()
			proxy.quarantine.Resolve(suspects, key, end.at, c.crashed, now)
			if !c.crashed {
				proxy.clearSuspicion(admitted, outcome, now)
				return
			}
			proxy.recorder.SuspicionResolved(Suspicion{Suspects: suspects, Server: end.server.Endpoint, Terminated: true, Evidence: c.evidence, After: now.Sub(end.at)})
		})
	})
}

// connectionProbe checks once whether a server accepts connections. Concurrent callers share its
// result.
type connectionProbe struct {
	probedAt time.Time
	once     sync.Once
	refused  bool
}

// refusesConnections reports whether a server refuses connections. A server is probed at most
// once per LivenessCheckDelay, so that one that is short of connections does not get a probe for
// each broken one. The result resolves the suspicions of all requests that ran on the server. If
// it resolved only the first, the culprit could become known seconds after the requests that ran
// beside it, which would then seem to have run alone.
func (proxy *Proxy) refusesConnections(address string) bool {
	probe := proxy.probe(address, boottime.Now())
	probe.once.Do(func() { probe.refused = proxy.servers.RefusesConnections(address) })
	return probe.refused
}

func (proxy *Proxy) probe(address string, now time.Time) *connectionProbe {
	proxy.probesMutex.Lock()
	defer proxy.probesMutex.Unlock()
	if last := proxy.probes[address]; last != nil && now.Sub(last.probedAt) < LivenessCheckDelay {
		return last
	}
	if len(proxy.probes) >= maxCachedProbes {
		clear(proxy.probes)
	}
	next := &connectionProbe{probedAt: now}
	proxy.probes[address] = next
	return next
}

// clearSuspicion records that a request got a complete response. A failure of the server's own may have come before
// the server used the prompt, and says nothing of its parts.
func (proxy *Proxy) clearSuspicion(admitted *admitted, outcome exchange.Outcome, now time.Time) {
	if outcome.Failure != nil || !proxy.quarantine.Active() {
		return
	}
	suspects := admitted.suspects()
	if outcome.Status >= http.StatusMultipleChoices {
		suspects = quarantine.Suspects{Request: suspects.Request}
	}
	for _, cleared := range proxy.quarantine.Served(suspects, admitted.placedAt, now) {
		proxy.recorder.SuspicionCleared(admitted.request, cleared)
	}
}
