package proxy

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// LivenessCheckDelay is how long a server that closed a connection before its complete response
// has to answer a request that was sent later. Servers in use answer many times per second. The
// rest of the time until the whole fleet knows of a crash is propagation between nodes.
const SettleTime = 500 * time.Millisecond

// maxCachedProbes bounds the cached connection probes. When it is reached, all are discarded.
const mostAsked = 1024

// Suspicion is the resolved suspicion that a server crashed while it ran a request.
type Suspicion struct {
	Fingerprint quarantine.Fingerprint
	Server      string
	// Ended is false if the server has answered a request that was sent later.
	Ended bool
	// After is the time from the suspicion to its resolution.
	After time.Duration
}

// fingerprint returns the request's fingerprint, which is the same for all its retries.
func (admitted *admitted) fingerprint() quarantine.Fingerprint {
	if admitted.print == 0 {
		request := admitted.request
		identity := quarantine.Identity{Method: request.Method, Host: request.Host, Target: request.Target, Body: request.Body}
		if admitted.tenant != nil {
			identity.Caller = admitted.tenant.Name
		}
		admitted.print = identity.Fingerprint()
	}
	return admitted.print
}

// quarantineVerdict returns the verdict on a request. It does not compute the fingerprint while
// there are no suspicions.
func (proxy *Proxy) heldOff(admitted *admitted, now time.Time) quarantine.Verdict {
	if !proxy.requests.Active() {
		return quarantine.Verdict{}
	}
	return proxy.requests.Judge(admitted.fingerprint(), proxy.unsure, now)
}

// checkQuarantine refuses a quarantined request as not run, with the time at which it may be
// retried. A permanent rejection would be wrong, since crashes are no proof: the request may only
// have run beside the one that caused them.
func (proxy *Proxy) checkQuarantine(admitted *admitted, now time.Time) *failure.Failure {
	verdict := proxy.heldOff(admitted, now)
	if !verdict.Held {
		return nil
	}
	proxy.recorder.HeldOff(admitted.request, admitted.fingerprint(), verdict)
	return failure.New(failure.KindHeldOff, heldOffProblem(verdict), "change the request, or retry after the given delay").
		WithRetryAfter(verdict.Until.Sub(now))
}

func heldOffProblem(verdict quarantine.Verdict) string {
	if verdict.Ends == 0 {
		return "servers have crashed while running this request"
	}
	return fmt.Sprintf("%d servers have crashed while running this request", verdict.Ends)
}

// isolationThreshold is the number of crashes under a request from which on it is isolated from
// others. A single crash may be unrelated and affects every request on the server; their retries
// are best served where their prompts are cached.
const suspiciousEnds = 2

// isolateSuspect gives a suspected request a server ranking of its own. The ranking is the same on
// all nodes, so that two suspected requests rarely share a server, whichever nodes send them.
func (placer *placer) separate(candidates []routing.Candidate) {
	requests := placer.proxy.requests
	if !requests.Active() {
		return
	}
	fingerprint := placer.admitted.fingerprint()
	if requests.Suspected(fingerprint) < suspiciousEnds {
		return
	}
	for i := range candidates {
		weight := prefix.Weight(prefix.Hash(fingerprint), candidates[i].Endpoint)
		candidates[i].Apart = 1 - float64(weight)/math.MaxUint64
	}
}

// suspect records that a server closed the connection before its complete response to a request.
// If the response had begun, the server counts as crashed unless it answers a later request. If
// not, the server may only have had too many connections, so that its crash must be confirmed,
// after LivenessCheckDelay or once its registration has expired.
func (proxy *Proxy) suspect(admitted *admitted, server routing.Candidate, began bool, at time.Time) {
	fingerprint, key := admitted.fingerprint(), backend.ServerKey(server.Endpoint)
	settle := func(ended bool) {
		now := boottime.Now()
		proxy.requests.Settle(fingerprint, key, at, ended, now)
		proxy.recorder.Settled(Suspicion{Fingerprint: fingerprint, Server: server.Endpoint, Ended: ended, After: now.Sub(at)})
	}
	proxy.requests.Suspect(fingerprint)
	time.AfterFunc(SettleTime, func() {
		answered := proxy.set.AnsweredSince(key, at)
		switch {
		case began || answered:
			settle(!answered)
		case proxy.set.Ended(key, at) || proxy.refuses(server.Address):
			settle(true)
		default:
			time.AfterFunc(proxy.lapse-SettleTime, func() { settle(proxy.set.Ended(key, at)) })
		}
	})
}

// connectionProbe checks once whether a server accepts connections. Concurrent callers share its
// result.
type question struct {
	at      time.Time
	once    sync.Once
	refused bool
}

// refusesConnections reports whether a server refuses connections. A server is probed at most
// once per LivenessCheckDelay, so that one that is short of connections does not get a probe for
// each broken one. The result resolves the suspicions of all requests that ran on the server. If
// it resolved only the first, the culprit could become known seconds after the requests that ran
// beside it, which would then seem to have run alone.
func (proxy *Proxy) refuses(address string) bool {
	asked := proxy.question(address, boottime.Now())
	asked.once.Do(func() { asked.refused = proxy.servers.Refuses(address) })
	return asked.refused
}

func (proxy *Proxy) question(address string, now time.Time) *question {
	proxy.asking.Lock()
	defer proxy.asking.Unlock()
	if last := proxy.asked[address]; last != nil && now.Sub(last.at) < SettleTime {
		return last
	}
	if len(proxy.asked) >= mostAsked {
		clear(proxy.asked)
	}
	next := &question{at: now}
	proxy.asked[address] = next
	return next
}

// clearSuspicion records that a request got a complete response.
func (proxy *Proxy) served(admitted *admitted, now time.Time) {
	if proxy.requests.Active() && proxy.requests.Served(admitted.fingerprint(), now) {
		proxy.recorder.Cleared(admitted.request, admitted.fingerprint())
	}
}
