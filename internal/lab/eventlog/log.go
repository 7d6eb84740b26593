// Package eventlog streams the cache events of a stub server from a bounded log. Readers
// that fall too far behind see a gap in the sequence numbers.
package eventlog

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
)

const length = 16_384

// Log keeps the last maxEvents events. It is safe for concurrent use.
type Log struct {
	mutex  sync.Mutex
	events []engineapi.CacheEvent
}

// Append adds events and drops the oldest if the log is full.
func (log *Log) Append(events ...engineapi.CacheEvent) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.events = append(log.events, events...)
	if excess := len(log.events) - length; excess > 0 {
		log.events = append([]engineapi.CacheEvent(nil), log.events[excess:]...)
	}
}

// Clear removes all events, as after a crash.
func (log *Log) Clear() {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.events = nil
}

func (log *Log) after(sequence uint64) []engineapi.CacheEvent {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	found := []engineapi.CacheEvent{}
	for _, event := range log.events {
		if event.Sequence > sequence {
			found = append(found, event)
		}
	}
	return found
}

// Serve streams batches of events to a reader until it disconnects or the epoch changes.
func (log *Log) Serve(writer http.ResponseWriter, request *http.Request, status func() engineapi.Status) {
	sequence, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	ticker := time.NewTicker(engineapi.BatchInterval)
	defer ticker.Stop()
	told := ""
	epoch := status().Epoch
	for last := (time.Time{}); ; {
		current := status()
		if current.Epoch != epoch {
			return
		}
		events := log.after(sequence)
		description := describe(current)
		if len(events) > 0 || description != told || time.Since(last) >= engineapi.HeartbeatInterval {
			batch := engineapi.EventBatch{Epoch: epoch, Runs: engineapi.Pack(events), Load: current.Load}
			if description != told {
				batch.Status = &current
			}
			if encoder.Encode(batch) != nil || http.NewResponseController(writer).Flush() != nil {
				return
			}
			told, last = description, time.Now()
			if len(events) > 0 {
				sequence = events[len(events)-1].Sequence
			}
		}
		select {
		case <-ticker.C:
		case <-request.Context().Done():
			return
		}
	}
}

// statusKey encodes the part of a status whose changes are sent without delay, which
// excludes the load.
func describe(status engineapi.Status) string {
	status.Load = engineapi.Load{}
	data, _ := json.Marshal(status)
	return string(data)
}
