package origin

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/coordination"
)

// PathOpen is the path at which a relay accepts reports of the open streams of other nodes.
const PathOpen = "/open-streams"

// reports holds, by incarnation, the latest report of the open streams of each node.
type reports struct {
	mutex    sync.Mutex
	latest   map[string]receivedReport
	received chan struct{}
	// refusingUntil is until when this node accepts no reports, because it could not write to the store.
	refusingUntil time.Time
}

type receivedReport struct {
	openReport
	at time.Time
}

// put keeps a report unless a later one is known. It returns false if this node does not accept reports.
func (r *reports) put(report openReport, now time.Time) bool {
	changed := r.changed()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Before(r.refusingUntil) {
		return false
	}
	if r.latest == nil {
		r.latest = map[string]receivedReport{}
	}
	known, found := r.latest[report.node]
	if found && known.sequence >= report.sequence {
		return true
	}
	if !found && len(r.latest) >= maxReporters {
		return false
	}
	r.latest[report.node] = receivedReport{report, now}
	select {
	case changed <- struct{}{}:
	default:
	}
	return true
}

// changed returns a channel that has an element after a report was received.
func (r *reports) changed() chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.received == nil {
		r.received = make(chan struct{}, 1)
	}
	return r.received
}

// observeWrite records whether this node could write to the store. If not, other nodes must send their reports
// elsewhere for some time.
func (r *reports) observeWrite(written bool, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusingUntil = time.Time{}
	if !written {
		r.refusingUntil = now.Add(refusalPeriod)
	}
}

// addTo adds the reported streams to others, and drops reports that were not repeated.
func (r *reports) addTo(streams map[Key]Origin, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for node, report := range r.latest {
		if now.Sub(report.at) >= retention {
			delete(r.latest, node)
			continue
		}
		for key, o := range report.streams {
			if len(streams) < maxArchivedStreams {
				addStream(streams, key, o)
			}
		}
	}
}

// OpenHandler returns the handler of reports of other nodes. It responds with 503 while this node cannot write to
// the store, so that the sender tries another relay.
func (a *Archive) OpenHandler() http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		report, err := decodeReport(http.MaxBytesReader(w, r.Body, MaxReportBytes))
		if err != nil {
			reject(w, err)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		omitHeaders(w)
		if !a.reports.put(report, boottime.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

const (
	// MaxReportBytes bounds a report: that of a relay holds the streams of other nodes, too.
	MaxReportBytes = 1 << 20
	// refusalPeriod is how long a relay accepts no reports after a failed write. It is longer than the delay
	// until it tries again.
	refusalPeriod = 2 * coordination.MaxRetryDelay
)
