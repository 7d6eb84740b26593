package telemetry

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/coordination"
)

const (
	// waitingCallAge is the age from which a call to the store without a response is logged.
	waitingCallAge = 500 * time.Millisecond
	// watchCall is the name of calls that wait for a change.
	watchCall = "watch"
)

// storeCallMetrics holds the metrics of calls to the shared store.
type storeCallMetrics struct {
	calls   *prometheus.CounterVec
	results *prometheus.CounterVec
	waiting *prometheus.GaugeVec
}

func newStoreCallMetrics() *storeCallMetrics {
	return &storeCallMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_store_calls_total", Help: "Calls of the shared store by purpose and by call.",
		}, []string{"purpose", "call"}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cloverrail_proxy_store_call_results_total", Help: "Calls of the shared store that have ended, by purpose and by result.",
		}, []string{"purpose", "result"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cloverrail_proxy_store_calls_waiting", Help: "Calls of the shared store that wait for their responses, by purpose and by call.",
		}, []string{"purpose", "call"}),
	}
}

func (m *storeCallMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.calls, m.results, m.waiting}
}

// storeCallLog holds which purposes have been logged as failing. The lines of one purpose begin with its
// first failed or waiting call, and end with the first call that is answered.
type storeCallLog struct {
	mutex   sync.Mutex
	waiting map[string]bool
	failing map[string]bool
}

// mark sets a purpose's flag in a set, and returns whether it was unset.
func (l *storeCallLog) mark(set *map[string]bool, purpose string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if *set == nil {
		*set = map[string]bool{}
	}
	first := !(*set)[purpose]
	(*set)[purpose] = true
	return first
}

// clear unsets a purpose's flags, and returns whether one was set.
func (l *storeCallLog) clear(purpose string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	logged := l.waiting[purpose] || l.failing[purpose]
	delete(l.waiting, purpose)
	delete(l.failing, purpose)
	return logged
}

// StoreCall records a call to the shared store, and returns a function that records its end.
func (recorder *Recorder) StoreCall(purpose, call string) (ended func(result coordination.CallResult, err error)) {
	metrics, startedAt := recorder.metrics.storeCalls, boottime.Now()
	metrics.calls.WithLabelValues(purpose, call).Inc()
	waiting := metrics.waiting.WithLabelValues(purpose, call)
	waiting.Inc()
	stopTimer := func() bool { return true }
	if call != watchCall {
		stopTimer = time.AfterFunc(waitingCallAge, func() { recorder.storeCallWaits(purpose, call) }).Stop
	}
	return func(result coordination.CallResult, err error) {
		stopTimer()
		waiting.Dec()
		metrics.results.WithLabelValues(purpose, string(result)).Inc()
		recorder.storeCallEnded(purpose, call, result, boottime.Since(startedAt), err)
	}
}

// storeCallWaits logs a call that has no response yet.
func (recorder *Recorder) storeCallWaits(purpose, call string) {
	if recorder.storeCalls.mark(&recorder.storeCalls.waiting, purpose) {
		recorder.limitedLine(zerolog.WarnLevel).Str("purpose", purpose).Str("call", call).Dur("waited", waitingCallAge).Msg("store call waits for its response")
	}
}

func (recorder *Recorder) storeCallEnded(purpose, call string, result coordination.CallResult, took time.Duration, err error) {
	switch result {
	case coordination.CallCancelled:
	case coordination.CallAnswered:
		if recorder.storeCalls.clear(purpose) {
			recorder.limitedLine(zerolog.InfoLevel).Str("purpose", purpose).Str("call", call).Dur("took", took).Msg("store calls are answered again")
		}
	default:
		if recorder.storeCalls.mark(&recorder.storeCalls.failing, purpose) {
			recorder.limitedLine(zerolog.WarnLevel).Str("purpose", purpose).Str("call", call).Str("result", string(result)).Dur("took", took).Err(err).Msg("store call failed")
		}
	}
}
