package origin

import (
	"context"
	"encoding/gob"
	"net/http"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/fleet"
)

const (
	// PathRunning is the path at which a node accepts reports of running attempts, and PathRunningLookup that at which it
	// answers whether an attempt of a stream runs.
	PathRunning       = "/running-attempts"
	PathRunningLookup = "/running-attempt"

	// maxRunning bounds the streams with running attempts that a node knows. Further ones are not recorded.
	maxRunning = 1 << 14
	// purgeInterval is the time between two removals of expired attempts from a full set.
	purgeInterval = time.Second
	// maxLookupWait bounds how long a lookup of a running attempt waits.
	maxLookupWait = callTimeout / 2
)

// RunningAttempt is an attempt of a stream that its server may still work on, although the stream's caller has left.
type RunningAttempt struct {
	// Server is the name of the server's incarnation.
	Server string
	// Until is the attempt's deadline.
	Until time.Time
	// Stalled reports that the server stood still with the attempt when the caller left.
	Stalled bool
	// Released reports that the stream may go on at another server: the attempt is believed to have ended, and was not
	// seen to.
	Released bool
}

// RunningAttempts holds the running attempts of streams that this node or others have reported. It is safe for concurrent
// use.
type RunningAttempts struct {
	mutex sync.Mutex
	// streams holds the attempts of each stream by the caller's try.
	streams map[Key]map[Key]RunningAttempt
	// purgedAt is when expired attempts were last removed.
	purgedAt time.Time
	// changed is closed at the next report.
	changed chan struct{}
}

// NewRunningAttempts returns an empty set.
func NewRunningAttempts() *RunningAttempts {
	return &RunningAttempts{streams: map[Key]map[Key]RunningAttempt{}, changed: make(chan struct{})}
}

// Put records that an attempt of a caller's try of a stream runs.
func (r *RunningAttempts) Put(stream, try Key, attempt RunningAttempt, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.streams[stream] == nil {
		if len(r.streams) >= maxRunning && now.Sub(r.purgedAt) >= purgeInterval {
			r.removeExpired(now)
			r.purgedAt = now
		}
		if len(r.streams) >= maxRunning {
			return
		}
		r.streams[stream] = map[Key]RunningAttempt{}
	}
	r.streams[stream][try] = attempt
	close(r.changed)
	r.changed = make(chan struct{})
}

// Remove records that the attempt of a caller's try has ended.
func (r *RunningAttempts) Remove(stream, try Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.streams[stream], try)
	if len(r.streams[stream]) == 0 {
		delete(r.streams, stream)
	}
}

// removeExpired removes the attempts whose deadline has passed.
func (r *RunningAttempts) removeExpired(now time.Time) {
	for stream, attempts := range r.streams {
		for try, attempt := range attempts {
			if !now.Before(attempt.Until) {
				delete(attempts, try)
			}
		}
		if len(attempts) == 0 {
			delete(r.streams, stream)
		}
	}
}

// Lookup returns a running attempt of a stream, if one is known. It prefers those that are not released.
func (r *RunningAttempts) Lookup(stream Key, now time.Time) (RunningAttempt, bool) {
	attempt, known, _ := r.lookup(stream, now)
	return attempt, known
}

func (r *RunningAttempts) lookup(stream Key, now time.Time) (found RunningAttempt, known bool, changed <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, attempt := range r.streams[stream] {
		if now.Before(attempt.Until) && (!known || found.Released && !attempt.Released) {
			found, known = attempt, true
		}
	}
	return found, known, r.changed
}

// Await is like Lookup, and waits for a report of such an attempt until the context ends.
func (r *RunningAttempts) Await(ctx context.Context, stream Key) (RunningAttempt, bool) {
	for {
		attempt, known, changed := r.lookup(stream, boottime.Now())
		if known {
			return attempt, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return RunningAttempt{}, false
		}
	}
}

// wireRunning reports a running attempt, or that it has ended.
type wireRunning struct {
	Format   int
	Stream   uint64
	Try      uint64
	Server   string
	Left     time.Duration
	Stalled  bool
	Released bool
	Ended    bool
}

