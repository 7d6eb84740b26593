package reflector

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/residency"
)

const (
	// askWait is how long a node keeps a question open if nothing has changed; it is the
	// rate at which nodes tell each other of their work. askMargin is how much longer
	// its answer may take: nodes with little processor time answer late when they are
	// busy, and to leave one costs a whole list.
	askWait   = 150 * time.Millisecond
	askMargin = 850 * time.Millisecond
	// newcomerWait is how long a node that knows nothing keeps a question open: it waits
	// at one node for the word to come there, and asks again at once, rather than to ask
	// every node in turn. It ends before the silence does at which a node is left.
	newcomerWait = 800 * time.Millisecond
	// leastAskPause is the least time between two questions: changes that come soon
	// after one another are heard together.
	leastAskPause = 50 * time.Millisecond
	// answerInterval is the least mean time between the answers of a relay to its
	// followers. An answer takes about half a millisecond, so that they take 4 % of a
	// core at most.
	answerInterval = 15 * time.Millisecond
	// staleRest is the least time between two changes to another node because the one
	// before believed what is old: during an outage of the store all do.
	staleRest = time.Second
	// newcomerRest is the same for a node that knows nothing: as all start at once, those
	// that it may ask know nothing either, and hear one after the other.
	newcomerRest = 3 * time.Second
	idlePause    = 100 * time.Millisecond
	// relayStale and followerStale are the ages of another node's knowledge, as parts of
	// the bound, from which it is left: below those at which this node reads itself.
	relayStale    = 0.45
	followerStale = 0.55
)

// errStale says that the node that is followed believes what is old itself.
var errStale = errors.New("it has not heard from the store of late")

// askInterval is the time between two questions to the same node.
func (r *Reflector) askInterval() time.Duration {
	followers := r.Registry.Nodes() / r.Registry.Relays()
	return max(askWait, time.Duration(followers)*answerInterval)
}

// transit is the time that an answer takes on the way, with a busy node at each end.
const transit = 20 * time.Millisecond

// HearTime is the time in which all nodes hear of a change that this one takes while all
// is well: relays ask this node, and followers the relays.
func (r *Reflector) HearTime() time.Duration {
	return r.hops() * (r.askPause() + transit)
}

// TellTime is the time in which all nodes hear of what any of them has found out: it goes up
// with the next question, which may have to wait for the answer to the one before.
func (r *Reflector) TellTime() time.Duration {
	return r.hops()*(askWait+r.askPause()+transit) + r.HearTime()
}

// hops is how many nodes news pass on their way from the first reader to all.
func (r *Reflector) hops() time.Duration {
	if r.Registry.Nodes() > r.Registry.Relays() {
		return 2
	}
	return 1
}

// askPause is the time between an answer and the next question.
func (r *Reflector) askPause() time.Duration { return max(r.askInterval()-askWait, leastAskPause) }

// sources returns the nodes that this one may ask, the first choice first. Before it
// knows its own place, it asks those that it knows of: they may have served for long.
func (r *Reflector) sources() []string {
	switch {
	case !r.Registry.Settled():
		return r.others(r.Registry.RelayAddresses())
	case r.leads() && r.knows(r.age(otherReadPart), boottime.Now()):
		return nil
	case r.Reads():
		// The first reader asks the others while it cannot read itself.
		return r.others(r.Registry.ReaderAddresses())
	case r.Relays():
		return r.Registry.ReaderAddresses()
	default:
		return r.Registry.RelayAddresses()
	}
}

// newcomer reports whether this node knows no declaration, or no list of servers.
func (r *Reflector) newcomer() bool {
	belief := r.Belief.Load()
	place, _ := r.Feed.place()
	return belief == nil || belief.Snapshot == nil || place.IsZero()
}

// others returns the addresses without this node's own.
func (r *Reflector) others(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(address string) bool { return address == r.Registry.Address })
}

// stale is the age from which another node's knowledge is too old to follow it.
func (r *Reflector) stale() time.Duration {
	part := followerStale
	if r.Relays() {
		part = relayStale
	}
	return r.age(part)
}

// follow takes all from another node unless this one reads for all. It goes on to the
// next one when there is no answer, or when what it hears is old.
func (r *Reflector) follow(ctx context.Context) {
	told := &telling{}
	turn := 0
	role := r.part()
	changedAt := time.Time{}
	var left error
	for ctx.Err() == nil {
		if now := r.part(); now != role {
			// It asks others now, whose first one hears of a change in the fewest steps.
			role, turn = now, 0
		}
		sources := r.sources()
		if len(sources) == 0 {
			pause.For(ctx, idlePause)
			continue
		}
		node := sources[turn%len(sources)]
		if node != r.Upstream() {
			r.upstream.Store(&node)
			r.Recorder.Follows(node, left)
			changedAt = boottime.Now()
		}
		begun := boottime.Now()
		left = r.ask(ctx, node, told)
		switch {
		case left == nil:
			pause.For(ctx, r.askPause()-boottime.Since(begun))
		case left == errStale && r.newcomer() && boottime.Since(changedAt) < newcomerRest:
			pause.For(ctx, leastAskPause)
		case left == errStale && boottime.Since(changedAt) < staleRest:
			pause.For(ctx, r.askInterval()-boottime.Since(begun))
		default:
			turn++
			pause.For(ctx, idlePause)
		}
	}
}

// Upstream returns the address of the node that is followed, or "".
func (r *Reflector) Upstream() string {
	if node := r.upstream.Load(); node != nil {
		return *node
	}
	return ""
}

