package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/capacity"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/quota"
	"github.com/cloverrail/cloverrail/internal/residency"
)

const (
	// reportInterval is the time between two reports of the nodes to each other.
	reportInterval = 300 * time.Millisecond
	loadedNodes    = 6
)

// loadClass is a class of requests of a simulated load.
type loadClass struct {
	route *catalog.Route
	// perSecond is the number of requests of the fleet. Each has one of the given number of shared
	// parts.
	perSecond float64
	parts     int
	shared    int
	own       int
	output    int
}

// classResult counts the requests of a class.
type classResult struct {
	requests int
	late     int
	deferred int
}

func (r classResult) lateShare() float64 { return float64(r.late) / float64(max(1, r.requests)) }

// loadedFleet is a fleet of nodes under a simulated load. Nodes know each other's work from reports
// alone.
type loadedFleet struct {
	time    *simulatedTime
	random  *rand.Rand
	nodes   []*Proxy
	engines map[string]*engine
	list    []backend.Server
	results map[string]classResult
}

// newLoadedFleet returns a fleet for the classes. With mixed unset, the declaration has no routes
// of different priority, so that the proxies place requests by their cost alone.
func newLoadedFleet(t *testing.T, speeds []float64, classes []loadClass, mixed bool) *loadedFleet {
	f := &loadedFleet{time: newSimulatedTime(t.Cleanup), random: rand.New(rand.NewPCG(1, 2)), engines: map[string]*engine{}, results: map[string]classResult{}}
	declaration := catalog.Declaration{Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{TokenBytes: 163_840, LinkBitsPerSecond: 280e9, CacheTokens: 151_820}}}}
	for _, class := range classes {
		route := *class.route
		if !mixed {
			route.Priority = 0
		}
		declaration.Routes = append(declaration.Routes, route)
	}
	snapshot := catalog.New(declaration)
	require.Equal(t, mixed, snapshot.SharesPriorities("s"))
	replica := &catalog.AtomicReplica{}
	replica.Store(&catalog.Replica{Snapshot: snapshot, AsOf: f.time.now})
	for i, speed := range speeds {
		name := fmt.Sprint("i-", i)
		f.engines[name] = &engine{time: f.time, speed: speed, slots: 16}
		f.list = append(f.list, backend.Server{Instance: name, Address: "at " + name, Service: "s", Slots: 16, Versions: map[string]int64{"m": 1}})
	}
	for range loadedNodes {
		f.nodes = append(f.nodes, f.newNode(replica))
	}
	f.time.after(reportInterval, f.exchangeReports)
	for _, class := range classes {
		f.scheduleArrival(class)
	}
	return f
}

func (f *loadedFleet) newNode(replica *catalog.AtomicReplica) *Proxy {
	set, estimator := backend.NewSet(), capacity.NewEstimator()
	set.Update(f.list, f.time.now)
	set.SetVote(estimator.Vote)
	return New(Options{
		Replica: replica, Distance: func(string) int { return 0 }, Set: set, Ledger: residency.NewLedger(), Recorder: nopRecorder{},
		Quarantine: quarantine.NewLedger(), ServerLimits: quota.NewServerLimits(set.Contains, rand.Float64), Capacity: estimator,
	})
}

// exchangeReports lets each node learn the work of all others.
func (f *loadedFleet) exchangeReports() {
	reports := make([][]backend.Work, len(f.nodes))
	for i, node := range f.nodes {
		reports[i] = node.set.Work(f.time.now)
	}
	for i, node := range f.nodes {
		sums := map[uint64]backend.Work{}
		for j := range reports {
			for _, w := range reports[j] {
				if j != i {
					sums[w.Server] = sums[w.Server].Plus(w)
				}
			}
		}
		var others []backend.Work
		for _, w := range sums {
			others = append(others, w)
		}
		node.set.ApplyPeerWork(others, f.time.now)
		node.capacity.SetPeerVotes(func(yield func(uint64, capacity.Votes) bool) {
			for _, w := range others {
				if !yield(w.Server, w.Prefill) {
					return
				}
			}
		}, f.time.now)
	}
	f.time.after(reportInterval, f.exchangeReports)
}

