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
	// pollWait is how long a poll stays open if nothing has changed, and so the interval at
	// which nodes exchange their work. pollMargin is how much longer a response may take:
	// nodes with little processor time respond late under load, and switching to another
	// upstream may cost a full list.
	askWait   = 150 * time.Millisecond
	askMargin = 850 * time.Millisecond
	// initialPollWait is how long an uninitialized node keeps a poll open: it waits at one
	// upstream for state to arrive there, and polls it again at once, instead of trying each
	// node in turn. It is below idleTimeout, at which an upstream is left.
	newcomerWait = 800 * time.Millisecond
	// minPollPause is the minimum time between two polls, so that changes in quick
	// succession are received together.
	leastAskPause = 50 * time.Millisecond
	// responseInterval is the minimum mean time between a relay's responses to its
	// followers. A response takes about half a millisecond, so that they take at most 4 %
	// of a core.
	answerInterval = 15 * time.Millisecond
	// staleSwitchInterval is the minimum time between two switches of the upstream because
	// its state is stale: during an outage of the store that of every node is.
	staleRest = time.Second
	// initialSwitchInterval is the same for an uninitialized node: when all nodes start at
	// once, its possible upstreams are uninitialized too, and receive state one by one.
	newcomerRest = 3 * time.Second
	idlePause    = 100 * time.Millisecond
	// relayStaleFraction and followerStaleFraction are the ages, as fractions of
	// MaxStaleness, from which an upstream's state counts as stale for a relay or a follower.
	// They are below the ages at which these read the store themselves.
	relayStale    = 0.45
	followerStale = 0.55
)

// errStaleUpstream reports that the upstream's own state is stale.
var errStale = errors.New("the upstream's state of the store is stale")

// pollInterval returns the time between two polls of the same node.
func (r *Reflector) askInterval() time.Duration {
	followers := r.Registry.Nodes() / r.Registry.Relays()
	return max(askWait, time.Duration(followers)*answerInterval)
}

// transitDelay is the time from sending a response to handling it, with a busy node at each
// end.
const transit = 20 * time.Millisecond

// DownstreamDelay returns the time in which a change at the first reader reaches all nodes in
// normal operation: relays poll the first reader, and followers poll the relays.
func (r *Reflector) HearTime() time.Duration {
	return r.hops() * (r.askPause() + transit)
}

// FleetPropagationDelay returns the time in which an observation of any node reaches all nodes.
// It goes upstream with the next poll, which may have to wait for the response to the previous
// one.
func (r *Reflector) TellTime() time.Duration {
	return r.hops()*(askWait+r.askPause()+transit) + r.HearTime()
}

// hopCount returns the number of polls on the path from the first reader to any node.
func (r *Reflector) hops() time.Duration {
	if r.Registry.Nodes() > r.Registry.Relays() {
		return 2
	}
	return 1
}

// pollPause returns the time between a response and the next poll.
func (r *Reflector) askPause() time.Duration { return max(r.askInterval()-askWait, leastAskPause) }

// upstreams returns the addresses of the nodes that this one may poll, in order of preference.
// Before it knows its own rank it polls the relays that it knows of: they may have been
// running for long.
func (r *Reflector) sources() []string {
	switch {
	case !r.Registry.Settled():
		return r.others(r.Registry.RelayAddresses())
	case r.leads() && r.knows(r.age(otherReadPart), boottime.Now()):
		return nil
	case r.Reads():
		// The first reader polls the other readers while it cannot read the store itself.
		return r.others(r.Registry.ReaderAddresses())
	case r.Relays():
		return r.Registry.ReaderAddresses()
	default:
		return r.Registry.RelayAddresses()
	}
}

// uninitialized reports whether this node has no declaration or no list of servers.
func (r *Reflector) newcomer() bool {
	belief := r.Belief.Load()
	place, _ := r.Feed.place()
	return belief == nil || belief.Snapshot == nil || place.IsZero()
}

// withoutSelf removes this node's own address.
func (r *Reflector) others(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(address string) bool { return address == r.Registry.Address })
}

// staleAge returns the age from which an upstream's state is stale.
func (r *Reflector) stale() time.Duration {
	part := followerStale
	if r.Relays() {
		part = relayStale
	}
	return r.age(part)
}

// followUpstream polls an upstream, except while this node is the reader that reads for all.
// It goes on to the next upstream when one fails or is stale.
func (r *Reflector) follow(ctx context.Context) {
	told := &telling{}
	turn := 0
	role := r.part()
	changedAt := time.Time{}
	var left error
	for ctx.Err() == nil {
		if now := r.part(); now != role {
			// Another role has other upstreams. The first of them is the fewest hops from the store.
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

// Upstream returns the address of the node that is polled, or "".
func (r *Reflector) Upstream() string {
	if node := r.upstream.Load(); node != nil {
		return *node
	}
	return ""
}

// poll applies one delta, and returns an error if the node should not stay the upstream. A
// node whose replica is stale may still deliver current data of other kinds, so the delta is
// applied in any case.
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

// reconcileEra records the era in which another node's list was read, and reports whether that
// list is compatible with this node's. A build without eras is taken to be in this node's era
// until the store is known to have been restored: after that, such a build keeps its old list.
func (r *Reflector) takeEra(delta *Delta) bool {
	era, since := r.Eras.State()
	if delta.Place.Era != 0 {
		r.Eras.Observe(delta.Place.Era)
		return true
	}
	delta.Place.Era = era
	return since.IsZero() || delta.Place.Revision == 0
}

// suspicionExchange is how far a node and a feed have exchanged suspicions, which are
// observations of requests that crashed servers.
type telling struct {
	feed string
	// received is a position in the feed's ledger, and sent one in this node's own.
	heard int64
	told  int64
}

// attachSuspicions adds this node's new suspicions to a request, and returns the position in
// its own ledger up to which they are included. Relays also forward those that they received,
// except back to the feed that sent them.
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

// advance records the response to a request that included suspicions up to a position. A feed
// with another name is a new process that has not received the earlier requests, and is sent
// everything again.
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

// ApplyLoads applies the state of the weight roll-out, and makes it available to other nodes.
func (r *Reflector) TakeLoads(loads backend.Loads) {
	if r.Feed.TakeLoads(loads) {
		r.Set.Load(loads, boottime.Now())
	}
}

// applyCacheUpdates applies a node's cache updates, and removes those of nodes that no longer
// send any.
func (r *Reflector) hear(node string, since residency.Place, news []byte) {
	if err := r.Kept.Take(node, since, news, boottime.Now()); err != nil {
		r.Recorder.Garbled(node, err)
	}
	r.Kept.Expire(boottime.Now())
}

// request returns the poll request for what this node lacks. Relays exchange work and cache
// updates among each other in group requests instead.
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

// applyReplica merges another node's replica into this one's. The response was created after
// the request was sent, so counting its age from the sending never makes it look newer than
// it is.
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

// exchangeWithRelays fetches the work of other relays' groups while this node is a relay.
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

// pollRelays polls all other relays concurrently, and waits for their responses.
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