// ask takes one delta, and returns why the node is not worth following, if it is not.
// What a node that believes old things tells of all else counts all the same.
func (r *Reflector) ask(ctx context.Context, node string, told *telling) error {
	sentAt := boottime.Now()
	question := r.question(node, told)
	toldUpTo := r.tell(&question, told, sentAt)
	delta, err := r.Peers.Ask(ctx, node, question)
	if err != nil {
		return err
	}
	told.answered(delta, toldUpTo)
	foreign := !r.takeEra(&delta)
	r.Quarantine.Take(delta.Suspicions, delta.Feed, boottime.Now())
	if !foreign {
		r.takeServers(delta.listing(sentAt))
	}
	if delta.Loads != nil {
		r.TakeLoads(*delta.Loads)
	}
	if r.Registry.ObserveView(delta.Fleet, delta.Nodes) {
		r.nodesAt.store(sentAt)
	}
	if question.Reader {
		r.Registry.ObserveDuties(delta.Duties, boottime.Now())
	}
	if !question.Relay {
		r.TakeReport(delta.Others, boottime.Now())
		r.hear(node, question.Kept, delta.Kept)
	}
	if delta.BeliefAge >= 0 {
		r.believe(delta, sentAt)
	}
	if stale := r.stale(); foreign || delta.Age > stale || delta.BeliefAge < 0 || delta.BeliefAge > stale {
		return errStale
	}
	return nil
}

// takeEra takes the era in which another node's list was read, and reports whether that list
// can be followed. A build that knows no eras is taken to be in this node's, until the store is
// known to have gone back: from then on such a build keeps the list that it had.
func (r *Reflector) takeEra(delta *Delta) bool {
	era, since := r.Eras.State()
	if delta.Place.Era != 0 {
		r.Eras.Observe(delta.Place.Era)
		return true
	}
	delta.Place.Era = era
	return since.IsZero() || delta.Place.Revision == 0
}

// telling is how far a node has exchanged with a feed what requests have done to servers.
type telling struct {
	feed string
	// heard is a place in the feed's ledger, told one in this node's own.
	heard int64
	told  int64
}

// tell adds to a question what the asker has found out of requests, and returns up to which
// place of its own ledger. Relays pass on what they were told, too, but by the feed itself.
func (r *Reflector) tell(question *Question, told *telling, now time.Time) int64 {
	scope := quarantine.Own
	if question.Relay {
		scope = quarantine.All
	}
	question.SuspicionsPlace = told.heard
	items, next := r.Quarantine.Since(told.told, told.feed, scope, now)
	question.Suspicions = items
	return next
}

// answered notes that a question was answered that told all up to a place. A feed that did
// not hear the questions before is told everything anew.
func (t *telling) answered(delta Delta, upTo int64) {
	if t.feed != delta.Feed {
		*t = telling{feed: delta.Feed}
	} else {
		t.told = upTo
	}
	if delta.SuspicionsPlace != 0 {
		t.heard = delta.SuspicionsPlace
	}
}

// TakeLoads takes how far the roll-out of weights is, and passes it on.
func (r *Reflector) TakeLoads(loads backend.Loads) {
	if r.Feed.TakeLoads(loads) {
		r.Set.Load(loads, boottime.Now())
	}
}

// hear takes a node's news of cached parts, and forgets those of nodes that are
// not heard any more.
func (r *Reflector) hear(node string, since residency.Place, news []byte) {
	if err := r.Kept.Take(node, since, news, boottime.Now()); err != nil {
		r.Recorder.Garbled(node, err)
	}
	r.Kept.Expire(boottime.Now())
}

// question asks a node for what this one lacks. Relays tell each other of their work
// and of cached parts in questions of their own.
func (r *Reflector) question(node string, told *telling) Question {
	question := Question{Feed: told.feed, Wait: askWait, Node: r.Registry.Name, Fleet: r.Registry.Digest(), Loads: r.Feed.LoadsMark()}
	question.Place, _ = r.Feed.place()
	if r.newcomer() {
		question.Wait = newcomerWait
	}
	if belief := r.Belief.Load(); belief != nil && belief.Snapshot != nil {
		question.Declaration = belief.Snapshot.Version
	}
	question.Reader = r.Reads()
	if question.Relay = r.Relays(); !question.Relay {
		question.Own = r.Work.Own()
		question.Kept = r.Kept.Place(node)
	}
	return question
}

// believe takes what another node believes. The answer was made after the question was
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

// shareWork hears of the work of other relays' groups while this node is a relay.
func (r *Reflector) shareWork(ctx context.Context) {
	for ctx.Err() == nil {
		begun := boottime.Now()
		if r.Relays() {
			r.askRelays(ctx)
			r.TakeReport(r.Work.Others("", boottime.Now()), boottime.Now())
		}
		if r.Relays() {
			pause.For(ctx, r.askInterval()-boottime.Since(begun))
		} else {
			pause.For(ctx, settledPoll)
		}
	}
}

// askRelays asks all other relays at once, and waits for their answers.
func (r *Reflector) askRelays(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.askInterval())
	defer cancel()
	var asked sync.WaitGroup
	for _, relay := range r.others(r.Registry.RelayAddresses()) {
		asked.Go(func() { r.askRelay(ctx, relay) })
	}
	asked.Wait()
}

func (r *Reflector) askRelay(ctx context.Context, relay string) {
	question := GroupQuestion{Kept: r.Kept.Place(relay), Loads: r.Feed.LoadsMark()}
	group, err := r.Peers.Group(ctx, relay, question)
	if err != nil {
		return
	}
	r.Work.TakeGroup(relay, group.Report, boottime.Now())
	if group.Loads != nil {
		r.TakeLoads(*group.Loads)
	}
	r.hear(relay, question.Kept, group.Kept)
}
