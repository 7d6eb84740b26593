package reflector

import (
	"context"
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/catalog"
)

const (
	// askWait is how long a reader keeps a question open if nothing has changed; it
	// is the rate at which nodes tell each other of their work. askMargin is how
	// much longer its answer may take.
	askWait   = 150 * time.Millisecond
	askMargin = 250 * time.Millisecond
	// calmNodes is the size of a fleet above which nodes ask less often, so that a
	// reader's answers stay bounded.
	calmNodes = 100
	// staleAfter is the age of a reader's list from which another reader is asked.
	staleAfter = 2500 * time.Millisecond
	idlePause  = 100 * time.Millisecond
)

// askInterval is the time between two questions to the same node.
func (reflector *Reflector) askInterval() time.Duration {
	return askWait * time.Duration(max(1, reflector.Registry.Nodes()/calmNodes))
}

// followReaders takes all from a reader while this node is none, and goes on to
// the next one when it does not answer or cannot read itself.
func (reflector *Reflector) followReaders(ctx context.Context) {
	copied := &Copy{}
	turn := 0
	for ctx.Err() == nil {
		readers := reflector.Registry.Addresses(Readers)
		if !reflector.Registry.Settled() || reflector.Reads() || len(readers) == 0 {
			wait(ctx, idlePause)
			continue
		}
		// The nearest reader comes first, and then the next one.
		reader := readers[turn%len(readers)]
		if reader != reflector.Reader() {
			reflector.reader.Store(&reader)
			reflector.Recorder.Follows(reader)
		}
		begun := time.Now()
		if reflector.ask(ctx, reader, copied) {
			wait(ctx, reflector.askInterval()-askWait-time.Since(begun))
		} else {
			turn++
			wait(ctx, idlePause)
		}
	}
}

// Reader returns the address of the node that is followed, or "".
func (reflector *Reflector) Reader() string {
	if reader := reflector.reader.Load(); reader != nil {
		return *reader
	}
	return ""
}

// ask takes one delta and reports whether the reader is worth following.
func (reflector *Reflector) ask(ctx context.Context, reader string, copied *Copy) bool {
	ctx, cancel := context.WithTimeout(ctx, askWait+askMargin)
	defer cancel()
	sentAt := time.Now()
	delta, err := reflector.Peers.Ask(ctx, reader, reflector.question(copied, sentAt))
	if err != nil || delta.Age > staleAfter || delta.BeliefAge < 0 || delta.BeliefAge > staleAfter {
		return false
	}
	if delta.Whole || len(delta.Changed)+len(delta.Gone) > 0 {
		list := copied.Apply(delta)
		reflector.Recorder.Listed(reflector.Set.Update(list, time.Now()))
	}
	if delta.Loads != nil {
		reflector.Set.Load(*delta.Loads, time.Now())
	}
	if delta.Fleet != nil {
		reflector.Registry.Observe(delta.Fleet, time.Now())
	}
	reflector.fleetAt.store(sentAt)
	reflector.Set.TakeWork(delta.Work, time.Now())
	reflector.believe(delta, sentAt)
	return true
}

func (reflector *Reflector) question(copied *Copy, now time.Time) Question {
	question := copied.Question(askWait)
	question.Node = reflector.Registry.Name
	question.Work = reflector.Set.Work(now)
	question.Fleet = reflector.Registry.Digest()
	if belief := reflector.Belief.Load(); belief != nil && belief.Snapshot != nil {
		question.Declaration = belief.Snapshot.Version
	}
	return question
}

// believe takes what a reader believes. The answer was made after the question was
// sent, so its age counts from then: the belief is taken to be older than it is.
func (reflector *Reflector) believe(delta Delta, sentAt time.Time) {
	reflector.advance(catalog.Reading{
		SentAt:      sentAt.Add(-delta.BeliefAge),
		Declaration: delta.Declaration,
		Weights:     delta.Weights,
	})
	if delta.DisturbedAgo >= 0 {
		reflector.disturb(sentAt.Add(-delta.DisturbedAgo))
	}
}

// shareWork hears of the work of other readers' groups while this node is a reader.
func (reflector *Reflector) shareWork(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		if reflector.Reads() {
			reflector.askReaders(ctx)
			reflector.Set.TakeWork(reflector.Work.Others("", time.Now()), time.Now())
		}
		wait(ctx, reflector.askInterval()-time.Since(begun))
	}
}

// askReaders asks all other readers at once, and waits for their answers.
func (reflector *Reflector) askReaders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	var asked sync.WaitGroup
	for _, reader := range reflector.Registry.Addresses(Readers) {
		if reader == reflector.Registry.Address {
			continue
		}
		asked.Go(func() {
			work, err := reflector.Peers.Work(ctx, reader)
			if err == nil {
				reflector.Work.TakeGroup(reader, work, time.Now())
			}
		})
	}
	asked.Wait()
}
