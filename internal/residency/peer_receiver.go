package residency

import (
	"sync"
	"time"
)

// peerTimeout is how long the reports of a peer count if nothing more is received from it.
const newsLife = 2 * time.Second

// PeerReceiver applies updates from other nodes to a ledger. It is safe for concurrent use.
type Hearer struct {
	ledger *Ledger

	mutex   sync.Mutex
	tellers map[string]heard
}

// peerState is the position up to which a peer's updates were received, and the time of the last
// one.
type heard struct {
	place Place
	at    time.Time
}

// NewPeerReceiver returns a receiver that has received no updates.
func NewHearer(ledger *Ledger) *Hearer {
	return &Hearer{ledger: ledger, tellers: map[string]heard{}}
}

// Place returns the position up to which a peer's updates were received.
func (h *Hearer) Place(teller string) Place {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.tellers[teller].place
}

// Receive applies a peer's update since the requested position; nil means that nothing has
// changed. A malformed update changes nothing, and resets the position, so that the next request
// fetches everything.
func (h *Hearer) Take(teller string, asked Place, data []byte, now time.Time) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.tellers[teller].place != asked {
		// Another response arrived first.
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

// RemoveStale removes the reports of peers that have timed out.
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

// applySections applies a peer's reports on holders. Holders that this node watches itself are
// skipped.
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

// forgetPeer removes everything that a peer reported.
func (l *Ledger) forget(teller string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for holder, known := range l.holdings {
		if known.teller == teller {
			l.lose(holder, "", false)
		}
	}
}
