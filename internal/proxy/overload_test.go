package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/overload"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// overloadRecorder records the decisions of overload control.
type overloadRecorder struct {
	nopRecorder
	decisions []OverloadDecision
}

func (r *overloadRecorder) Overload(_ *Request, decision OverloadDecision) {
	r.decisions = append(r.decisions, decision)
}

// overloadFixture is a node before two servers with two slots each.
type overloadFixture struct {
	proxy    *Proxy
	recorder *overloadRecorder
	snapshot *catalog.Snapshot
	requests int
}

// newOverloadFixture returns a node whose routes "urgent" and "other" have the given priorities.
func newOverloadFixture(urgent, other int) *overloadFixture {
	route := func(name string, priority int, kind catalog.ExecutionPolicy) catalog.Route {
		return catalog.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Priority: priority, TargetLatency: 400 * time.Millisecond, Split: []catalog.Share{{Service: "s", Weight: 1}}}
	}
	snapshot := catalog.New(catalog.Declaration{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{TokenBytes: 1000, LinkBitsPerSecond: 1e12}}},
		Routes: []catalog.Route{route("urgent", urgent, catalog.Idempotent), route("other", other, catalog.AtMostOnce)}})
	replica := &catalog.AtomicReplica{}
	replica.Store(&catalog.Replica{Snapshot: snapshot, AsOf: time.Now()})
	set := backend.NewSet()
	var list []backend.Server
	for i := range 2 {
		list = append(list, backend.Server{Instance: fmt.Sprint("i-", i), Address: fmt.Sprint("at ", i), Service: "s", Slots: 2, Versions: map[string]int64{"m": 1}})
	}
	set.Update(list, time.Now())
	services := overload.NewServices(overload.NewLocalPromises())
	services.Resize(1)
	// The servers are known to compute 20,000 tokens a second.
	estimator := capacity.NewEstimator()
	for i := range 20 {
		server := backend.ServerKey(list[i%2].Incarnation())
		estimator.Observe(capacity.Measurement{Service: "s", Server: server, Tokens: 4000, Elapsed: 200 * time.Millisecond}, time.Now())
	}
	recorder := &overloadRecorder{}
	return &overloadFixture{recorder: recorder, snapshot: snapshot, proxy: New(Options{
		Replica: replica, Distance: func(string) int { return 0 }, Set: set, Ledger: residency.NewLedger(), Recorder: recorder,
		Quarantine: quarantine.NewLedger(), ServerLimits: quota.NewServerLimits(set.Contains, rand.Float64), Overload: services, Capacity: estimator,
	})}
}

// placer returns the placer of a new request of a route.
func (f *overloadFixture) placer(route string, timeout time.Duration) *placer {
	f.requests++
	prompt := &Prompt{Model: "m", Tokens: 4000, Parts: []Part{{ID: fmt.Sprint(f.requests), Tokens: 4000}}}
	now := time.Now()
	return newPlacer(f.proxy, &admitted{
		request: &Request{ID: fmt.Sprint("request-", f.requests), Body: fmt.Append(nil, f.requests), Prompt: prompt, Arrived: now},
		replica: f.proxy.replica.Load(), route: f.snapshot.FindRoute("h", "/"+route+"/"), service: f.snapshot.Service("s"), deadline: now.Add(timeout),
	})
}

// fill places later attempts of requests, which wait at the servers for longer than the target
// latency.
func (f *overloadFixture) fill(t *testing.T) {
	for range 6 {
		_, unplaced := f.placer("urgent", time.Minute).Place([]string{"another server"})
		require.Nil(t, unplaced)
	}
}

// Guards against overload control that is not asked, or whose refusals are answered other than as
// permanent ones of a request that has not run.
func TestOverloadedServiceRefusesBeforeSending(t *testing.T) {
	f := newOverloadFixture(0, 2)
	f.fill(t)
	for _, route := range []string{"urgent", "other"} {
		placed, unplaced := f.placer(route, 30*time.Second).Place(nil)
		require.Nil(t, placed)
		require.True(t, unplaced.Permanent)
		require.GreaterOrEqual(t, unplaced.RetryAfter, 100*time.Millisecond)
		require.LessOrEqual(t, unplaced.RetryAfter, 10*time.Second)
		require.Contains(t, unplaced.Reason, "overloaded")
		machine := exchange.NewMachine(exchange.Rules{}, nil, nil)
		machine.Start(time.Now())
		actions := machine.Step(time.Now(), *unplaced)
		require.Len(t, actions, 1)
		refusal := actions[0].(exchange.Fail).Failure
		require.Equal(t, failure.NotRun, refusal.Outcome)
		require.Equal(t, unplaced.RetryAfter, refusal.RetryAfter)
	}
	require.Len(t, f.recorder.decisions, 2)
	last := f.recorder.decisions[1]
	require.Equal(t, "s", last.Service)
	require.Equal(t, 2, last.Rank)
	require.Equal(t, overload.Pressure, last.Verdict.State)
	require.True(t, last.Verdict.Promised)
}

