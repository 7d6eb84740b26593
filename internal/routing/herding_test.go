package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// herd is a fleet whose nodes place requests on servers that they know from reports, in virtual time.
type herd struct {
	random *rand.Rand
	margin bool
	// queued is the prefill that waits at each server, in tokens, and running the ends of the requests
	// that it runs, in ms.
	queued  []float64
	running [][]int
	// reports holds the state of all servers at the latest times, by time modulo their number.
	reports [][]serverReport
	// sent holds what each node has sent, in order of time.
	sent [][]sentWork
	// waits holds the time that each request waits for prefill, in ms, and meanSeconds the mean
	// prefill time of requests.
	waits       []float64
	meanSeconds float64
}

type serverReport struct {
	queued  float64
	running int
}

type sentWork struct {
	server, at int
	tokens     float64
}

const (
	herdNodes, herdServers, herdSlots = 75, 72, 16
	// prefillPerMS is the prefill rate of a server, in tokens per ms, and herdSlotMS its slot time.
	prefillPerMS = 49.6
	herdSlotMS   = 300
	// Reports are made every reportInterval ms and arrive reportTransit ms later.
	reportInterval, reportTransit = 200, 150
)

// candidates returns the servers as a node knows them, and the age of its report in ms.
func (h *herd) candidates(node, now int) ([]Candidate, int) {
	phase := node * reportInterval / herdNodes
	madeAt := max(0, (now-reportTransit-phase)/reportInterval*reportInterval+phase)
	known := h.reports[madeAt%len(h.reports)]
	candidates := make([]Candidate, herdServers)
	for i := range candidates {
		candidates[i] = Candidate{
			Endpoint: fmt.Sprint(i), Ready: true, Slots: herdSlots, Affinity: h.random.Uint64(),
			Running: known[i].running, PeersRunning: known[i].running, QueuedTokens: int(known[i].queued),
		}
	}
	for _, s := range h.sent[node] {
		if s.at >= madeAt {
			candidates[s.server].Running++
			candidates[s.server].QueuedTokens += int(s.tokens)
		}
	}
	return candidates, now - madeAt
}

func (h *herd) place(node, now, tokens int) {
	candidates, age := h.candidates(node, now)
	request := &Request{
		PromptTokens: tokens, BlockTokens: 1, PrefillTokensPerSecond: 1000 * prefillPerMS, WaitWeight: 1, WorkWeight: 4,
		SlotSeconds: herdSlotMS / 1000.0, SampleSeed: h.random.Uint64() | 1,
	}
	if h.margin {
		request.EqualMargin = UnreportedWork(candidates, float64(age)/1000, request.SlotSeconds, h.meanSeconds)
	}
	chosen := NewScheduler(WorkScorer{}, WaitScorer{}, CopyScorer{}).Schedule(request, candidates).Index
	h.waits = append(h.waits, h.queued[chosen]/prefillPerMS)
	h.queued[chosen] += float64(tokens)
	h.running[chosen] = append(h.running[chosen], now+herdSlotMS)
	h.sent[node] = append(h.sent[node], sentWork{server: chosen, at: now, tokens: float64(tokens)})
	h.meanSeconds += 0.025 * (float64(tokens)/prefillPerMS/1000 - h.meanSeconds)
}

// step advances the servers by 1 ms.
func (h *herd) step(now int) {
	report := make([]serverReport, herdServers)
	for i := range h.queued {
		h.queued[i] = max(0, h.queued[i]-prefillPerMS)
		h.running[i] = slices.DeleteFunc(h.running[i], func(ends int) bool { return ends <= now })
		report[i] = serverReport{queued: h.queued[i], running: len(h.running[i])}
	}
	h.reports[now%len(h.reports)] = report
	for node := range h.sent {
		h.sent[node] = slices.DeleteFunc(h.sent[node], func(s sentWork) bool { return s.at < now-1000 })
	}
}

