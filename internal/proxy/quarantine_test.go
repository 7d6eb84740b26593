package proxy

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// refusingServers are servers that have all crashed and refuse connections.
type refusingServers struct{ probes atomic.Int64 }

func (g *refusingServers) Send(context.Context, Dispatch) (*exchange.Reply, error) {
	return nil, context.Canceled
}

func (g *refusingServers) RefusesConnections(string) bool {
	g.probes.Add(1)
	return true
}

// acceptingServers are servers that accept connections of a node that asks for one.
type acceptingServers struct{ refusingServers }

func (*acceptingServers) RefusesConnections(string) bool { return false }

// suspicionRecorder records resolved suspicions.
type suspicionRecorder struct {
	nopRecorder
	resolved chan Suspicion
}

func (s *suspicionRecorder) SuspicionResolved(suspicion Suspicion) { s.resolved <- suspicion }

// Guards against resolving only the first of several suspicions of one server. The server is probed
// at most once per LivenessCheckDelay (0.5 s). When only the time of the last probe was cached, and
// not its result, later requests took the server to be alive until its registration expired seconds
// later. If the culprit was among them, the request resolved first seemed to have run alone.
func TestConnectionProbeResultIsSharedByConcurrentSuspicions(t *testing.T) {
	servers, recorder := &refusingServers{}, &suspicionRecorder{resolved: make(chan Suspicion, 10)}
	set := backend.NewSet()
	set.Update([]backend.Server{{Instance: "i-1", Address: "at i-1", Service: "s"}}, time.Now())
	proxy := New(Options{Servers: servers, Set: set, Quarantine: quarantine.NewLedger(), Recorder: recorder, EntryTTL: time.Minute, Replica: &catalog.AtomicReplica{}})
	server := routing.Candidate{Endpoint: "i-1", Address: "at i-1"}
	for _, body := range []string{"one", "other", "third"} {
		asked := &admitted{request: &Request{Body: []byte(body)}, service: &catalog.Service{Name: "s"}}
		proxy.suspect(asked.suspects(), brokenAttempt{server: server, sentAt: time.Now(), at: time.Now()})
	}
	for range 3 {
		select {
		case suspicion := <-recorder.resolved:
			require.True(t, suspicion.Terminated)
		case <-time.After(4 * LivenessCheckDelay):
			t.Fatal("suspicion not resolved in time")
		}
	}
	require.Equal(t, int64(1), servers.probes.Load())
}

// settleFixture is a node that has used two servers. The first one has closed a connection at brokenAt.
type settleFixture struct {
	set      *backend.Set
	brokenAt time.Time
}

func newSettleFixture() *settleFixture {
	f := &settleFixture{set: backend.NewSet(), brokenAt: boottime.Now().Add(-LivenessCheckDelay)}
	before := f.brokenAt.Add(-LivenessCheckDelay)
	f.list("i-0", "i-1")
	for _, server := range []string{"i-0", "i-1"} {
		f.connect(server, true, before)
		f.begin(server, before).End(exchange.ResultServed, before)
	}
	return f
}

func (f *settleFixture) list(servers ...string) {
	var list []backend.Server
	for _, server := range servers {
		list = append(list, backend.Server{Instance: server, Address: "at " + server, Service: "s"})
	}
	f.set.Update(list, boottime.Now())
}

func (f *settleFixture) connect(server string, connected bool, now time.Time) {
	f.set.ObserveConnect("at "+server, connected, now, now)
}

func (f *settleFixture) begin(server string, now time.Time) *backend.Attempt {
	placement := backend.Placement{
		Chosen:     routing.Candidate{Endpoint: server},
		Query:      backend.Query{Distance: func(string) int { return 0 }},
		StillValid: func(*routing.Candidate) bool { return true },
	}
	return f.set.Begin(placement, now)
}

// failToConnect fails an attempt for want of a connection.
func (f *settleFixture) failToConnect(server string) {
	now := boottime.Now()
	attempt := f.begin(server, now)
	f.connect(server, false, now)
	attempt.End(exchange.ResultUnreached, now)
}

func (f *settleFixture) isolate() {
	f.failToConnect("i-0")
	f.failToConnect("i-1")
}

// failAlone fails to connect to the server while another one is reached.
func (f *settleFixture) failAlone() {
	f.failToConnect("i-0")
	f.connect("i-1", true, boottime.Now())
}

