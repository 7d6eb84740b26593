package reflector

import (
	"context"
	"time"
)

const (
	// askWait is how long a reader keeps a question open, and askMargin how much
	// longer its answer may take.
	askWait   = 400 * time.Millisecond
	askMargin = 200 * time.Millisecond
	// staleAfter is the age of a reader's list from which another reader is asked.
	staleAfter = 2500 * time.Millisecond
	idlePause  = 100 * time.Millisecond
)

// followReaders takes the list of servers from a reader while this node is none,
// and goes on to the next one when it does not answer or cannot read itself.
func (reflector *Reflector) followReaders(ctx context.Context) {
	copied := &Copy{}
	turn := 0
	told := ""
	for ctx.Err() == nil {
		readers := reflector.Registry.Addresses(Readers)
		if !reflector.Registry.Settled() || reflector.Reads() || len(readers) == 0 {
			wait(ctx, idlePause)
			continue
		}
		// The nearest reader comes first, and then the next one.
		reader := readers[turn%len(readers)]
		if reader != told {
			told = reader
			reflector.Recorder.Follows(reader)
		}
		if !reflector.ask(ctx, reader, copied) {
			turn++
			wait(ctx, idlePause)
		}
	}
}

// ask takes one delta and reports whether the reader is worth following.
func (reflector *Reflector) ask(ctx context.Context, reader string, copied *Copy) bool {
	ctx, cancel := context.WithTimeout(ctx, askWait+askMargin)
	defer cancel()
	delta, err := reflector.Peers.Ask(ctx, reader, copied.Question(askWait))
	if err != nil || delta.Age > staleAfter {
		return false
	}
	if delta.Whole || len(delta.Changed)+len(delta.Gone) > 0 {
		list := copied.Apply(delta)
		reflector.Recorder.Listed(reflector.Set.Update(list, time.Now()))
	}
	if delta.Loads != nil {
		reflector.Set.Load(*delta.Loads, time.Now())
	}
	return true
}