// waitPercentiles returns the median and the 99th percentile of the waits for prefill, in ms.
func waitPercentiles(margin bool) (median, high float64) {
	h := &herd{
		random: rand.New(rand.NewPCG(3, 4)), margin: margin, queued: make([]float64, herdServers), running: make([][]int, herdServers),
		reports: make([][]serverReport, 1000), sent: make([][]sentWork, herdNodes),
	}
	for i := range h.reports {
		h.reports[i] = make([]serverReport, herdServers)
	}
	for now := 1000; now < 5000; now++ {
		h.step(now)
		for range 4 {
			// 696 short and 81 long prompts per second.
			if draw := h.random.Float64(); draw < 0.174 {
				h.place(h.random.IntN(herdNodes), now, 383)
			} else if draw < 0.174+0.0203 {
				h.place(h.random.IntN(herdNodes), now, 17_020)
			}
		}
	}
	waits := h.waits[len(h.waits)/4:]
	slices.Sort(waits)
	return waits[len(waits)/2], waits[len(waits)*99/100]
}

// Load: deployment B. 75 nodes place 696 short and 81 long prompts/s on 72 engines, whose work they
// know from reports that are 150 to 350 ms old. Guards against nodes that all choose the engines
// that looked idle at the report.
func TestNodesBetweenReportsDoNotHerd(t *testing.T) {
	medianBefore, highBefore := waitPercentiles(false)
	medianAfter, highAfter := waitPercentiles(true)
	t.Logf("wait for prefill, median %.0f -> %.0f ms, 99th percentile %.0f -> %.0f ms", medianBefore, medianAfter, highBefore, highAfter)
	require.Less(t, highAfter, 0.8*highBefore)
	require.LessOrEqual(t, medianAfter, medianBefore)
}

// Guards against stale reports that block requests: whatever the margin, an endpoint that accepts the
// request is chosen if there is one, it costs at most the margin more than the cheapest, and is no
// farther away than that.
func TestMarginNeverBlocksAndBoundsCost(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		candidates := make([]Candidate, rapid.IntRange(0, 12).Draw(t, "endpoints"))
		accepted := 0
		for i := range candidates {
			c := &candidates[i]
			c.Endpoint, c.Ready = fmt.Sprint(i), rapid.Bool().Draw(t, "ready")
			c.Affinity, c.QueuedTokens = rapid.Uint64().Draw(t, "affinity"), rapid.IntRange(0, 40_000).Draw(t, "queued")
			c.Distance = rapid.IntRange(0, 2).Draw(t, "distance")
			if c.Ready {
				accepted++
			}
		}
		request := *longPrompt
		request.SampleSeed = 1 + rapid.Uint64Max(1<<40).Draw(t, "seed")
		scheduler := NewScheduler(WaitScorer{}, DistanceScorer{})
		plain := scheduler.Schedule(&request, candidates)
		request.EqualMargin = rapid.Float64Range(0, 2).Draw(t, "margin")
		decision := scheduler.Schedule(&request, candidates)
		require.Equal(t, accepted > 0, decision.Index >= 0)
		require.Equal(t, accepted > 1, decision.Next >= 0)
		if accepted > 0 {
			chosen, cheapest := &candidates[decision.Index], &candidates[plain.Index]
			require.LessOrEqual(t, scheduler.Cost(&request, chosen), scheduler.Cost(&request, cheapest)+request.EqualMargin+1e-9)
			require.LessOrEqual(t, chosen.Distance, cheapest.Distance)
		}
	})
}

func TestUnreportedWorkGrowsWithDemandAndAge(t *testing.T) {
	candidates := []Candidate{{Ready: true, Slots: 16, PeersRunning: 8}, {Ready: true, Slots: 16, PeersRunning: 40}, {PeersRunning: 9}}
	// 24 requests run for 0.5 s each: 48/s on two endpoints, each 20 ms of work.
	require.InDelta(t, 48*0.4/2*0.02, UnreportedWork(candidates, 0.4, 0.5, 0.02), 1e-9)
	require.InDelta(t, 48*0.8/2*0.02, UnreportedWork(candidates, 0.8, 0.5, 0.02), 1e-9)
	require.Zero(t, UnreportedWork(candidates[2:], 0.4, 0.5, 0.02))
	require.Zero(t, UnreportedWork(candidates, 0.4, 0, 0.02))
	require.Zero(t, UnreportedWork([]Candidate{{Ready: true, Running: 9, InFlight: 9}}, 0.4, 0.5, 0.02), "a node that is cut off counts its own work only")
}