// Guards against refusals of requests that overload control does not cover: later attempts, resumed
// streams, and services whose routes all have the same priority.
func TestOverloadControlCoversOnlyFirstAttempts(t *testing.T) {
	f := newOverloadFixture(0, 2)
	f.fill(t)
	placed, unplaced := f.placer("urgent", 30*time.Second).Place([]string{"i-0 somewhere else"})
	require.Nil(t, unplaced)
	require.NotNil(t, placed)
	resuming, last := f.placer("urgent", 30*time.Second), int64(3)
	resuming.admitted.request.ResumeAfter = &last
	_, unplaced = resuming.Place(nil)
	require.Nil(t, unplaced)
	equal := newOverloadFixture(1, 1)
	equal.fill(t)
	_, unplaced = equal.placer("other", 30*time.Second).Place(nil)
	require.Nil(t, unplaced)
	require.Empty(t, equal.recorder.decisions)
}

// Guards against a request that waits although it cannot be served any more, and against one that is
// refused although it could not come back.
func TestDeadlineDecidesBetweenRefusalAndDeferral(t *testing.T) {
	f := newOverloadFixture(0, 2)
	f.fill(t)
	_, unplaced := f.placer("other", 300*time.Millisecond).Place(nil)
	require.NotNil(t, unplaced, "its first token would come after its deadline")
	require.Greater(t, unplaced.RetryAfter, 100*time.Millisecond, "the caller does not wait for so long")
	placed, unplaced := f.placer("other", time.Second).Place(nil)
	require.Nil(t, unplaced)
	require.True(t, placed.(*placement).deferred)
	require.Equal(t, lowestUrgency, placed.(*placement).urgency())
}

// Guards against callers that are taken for others, or are not recognized at another node.
func TestCallerHashIdentifiesRequest(t *testing.T) {
	hash := func(tenant *catalog.Tenant, method, target, body string) uint64 {
		return callerHash(&admitted{tenant: tenant, request: &Request{ID: fmt.Sprint(rand.Int()), Method: method, Target: target, Body: []byte(body)}})
	}
	one := &catalog.Tenant{Name: "one"}
	require.Equal(t, hash(one, "POST", "/a", "x"), hash(&catalog.Tenant{Name: "one"}, "POST", "/a", "x"))
	for _, other := range []uint64{
		hash(nil, "POST", "/a", "x"), hash(&catalog.Tenant{Name: "two"}, "POST", "/a", "x"), hash(one, "PUT", "/a", "x"),
		hash(one, "POST", "/b", "x"), hash(one, "POST", "/a", "y"), hash(one, "POST", "/", "ax"),
	} {
		require.NotEqual(t, hash(one, "POST", "/a", "x"), other)
	}
}

// Guards against callers that are refused again although they return when they were told to.
func TestReturningCallerIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newOverloadFixture(0, 2)
		f.fill(t)
		refused := f.placer("other", 30*time.Second)
		_, unplaced := refused.Place(nil)
		require.NotNil(t, unplaced)
		time.Sleep(unplaced.RetryAfter)
		again := newPlacer(f.proxy, refused.admitted)
		placed, unplaced := again.Place(nil)
		require.Nil(t, unplaced)
		require.True(t, again.overload.verdict.Returning)
		require.False(t, placed.(*placement).deferred)
	})
}

// BenchmarkCheckOverload measures a decision on a request among 72 servers under load, without its
// placement.
func BenchmarkCheckOverload(b *testing.B) {
	f := newOverloadFixture(0, 2)
	var list []backend.Server
	for i := range 72 {
		list = append(list, backend.Server{Instance: fmt.Sprint("i-", i), Address: fmt.Sprint("at ", i), Service: "s", Slots: 2, Versions: map[string]int64{"m": 1}})
	}
	f.proxy.set.Update(list, time.Now())
	for range 200 {
		if _, unplaced := f.placer("urgent", time.Minute).Place([]string{"another server"}); unplaced != nil {
			b.Fatal(unplaced.Reason)
		}
	}
	p, now := f.placer("other", time.Hour), time.Now()
	p.admitted.request.Body = make([]byte, 16_384)
	selection := &selection{scheduler: routing.NewScheduler(p.scorers()...), request: p.routingRequest()}
	selection.candidates = p.loadCandidates(p.query(now), nil, now)
	if !p.selectCandidate(selection, true) {
		b.Fatal("no server accepts the request")
	}
	b.ReportAllocs()
	for b.Loop() {
		p.overload = overloadCheck{}
		p.checkOverload(selection, nil, now)
	}
}