func (f *loadedFleet) scheduleArrival(class loadClass) {
	f.time.after(seconds(f.random.ExpFloat64()/class.perSecond), func() {
		f.arrive(class)
		f.scheduleArrival(class)
	})
}

// arrive places a new request of a class through a random node.
func (f *loadedFleet) arrive(class loadClass) {
	proxy := f.nodes[f.random.IntN(len(f.nodes))]
	shared := fmt.Sprint(class.route.Name, "-", f.random.IntN(class.parts))
	replica := proxy.replica.Load()
	placer := newPlacer(proxy, &admitted{
		request: &Request{ID: fmt.Sprint(f.random.Uint64()), Arrived: f.time.now, Prompt: &Prompt{
			Model: "m", Tokens: class.shared + class.own, Parts: []Part{{ID: shared, Tokens: class.shared}, {ID: "own", Tokens: class.own}},
		}},
		replica: replica, route: class.route, service: replica.Snapshot.Service("s"), deadline: f.time.now.Add(class.route.Timeout),
	})
	result := f.results[class.route.Name]
	result.requests++
	f.results[class.route.Name] = result
	f.place(class, placer)
}

// place sends a request to the server that its placer chooses, and tries again if there is none.
func (f *loadedFleet) place(class loadClass, placer *placer) {
	placed, unplaced := placer.Place(nil)
	if unplaced != nil {
		f.time.after(20*time.Millisecond, func() { f.place(class, placer) })
		return
	}
	p, name := placed.(*placement), class.route.Name
	result := f.results[name]
	if p.deferred {
		result.deferred++
		f.results[name] = result
	}
	imported := max(0, p.chosen.ImportBlocks-p.chosen.HitBlocks)
	f.engines[p.chosen.Endpoint].add(&engineRequest{
		urgency: p.urgency(), tokens: p.prefillTokens, output: class.output, extra: seconds(float64(imported) * 163_840 * 8 / 280e9),
		started: func() {
			p.ResponseStarted()
			if f.time.now.Sub(placer.admitted.request.Arrived) > class.route.TargetLatency {
				result := f.results[name]
				result.late++
				f.results[name] = result
			}
		},
		ended: func() { p.End(exchange.ResultServed) },
	})
}

// runLoad returns the results of 20 s of the load, after 10 s in which the nodes learn.
func runLoad(t *testing.T, scale float64, mixed bool) (*loadedFleet, map[string]classResult) {
	f := newLoadedFleet(t, unequalSpeeds, unequalLoad(scale), mixed)
	f.time.runFor(10 * time.Second)
	f.results = map[string]classResult{}
	f.time.runFor(20 * time.Second)
	return f, f.results
}

// Load: 12 engines of speeds 0.6, 1 and 1.6 with 16 slots each, 34 long prompts a second (13,300
// shared and 3,720 own tokens, 40 shared parts, target 800 ms) and 290 short ones (92 + 291 tokens,
// target 400 ms), through 6 nodes that exchange reports every 300 ms. Guards against servers that
// are all taken for equally fast, and against prompts that are placed by the cost of a copy where
// they miss their target.
func TestUnequalServersMeetTargets(t *testing.T) {
	const maxLateLong, maxLateShort = 0.02, 0.002
	_, before := runLoad(t, 2.5, false)
	_, after := runLoad(t, 2.5, true)
	t.Logf("placed by cost alone: %+v", before)
	t.Logf("placed by target: %+v", after)
	require.Greater(t, before["long"].lateShare(), maxLateLong, "placement by cost alone misses the targets")
	require.Greater(t, before["short"].lateShare(), maxLateShort)
	require.LessOrEqual(t, after["long"].lateShare(), maxLateLong)
	require.LessOrEqual(t, after["short"].lateShare(), maxLateShort)
}

