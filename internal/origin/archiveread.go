package origin

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/pause"
)

const (
	// minReadInterval is the shortest time between two reads of the archive by a node. In a large fleet it is longer:
	// all nodes together make at most maxReadsPerSecond.
	minReadInterval   = 100 * time.Millisecond
	maxReadsPerSecond = 500
)

// archiveReader is what the reads of an Archive share.
type archiveReader struct {
	mutex sync.Mutex
	// last is the latest read, which may not have ended; nil if there was none.
	last *archiveRead
}

// archiveRead is one read of all entries. Its end and error are valid once done is closed.
type archiveRead struct {
	startedAt time.Time
	done      chan struct{}
	endedAt   time.Time
	err       error
}

// Read makes the ledger hold all archived streams: it returns once a read that began after the call has ended, or
// that has failed. Concurrent calls share reads. A call soon after a failed one fails at once.
func (a *Archive) Read(ctx context.Context) error {
	calledAt := boottime.Now()
	for {
		read, wait, err := a.currentRead(calledAt)
		switch {
		case err != nil:
			return err
		case wait > 0:
			pause.For(ctx, wait)
		default:
			select {
			case <-read.done:
				if !read.startedAt.Before(calledAt) {
					return read.err
				}
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return errors.Annotate(ctx.Err(), "the archive of stream origins was not read in time")
		}
	}
}

// currentRead returns the read to wait for, which it starts if necessary, or for how long none may start.
func (a *Archive) currentRead(calledAt time.Time) (read *archiveRead, wait time.Duration, err error) {
	a.reader.mutex.Lock()
	defer a.reader.mutex.Unlock()
	now := boottime.Now()
	last := a.reader.last
	if last != nil {
		select {
		case <-last.done:
		default:
			return last, 0, nil
		}
		age := now.Sub(last.startedAt)
		switch {
		case !last.startedAt.Before(calledAt):
			return last, 0, nil
		case last.err != nil && now.Sub(last.endedAt) < coordination.MaxRetryDelay:
			return nil, 0, last.err
		case age < a.readInterval():
			return nil, a.readInterval() - age, nil
		}
	}
	read = &archiveRead{startedAt: now, done: make(chan struct{})}
	a.reader.last = read
	go a.read(read)
	return read, 0, nil
}

func (a *Archive) readInterval() time.Duration {
	return max(minReadInterval, time.Duration(a.Nodes())*time.Second/maxReadsPerSecond)
}

// read reads all entries. It is not bound to a request: the result serves later ones, too.
func (a *Archive) read(r *archiveRead) {
	defer close(r.done)
	entries, err := a.Store.List(context.Background(), a.Prefix)
	r.err = err
	streams := map[Key]Origin{}
	for _, entry := range entries {
		archived, err := decodeEntry(entry.Value)
		if err != nil {
			a.Recorder.ArchiveEntryUnreadable(entry.Key, entry.Position(), err)
			continue
		}
		for key, o := range archived {
			addStream(streams, key, o)
		}
	}
	r.endedAt = boottime.Now()
	a.Ledger.LearnArchived(streams, r.endedAt)
	a.Recorder.ArchiveRead(len(entries), len(streams), boottime.Since(r.startedAt), err)
}