// wireRunningLookup asks for a running attempt of a stream. The answer waits for a report of one.
type wireRunningLookup struct {
	Format int
	Stream uint64
	Wait   time.Duration
}

// wireRunningAnswer answers a wireRunningLookup.
type wireRunningAnswer struct {
	Format   int
	Found    bool
	Server   string
	Left     time.Duration
	Stalled  bool
	Released bool
}

// RunningHandler returns the handler of other nodes' reports of running attempts.
func RunningHandler(attempts *RunningAttempts) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message wireRunning
		if !decode(w, r, &message, &message.Format) {
			return
		}
		stream, try, now := Key(message.Stream), Key(message.Try), boottime.Now()
		if message.Ended {
			attempts.Remove(stream, try)
		} else {
			attempts.Put(stream, try, RunningAttempt{Server: message.Server, Until: now.Add(message.Left), Stalled: message.Stalled, Released: message.Released}, now)
		}
		omitHeaders(w)
		w.WriteHeader(http.StatusNoContent)
	}
}

// RunningLookupHandler returns the handler of other nodes' lookups of running attempts.
func RunningLookupHandler(attempts *RunningAttempts) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message wireRunningLookup
		if !decode(w, r, &message, &message.Format) {
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), min(message.Wait, maxLookupWait))
		defer cancel()
		found, known := attempts.Await(ctx, Key(message.Stream))
		omitHeaders(w)
		_ = gob.NewEncoder(w).Encode(wireRunningAnswer{Format: messageFormat, Found: known, Server: found.Server, Left: found.Until.Sub(boottime.Now()), Stalled: found.Stalled, Released: found.Released})
	}
}

// ReportRunning reports a running attempt to the stream's holders, or that it has ended if it is nil. It returns once all
// have answered.
func (c *Client) ReportRunning(ctx context.Context, stream, try Key, attempt *RunningAttempt) {
	message := wireRunning{Format: messageFormat, Stream: uint64(stream), Try: uint64(try), Ended: attempt == nil}
	if attempt != nil {
		message.Server, message.Left = attempt.Server, attempt.Until.Sub(boottime.Now())
		message.Stalled, message.Released = attempt.Stalled, attempt.Released
	}
	body, err := encode(message)
	if err != nil {
		return
	}
	var reports sync.WaitGroup
	for _, holder := range rankHolders(stream, c.Nodes(), holdersPerStream) {
		reports.Go(func() { _, _ = c.call(ctx, holder, PathRunning, body) })
	}
	reports.Wait()
}

// FindRunning asks the holders of a stream for a running attempt. They wait for a report of one.
func (c *Client) FindRunning(ctx context.Context, stream Key, wait time.Duration) (RunningAttempt, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := encode(wireRunningLookup{Format: messageFormat, Stream: uint64(stream), Wait: wait})
	if err != nil {
		return RunningAttempt{}, false
	}
	candidates := c.candidates(stream)
	candidates = candidates[:min(holdersAsked, len(candidates))]
	answers := make(chan *RunningAttempt, len(candidates))
	for _, node := range candidates {
		go func() { answers <- c.lookupRunning(ctx, node, body) }()
	}
	for range candidates {
		if attempt := <-answers; attempt != nil {
			return *attempt, true
		}
	}
	return RunningAttempt{}, false
}

// lookupRunning asks one node, and returns nil if it knows of no running attempt.
func (c *Client) lookupRunning(ctx context.Context, node fleet.Node, body []byte) *RunningAttempt {
	answer, err := c.call(ctx, node, PathRunningLookup, body)
	if err != nil {
		return nil
	}
	var found wireRunningAnswer
	if decodeAnswer(answer, &found) != nil || checkFormat(found.Format) != nil || !found.Found {
		return nil
	}
	return &RunningAttempt{Server: found.Server, Until: boottime.Now().Add(found.Left), Stalled: found.Stalled, Released: found.Released}
}