// The rates under load show the speeds of the engines, although most attempts wait for others.
func TestEstimatesUnderLoadShowSpeeds(t *testing.T) {
	f, _ := runLoad(t, 2, true)
	for _, node := range f.nodes {
		slow, fast := 0.0, 0.0
		for i, speed := range unequalSpeeds {
			estimate := node.capacity.Estimate("s", backend.ServerKey(f.list[i].Instance), f.time.now)
			require.True(t, estimate.Known)
			require.InDelta(t, engineBase.Seconds(), estimate.BaseSeconds, 0.02)
			switch speed {
			case 0.6:
				slow += estimate.PrefillTokensPerSecond / 4
			case 1.6:
				fast += estimate.PrefillTokensPerSecond / 4
			}
		}
		require.InEpsilon(t, 0.6*engineRate, slow, 0.25)
		require.InEpsilon(t, 1.6*engineRate, fast, 0.25)
	}
}

// One failure: an engine ends and starts again under the same ID, five times slower. Its new
// incarnation starts from the typical rate, and its own rate is known within 15 s. A node that starts
// at the same time knows the rates of all servers from the reports of the others.
func TestRestartedServerAndNodeLearnRates(t *testing.T) {
	f, _ := runLoad(t, 1.5, true)
	former := backend.ServerKey("i-11")
	fast := f.nodes[0].capacity.Estimate("s", former, f.time.now).PrefillTokensPerSecond
	f.restart(11, 0.32)
	key := backend.ServerKey(f.list[11].Incarnation())
	require.NotEqual(t, former, key)
	typical := f.nodes[0].capacity.Typical("s", f.time.now).PrefillTokensPerSecond
	started := f.nodes[0].capacity.Estimate("s", key, f.time.now).PrefillTokensPerSecond
	require.InDelta(t, typical, started, 1, "a new incarnation starts from the typical rate")
	require.Less(t, started, fast)
	newNode := f.newNode(f.nodes[0].replica)
	f.nodes = append(f.nodes, newNode)
	f.time.runFor(2 * reportInterval)
	require.True(t, newNode.capacity.Typical("s", f.time.now).Known, "the reports of others are known at once")
	f.time.runFor(15 * time.Second)
	for _, node := range f.nodes {
		slow := node.capacity.Estimate("s", key, f.time.now).PrefillTokensPerSecond
		require.Less(t, slow, 0.7*typical)
	}
}

// restart replaces an engine by a new incarnation with the same instance ID. What ran on it is lost.
func (f *loadedFleet) restart(index int, speed float64) {
	server := f.list[index]
	server.Born++
	f.list[index] = server
	f.engines[server.Incarnation()] = &engine{time: f.time, speed: speed, slots: 16}
	for _, node := range f.nodes {
		node.set.Update(f.list, f.time.now)
	}
}

// unequalSpeeds are the speeds of the engines of the loads below.
var unequalSpeeds = []float64{0.6, 0.6, 0.6, 0.6, 1, 1, 1, 1, 1.6, 1.6, 1.6, 1.6}

// unequalLoad is the load of 12 engines by two classes of different priority: long prompts with a
// target of 800 ms and short ones with a target of 400 ms.
func unequalLoad(scale float64) []loadClass {
	route := func(name string, priority int, target time.Duration) *catalog.Route {
		return &catalog.Route{Name: name, Host: name, PathPrefix: "/", Priority: priority, TargetLatency: target, Timeout: 8 * time.Second, Kind: catalog.Stream, Split: []catalog.Share{{Service: "s", Weight: 1}}}
	}
	return []loadClass{
		{route: route("long", 1, 800*time.Millisecond), perSecond: 13.5 * scale, parts: 40, shared: 13_300, own: 3720, output: 20},
		{route: route("short", 0, 400*time.Millisecond), perSecond: 116 * scale, parts: 20, shared: 92, own: 291, output: 8},
	}
}
