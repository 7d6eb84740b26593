package proxy

import (
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/routing"
)

// meanPrefillGain is the weight of a new request in the mean: it covers about 40 requests.
const meanPrefillGain = 0.025

// meanPrefill estimates the engine time that a request with a prompt takes for prefill, from those of
// this node.
type meanPrefill struct {
	mutex   sync.Mutex
	seconds float64
}

// observe records the expected prefill of one request.
func (m *meanPrefill) observe(prefill time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.seconds += meanPrefillGain * (prefill.Seconds() - m.seconds)
}

func (m *meanPrefill) mean() float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.seconds
}

// equalMargin returns the difference in cost, in seconds, up to which the candidates count as equal:
// the expected work that other nodes have sent since their last report. It grows with the age of the
// report, up to the time for which the request may wait for a placement. It is 0 without reports, and
// for services that routes of different priority do not share.
func (placer *placer) equalMargin(s *selection, now time.Time) float64 {
	if placer.prompt() == nil || !placer.sharesPriorities() {
		return 0
	}
	age, reported := placer.proxy.set.PeerWorkAge(now)
	if !reported {
		return 0
	}
	// A report is on its way for half of the propagation delay on average.
	age += placer.proxy.reportDelay() / 2
	work := routing.UnreportedWork(s.candidates, age.Seconds(), s.request.SlotSeconds, placer.proxy.meanPrefill.mean())
	longest := placer.admitted.route.TargetLatency / placementWaitDivisor
	return min(s.request.WaitWeight*work, longest.Seconds())
}
