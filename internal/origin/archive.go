package origin

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/pause"
)

const (
	// archiveInterval is the shortest time between two writes of a relay, reportInterval that between two reports
	// of another node to its relay, and ownWriteInterval that between two writes of a node that finds no relay.
	archiveInterval  = 100 * time.Millisecond
	reportInterval   = 50 * time.Millisecond
	ownWriteInterval = time.Second
	// archiveCheckInterval is the longest time between two checks of what must be written.
	archiveCheckInterval = time.Second
	// archiveTTL is how long entries outlive a node that does not renew their lease, and archiveRefresh the
	// interval at which leases are renewed and reports repeated.
	archiveTTL     = retention
	archiveRefresh = archiveTTL / 3
	// archiveCallTimeout bounds each call to the store.
	archiveCallTimeout = 500 * time.Millisecond
	// minArchiveRetryDelay is how long after a failed write the next one follows. The delay doubles up to
	// coordination.MaxRetryDelay while writes fail.
	minArchiveRetryDelay = 250 * time.Millisecond
	// archiveFlushTimeout bounds the last write of a node that stops.
	archiveFlushTimeout = 200 * time.Millisecond
	// maxReporters bounds the nodes whose reports a relay holds, and maxArchivedStreams the streams of an entry.
	maxReporters       = 4096
	maxArchivedStreams = 1 << 16
)

// ArchiveStore is the part of the shared store that an Archive uses.
type ArchiveStore interface {
	Grant(ctx context.Context, ttl time.Duration) (coordination.Lease, error)
	Renew(ctx context.Context, lease int64) (bool, error)
	// WriteLeased writes a key under a lease if the key is still at a revision; 0 means that it does not exist.
	WriteLeased(ctx context.Context, key string, value []byte, lease, revision int64) (writtenAt int64, written bool, err error)
	// List returns the entries below a prefix.
	List(ctx context.Context, prefix string) ([]coordination.Entry, error)
}

// ArchiveRecorder receives what an Archive does. Its methods must not block.
type ArchiveRecorder interface {
	// ArchiveWritten records a write of a number of streams.
	ArchiveWritten(streams, bytes int, took time.Duration, err error)
	// ArchiveRead records a read of all entries.
	ArchiveRead(entries, streams int, took time.Duration, err error)
	// ArchiveEntryUnreadable records an entry that cannot be decoded, and is passed over.
	ArchiveEntryUnreadable(key string, at coordination.Position, err error)
}

// Archive keeps the origins of open streams in the shared store, for the case that all nodes that know them are
// lost. The relays of the fleet write, each one entry with its own open streams and those that other nodes
// report to it. A node reads all entries when a caller resumes a stream that no node has a record of. Streams do
// not wait for the writes, and an entry that is missing proves nothing.
type Archive struct {
	Store ArchiveStore
	// Prefix is the prefix of the entries; the incarnation and a number follow.
	Prefix string
	// Incarnation identifies this process of the node.
	Incarnation string
	Open        *OpenStreams
	Ledger      *Ledger
	// Required returns the services of which streams need a record.
	Required func(now time.Time) map[string]bool
	// IsRelay reports whether this node writes to the store. Report sends a message to one of the relays, and
	// reports whether one has accepted it.
	IsRelay func() bool
	Report  func(ctx context.Context, body []byte) bool
	// Nodes returns the number of nodes in the fleet.
	Nodes    func() int
	Recorder ArchiveRecorder

	writer  archiveWriter
	reader  archiveReader
	reports reports
}

// archiveWriter is what the writing task of an Archive knows.
type archiveWriter struct {
	// saved holds the streams that were written or reported last.
	saved map[Key]Origin
	// savedAt is when they were, and atRelay reports that they were reported to another node.
	savedAt  time.Time
	atRelay  bool
	sequence uint64
	// retryDelay is the delay after the latest write, if it failed.
	retryDelay time.Duration
	// lease and its entry: number is part of the key, and revision is 0 until the entry was written.
	lease     int64
	renewedAt time.Time
	number    int
	revision  int64
}

// Run writes the origins of open streams until the context ends, and then what is still due. Calls must not
// overlap.
func (a *Archive) Run(ctx context.Context) {
	for ctx.Err() == nil {
		result := a.save(ctx)
		pause.For(ctx, a.delayAfter(result))
		if a.unfinished(result) {
			continue
		}
		select {
		case <-a.Open.Began():
		case <-a.reports.changed():
		case <-time.After(archiveCheckInterval):
		case <-ctx.Done():
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), archiveFlushTimeout)
	defer cancel()
	a.save(ctx)
}

