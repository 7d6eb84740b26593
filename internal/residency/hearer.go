package residency

import (
	"sync"
	"time"
)

// newsLife is how long a node's word of holders counts if nothing more is heard of
// the node.
const newsLife = 2 * time.Second

// Hearer takes the news of other nodes into a ledger. It is safe for concurrent use.
type Hearer struct {
	ledger *Ledger

	mutex   sync.Mutex
	tellers map[string]heard
}

// heard is up to where a node was heard, and when last.
type heard struct {
	place Place
	at    time.Time
}

// NewHearer returns a hearer that has heard nobody.
func NewHearer(ledger *Ledger) *Hearer {
	return &Hearer{ledger: ledger, tellers: map[string]heard{}}
}

// Place returns up to where a node was heard.
func (h *Hearer) Place(teller string) Place {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.tellers[teller].place
}

// Take takes what a node told since the place that was asked for; nil says that
// nothing has changed. News that cannot be read change nothing, and all is asked for
// anew.
func (h *Hearer) Take(teller string, asked Place, data []byte, now time.Time) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.tellers[teller].place != asked {
		// Another answer came first.
		return nil
	}
	told := answer{place: asked}
	if data != nil {
		var err error
		if told, err = decode(data); err != nil {
			h.tellers[teller] = heard{at: now}
			return err
		}
	}
	h.tellers[teller] = heard{place: told.place, at: now}
	if told.whole {
		h.ledger.forget(teller)
	}
	h.ledger.hear(teller, told.sections)
	return nil
}

// Expire forgets what was told by nodes that were not heard of late.
func (h *Hearer) Expire(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for teller, last := range h.tellers {
		if now.Sub(last.at) > newsLife {
			delete(h.tellers, teller)
			h.ledger.forget(teller)
		}
	}
}

// hear takes another node's word of holders. What this node hears from a holder
// itself goes before it.
func (l *Ledger) hear(teller string, sections []section) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, s := range sections {
		known := l.holding(s.holder)
		own := known.followed && known.teller == ""
		theirs := known.teller == teller
		switch {
		case own:
		case s.state == replaced:
			l.replace(s.holder, teller, s.has)
		case s.state == present && theirs && known.followed:
			l.apply(s.holder, known, s.has, s.lacks)
		case s.state == isDown && (theirs || !known.followed), s.state == lost && theirs:
			l.lose(s.holder, teller, s.state == isDown)
		}
	}
}

// forget drops all that a node told.
func (l *Ledger) forget(teller string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for holder, known := range l.holdings {
		if known.teller == teller {
			l.lose(holder, "", false)
		}
	}
}
