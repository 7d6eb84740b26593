package reflector

import (
	"context"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/residency"
)

const (
	// askWait is how long a reader keeps a question open if nothing has changed; it
	// is the rate at which nodes tell each other of their work. askMargin is how
	// much longer its answer may take.
	askWait   = 150 * time.Millisecond
	askMargin = 250 * time.Millisecond
	// leastAskPause is the least time between two questions: changes that come soon
	// after one another are heard together.
	leastAskPause = 50 * time.Millisecond
	// calmNodes is the size of a fleet above which nodes ask less often, so that a
	// reader's answers stay bounded.
	calmNodes = 100
	// staleAfter is the age of a reader's list from which another reader is asked.
	staleAfter = 2500 * time.Millisecond
	idlePause  = 100 * time.Millisecond
)

// askInterval is the time between two questions to the same node.
func (r *Reflector) askInterval() time.Duration {
	return askWait * time.Duration(max(1, r.Registry.Nodes()/calmNodes))
}

// followReaders takes all from a reader while this node is none, and goes on to
// the next one when it does not answer or cannot read itself.
func (r *Reflector) followReaders(ctx context.Context) {
	copied := &Copy{}
	turn := 0
	for ctx.Err() == nil {
		readers := r.Registry.Addresses(Readers)
		if !r.Registry.Settled() || r.Reads() || len(readers) == 0 {
			pause.For(ctx, idlePause)
			continue
		}
		// The nearest reader comes first, and then the next one.
		reader := readers[turn%len(readers)]
		if reader != r.Reader() {
			r.reader.Store(&reader)
			r.Recorder.Follows(reader)
		}
		begun := time.Now()
		if r.ask(ctx, reader, copied) {
			pause.For(ctx, max(r.askInterval()-askWait, leastAskPause)-time.Since(begun))
		} else {
			turn++
			pause.For(ctx, idlePause)
		}
	}
}

// Reader returns the address of the node that is followed, or "".
func (r *Reflector) Reader() string {
	if reader := r.reader.Load(); reader != nil {
		return *reader
	}
	return ""
}

// ask takes one delta and reports whether the reader is worth following.
func (r *Reflector) ask(ctx context.Context, reader string, copied *Copy) bool {
	ctx, cancel := context.WithTimeout(ctx, askWait+askMargin)
	defer cancel()
	sentAt := time.Now()
	question := r.question(copied, sentAt)
	question.Kept = r.Kept.Place(reader)
	delta, err := r.Peers.Ask(ctx, reader, question)
	if err != nil || delta.Age > staleAfter || delta.BeliefAge < 0 || delta.BeliefAge > staleAfter {
		return false
	}
	if list, changed := copied.Apply(delta); changed {
		r.Recorder.Listed(r.Set.Update(list, time.Now()))
	}
	if delta.Loads != nil {
		r.Set.Load(*delta.Loads, time.Now())
	}
	if delta.Fleet != nil {
		r.Registry.Observe(delta.Fleet, time.Now())
	}
	r.fleetAt.store(sentAt)
	r.Set.TakeWork(delta.Work, time.Now())
	r.hear(reader, question.Kept, delta.Kept)
	r.believe(delta, sentAt)
	return true
}

// hear takes a node's news of cached parts, and forgets those of nodes that are
// not heard any more.
func (r *Reflector) hear(node string, since residency.Place, news []byte) {
	if err := r.Kept.Take(node, since, news, time.Now()); err != nil {
		r.Recorder.Garbled(node, err)
	}
	r.Kept.Expire(time.Now())
}

func (r *Reflector) question(copied *Copy, now time.Time) Question {
	question := copied.Question(askWait)
	question.Node = r.Registry.Name
	question.Work = r.Set.Work(now)
	question.Fleet = r.Registry.Digest()
	if belief := r.Belief.Load(); belief != nil && belief.Snapshot != nil {
		question.Declaration = belief.Snapshot.Version
	}
	return question
}

// believe takes what a reader believes. The answer was made after the question was
// sent, so its age counts from then: the belief is taken to be older than it is.
func (r *Reflector) believe(delta Delta, sentAt time.Time) {
	r.advance(catalog.Reading{
		SentAt:      sentAt.Add(-delta.BeliefAge),
		Declaration: delta.Declaration,
		Weights:     delta.Weights,
	})
	if delta.DisturbedAgo >= 0 {
		r.disturb(sentAt.Add(-delta.DisturbedAgo))
	}
}

// shareWork hears of the work of other readers' groups while this node is a reader.
func (r *Reflector) shareWork(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		if r.Reads() {
			r.askReaders(ctx)
			r.Set.TakeWork(r.Work.Others("", time.Now()), time.Now())
		}
		pause.For(ctx, r.askInterval()-time.Since(begun))
	}
}

// askReaders asks all other readers at once, and waits for their answers.
func (r *Reflector) askReaders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	var asked sync.WaitGroup
	for _, reader := range r.Registry.Addresses(Readers) {
		if reader == r.Registry.Address {
			continue
		}
		asked.Go(func() {
			since := r.Kept.Place(reader)
			group, err := r.Peers.Group(ctx, reader, since)
			if err == nil {
				r.Work.TakeGroup(reader, group.Work, time.Now())
				r.hear(reader, since, group.Kept)
			}
		})
	}
	asked.Wait()
}