// Wake makes Run check at once what must be saved.
func (a *Archive) Wake() {
	select {
	case a.reports.changed() <- struct{}{}:
	default:
	}
}

// saveResult is what became of the open streams of a node and of those that were reported to it.
type saveResult int

const (
	saveFailed saveResult = iota
	savedNothing
	savedInStore
	savedAtRelay
)

// unfinished reports whether streams must be saved again although no other one has begun.
func (a *Archive) unfinished(result saveResult) bool {
	return result == saveFailed || result == savedAtRelay && a.IsRelay()
}

// delayAfter returns how long after a save the next one may follow.
func (a *Archive) delayAfter(result saveResult) time.Duration {
	w, relay := &a.writer, a.IsRelay()
	if a.unfinished(result) {
		w.retryDelay = min(max(2*w.retryDelay, minArchiveRetryDelay), coordination.MaxRetryDelay)
		return w.retryDelay
	}
	w.retryDelay = 0
	switch {
	case relay:
		return archiveInterval
	case result == savedInStore:
		return ownWriteInterval
	default:
		return reportInterval
	}
}

// save writes the open streams to the store if this node is a relay, and reports them to one if it is not, as far
// as they are not saved yet. If that fails it tries the other way.
func (a *Archive) save(ctx context.Context) saveResult {
	now := boottime.Now()
	streams := a.Open.Streams(a.Required(now), now)
	relay := a.IsRelay()
	if relay {
		a.reports.addTo(streams, now)
	}
	if !a.writer.due(streams, relay, now) {
		return savedNothing
	}
	result := saveFailed
	switch {
	case relay && a.write(ctx, streams, now):
		result = savedInStore
	case a.report(ctx, streams):
		result = savedAtRelay
	case !relay && a.write(ctx, streams, now):
		result = savedInStore
	}
	if relay {
		a.reports.observeWrite(result == savedInStore, boottime.Now())
	}
	if result != saveFailed {
		a.writer.saved, a.writer.savedAt, a.writer.atRelay = streams, now, result == savedAtRelay
	}
	return result
}

// due reports whether streams must be saved: one was not yet, what was saved would expire, or this node is a relay
// that could only report them.
func (w *archiveWriter) due(streams map[Key]Origin, relay bool, now time.Time) bool {
	if len(streams) == 0 {
		return false
	}
	if now.Sub(w.savedAt) >= archiveRefresh || relay && w.atRelay {
		return true
	}
	for key, o := range streams {
		if known, found := w.saved[key]; !found || known != o {
			return true
		}
	}
	return false
}

// report sends streams to a relay.
func (a *Archive) report(ctx context.Context, streams map[Key]Origin) bool {
	a.writer.sequence++
	body, err := openReport{a.Incarnation, a.writer.sequence, streams}.encode()
	return err == nil && a.Report(ctx, body)
}

// write writes streams to the store.
func (a *Archive) write(ctx context.Context, streams map[Key]Origin, now time.Time) bool {
	value, err := encodeEntry(streams)
	if err == nil {
		err = a.writeValue(ctx, value, now)
	}
	if err != nil {
		// The call may still be done later. The next entry has another key and another lease, and this one
		// ends with its own.
		a.writer.lease, a.writer.revision = 0, 0
	}
	a.Recorder.ArchiveWritten(len(streams), len(value), boottime.Since(now), err)
	return err == nil
}

var errLeaseEnded = errors.New("the lease of the entry has ended, or another process has changed the entry; it is written again")

func (a *Archive) writeValue(ctx context.Context, value []byte, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, archiveCallTimeout)
	defer cancel()
	if err := a.ensureLease(ctx, now); err != nil {
		return err
	}
	w := &a.writer
	at, written, err := a.Store.WriteLeased(ctx, fmt.Sprint(a.Prefix, a.Incarnation, "/", w.number), value, w.lease, w.revision)
	if err == nil && !written {
		err = errLeaseEnded
	}
	if err != nil {
		return err
	}
	w.revision = at
	return nil
}

// ensureLease renews the lease if that is due, and creates one if there is none.
func (a *Archive) ensureLease(ctx context.Context, now time.Time) error {
	w := &a.writer
	if w.lease != 0 && now.Sub(w.renewedAt) >= archiveRefresh {
		exists, err := a.Store.Renew(ctx, w.lease)
		if err != nil {
			return err
		}
		w.renewedAt = now
		if !exists {
			w.lease = 0
		}
	}
	if w.lease != 0 {
		return nil
	}
	lease, err := a.Store.Grant(ctx, archiveTTL)
	if err != nil {
		return err
	}
	w.lease, w.renewedAt, w.revision = lease.ID, now, 0
	w.number++
	return nil
}
