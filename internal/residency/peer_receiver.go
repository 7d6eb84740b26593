package residency

import (
	"sync"
	"time"
)

// peerTimeout is how long the reports of a peer count if nothing more is received from it.
const peerTimeout = 2 * time.Second

// PeerReceiver applies updates from other nodes to a ledger. It is safe for concurrent use.
type PeerReceiver struct {
	ledger *Ledger

	mutex sync.Mutex
	peers map[string]peerState
}

// peerState is the position up to which a peer's updates were received, and the time of the last
// one.
type peerState struct {
	place    Place
	lastSeen time.Time
}

// NewPeerReceiver returns a receiver that has received no updates.
func NewPeerReceiver(ledger *Ledger) *PeerReceiver {
	return &PeerReceiver{ledger: ledger, peers: map[string]peerState{}}
}

// Place returns the position up to which a peer's updates were received.
func (r *PeerReceiver) Place(peer string) Place {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peers[peer].place
}

// Receive applies a peer's update since the requested position; nil means that nothing has
// changed. A malformed update changes nothing in the ledger and resets the position, so that the
// next request fetches everything.
func (r *PeerReceiver) Receive(peer string, since Place, data []byte, now time.Time) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.peers[peer].place != since {
		// Another response arrived first.
		return nil
	}
	received := update{place: since}
	if data != nil {
		var err error
		if received, err = decodeUpdate(data); err != nil {
			r.peers[peer] = peerState{lastSeen: now}
			return err
		}
	}
	r.peers[peer] = peerState{place: received.place, lastSeen: now}
	if received.full {
		r.ledger.forgetPeer(peer)
	}
	r.ledger.applySections(peer, received.sections)
	return nil
}

// RemoveStale removes the reports of peers that have timed out.
func (r *PeerReceiver) RemoveStale(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for peer, state := range r.peers {
		if now.Sub(state.lastSeen) > peerTimeout {
			delete(r.peers, peer)
			r.ledger.forgetPeer(peer)
		}
	}
}

// applySections applies a peer's reports on holders. Holders that this node watches itself are
// skipped.
func (l *Ledger) applySections(peer string, sections []section) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, s := range sections {
		known := l.holderState(s.holder)
		own := known.watched && known.peer == ""
		fromPeer := known.peer == peer
		switch {
		case own:
		case s.state == replaced:
			l.replace(s.holder, peer, s.cached)
		case s.state == present && fromPeer && known.watched:
			l.apply(s.holder, known, s.cached, s.evicted)
		case s.state == unreachable && (fromPeer || !known.watched), s.state == unknown && fromPeer:
			l.drop(s.holder, peer, s.state == unreachable)
		}
	}
}

// forgetPeer removes everything that a peer reported.
func (l *Ledger) forgetPeer(peer string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for holder, known := range l.holders {
		if known.peer == peer {
			l.drop(holder, "", false)
		}
	}
}