// hearOfOther lets other nodes report an answer of the other server.
func (f *settleFixture) hearOfOther() {
	now := boottime.Now().Add(LivenessCheckDelay / 2)
	f.set.ApplyPeerWork([]backend.Work{{Server: backend.ServerKey("i-1"), AnswerAge: 1}}, now)
}

// Guards against requests that are quarantined since a partitioned node took its own failed connections for crashes of
// the servers. It failed to connect to a server before it could tell that it reached none, and no later request to that
// server corrected this.
func TestFailedConnectionOfIsolatedNodeIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		responding bool
		// before and after happen before and after the liveness check.
		before, after func(f *settleFixture)
		want          Evidence
		crashed       bool
	}{
		"isolated":                  {responding: true, before: (*settleFixture).isolate, want: EvidenceListed},
		"before the response":       {before: (*settleFixture).isolate, want: EvidenceListed},
		"isolated after the check":  {after: (*settleFixture).isolate, want: EvidenceListed},
		"isolation ends":            {responding: true, before: (*settleFixture).isolate, after: func(f *settleFixture) { f.connect("i-1", true, boottime.Now()) }, want: EvidenceListed},
		"other nodes hear the rest": {responding: true, before: (*settleFixture).isolate, after: (*settleFixture).hearOfOther, want: EvidencePeers},
		"the registration is gone":  {responding: true, before: (*settleFixture).isolate, after: func(f *settleFixture) { f.list("i-1") }, want: EvidenceUnlisted, crashed: true},
		"another incarnation":       {responding: true, before: (*settleFixture).isolate, after: func(f *settleFixture) { f.set.Gone("i-0", boottime.Now()) }, want: EvidenceReplaced, crashed: true},
		"not isolated":              {before: (*settleFixture).failAlone, want: EvidenceConnection, crashed: true},
		"not isolated after":        {after: (*settleFixture).failAlone, want: EvidenceConnection, crashed: true},
		"not isolated, responding":  {responding: true, before: (*settleFixture).failAlone, want: EvidenceSilence, crashed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSettleFixture()
			proxy := New(Options{Servers: &acceptingServers{}, Set: f.set, EntryTTL: LivenessCheckDelay, Replica: &catalog.AtomicReplica{}})
			settled := make(chan conclusion, 1)
			if c.before != nil {
				c.before(f)
			}
			proxy.settle(brokenAttempt{server: routing.Candidate{Endpoint: "i-0", Address: "at i-0"}, responding: c.responding, at: f.brokenAt}, func(c conclusion) { settled <- c })
			if c.after != nil {
				c.after(f)
			}
			require.Equal(t, conclusion{crashed: c.crashed, evidence: c.want}, <-settled)
		})
	}
}

// Guards against a crash that is refuted by a list of servers that was read before the crashed server's registration had to
// expire: a request that crashes servers made its node look isolated, and was then sent again and again.
func TestCrashIsNotRefutedByOlderList(t *testing.T) {
	const entryTTL = 1500 * time.Millisecond
	for name, test := range map[string]struct {
		// gone is whether the list that is read after the expiry lacks the server, and unread that none is read.
		gone, unread bool
		evidence     Evidence
	}{
		"gone by the next list":   {gone: true, evidence: EvidenceUnlisted},
		"listed by the next list": {evidence: EvidenceListed},
		"no further list":         {unread: true, evidence: EvidenceListed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := backend.NewSet()
				set.Update([]backend.Server{{Instance: "i-1", Address: "at i-1", Service: "s"}}, boottime.Now())
				proxy := New(Options{Set: set, Quarantine: quarantine.NewLedger(), Recorder: nopRecorder{}, EntryTTL: entryTTL, Replica: &catalog.AtomicReplica{}})
				brokenAt := boottime.Now()
				set.ObserveListRead(brokenAt.Add(entryTTL - time.Millisecond))
				time.AfterFunc(entryTTL+100*time.Millisecond, func() {
					if test.gone {
						set.Update(nil, boottime.Now())
					}
					if !test.unread {
						set.ObserveListRead(boottime.Now())
					}
				})
				concluded := make(chan conclusion, 1)
				proxy.settleByRegistration(brokenAttempt{server: routing.Candidate{Endpoint: "i-1", Address: "at i-1"}, at: brokenAt}, true, func(c conclusion) { concluded <- c })
				got := <-concluded
				require.Equal(t, test.evidence, got.evidence)
				require.Equal(t, test.gone, got.crashed)
			})
		})
	}
}
