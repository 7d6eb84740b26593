package residency

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

const (
	// PathKept is where a node tells others what a holder has.
	PathKept = "/kept"
	// maximumQuestion bounds a question in bytes.
	maximumQuestion = 4 << 10
)

// question asks for all that a holder has, or for what has changed.
type question struct {
	Holder string
	Whole  bool
	After  int64
	Wait   time.Duration
}

// answer is a part of what a holder has. Unheard says that the node does not know,
// and Down that the holder does not answer it.
type answer struct {
	Batch   Batch
	Unheard bool
	Down    bool
}

// Handler answers other nodes' questions from a ledger.
func Handler(l *Ledger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q question
		if err := gob.NewDecoder(io.LimitReader(r.Body, maximumQuestion)).Decode(&q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_ = gob.NewEncoder(w).Encode(answerOf(r.Context(), l, q))
	}
}

func answerOf(ctx context.Context, l *Ledger, q question) answer {
	var a answer
	var err error
	if q.Whole {
		a.Batch, err = l.List(ctx, q.Holder)
	} else {
		a.Batch, err = l.Changes(ctx, q.Holder, q.After, min(q.Wait, changesWait))
	}
	a.Down = errors.Is(err, errDown)
	a.Unheard = err != nil && !a.Down
	return a
}

// Peer is a Source that asks another node, which follows the holder itself.
type Peer struct {
	client *http.Client
	// node returns the address of the node to ask, or "".
	node func() string
}

// NewPeer returns a source that asks whichever node the function names.
func NewPeer(client *http.Client, node func() string) *Peer {
	return &Peer{client: client, node: node}
}

// List returns all that the holder has, as changes.
func (p *Peer) List(ctx context.Context, holder string) (Batch, error) {
	return p.ask(ctx, question{Holder: holder, Whole: true})
}

// Changes waits for changes after a place.
func (p *Peer) Changes(ctx context.Context, holder string, after int64, wait time.Duration) (Batch, error) {
	return p.ask(ctx, question{Holder: holder, After: after, Wait: wait})
}

// ask returns ErrUnheard if the node gives no answer: that says nothing about the
// holder.
func (p *Peer) ask(ctx context.Context, q question) (Batch, error) {
	address := p.node()
	if address == "" {
		return Batch{}, ErrUnheard
	}
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(q); err != nil {
		return Batch{}, errors.Trace(err)
	}
	request, err := sling.New().Base("http://" + address).Post(PathKept).Body(&body).Request()
	if err != nil {
		return Batch{}, errors.Trace(err)
	}
	response, err := p.client.Do(request.WithContext(ctx))
	if err != nil {
		return Batch{}, errors.Annotate(ErrUnheard, err.Error())
	}
	defer response.Body.Close()
	var a answer
	if err := gob.NewDecoder(response.Body).Decode(&a); err != nil {
		return Batch{}, errors.Annotate(ErrUnheard, err.Error())
	}
	switch {
	case a.Down:
		return Batch{}, errDown
	case a.Unheard:
		return Batch{}, ErrUnheard
	default:
		return a.Batch, nil
	}
}

// Either is a Source that is one of two, as this node's part in the fleet asks.
type Either struct {
	direct  Source
	peer    Source
	directs func() bool
}

// NewEither returns a source that asks holders itself while directs holds, and
// else a peer. A change between the two shows as another life of the holder.
func NewEither(direct, peer Source, directs func() bool) *Either {
	return &Either{direct: direct, peer: peer, directs: directs}
}

func (e *Either) source() Source {
	if e.directs() {
		return e.direct
	}
	return e.peer
}

// List returns all that the holder has, as changes.
func (e *Either) List(ctx context.Context, holder string) (Batch, error) {
	return e.source().List(ctx, holder)
}

// Changes waits for changes after a place.
func (e *Either) Changes(ctx context.Context, holder string, after int64, wait time.Duration) (Batch, error) {
	return e.source().Changes(ctx, holder, after, wait)
}
