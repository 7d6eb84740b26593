package reflector

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/catalog"
	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/pause"
	"github.com/cloverrail/cloverrail/internal/quarantine"
	"github.com/cloverrail/cloverrail/internal/residency"
)

const (
	// pollWait is how long a poll stays open if nothing has changed, and so the interval at
	// which nodes exchange their work. pollMargin is how much longer a response may take:
	// nodes with little processor time respond late under load, and switching to another
	// upstream may cost a full list.
	pollWait   = 150 * time.Millisecond
	pollMargin = 850 * time.Millisecond
	// initialPollWait is how long an uninitialized node keeps a poll open: it waits at one
	// upstream for state to arrive there, and polls it again at once, instead of trying each
	// node in turn. It is below idleTimeout, at which an upstream is left.
	initialPollWait = 800 * time.Millisecond
	// minPollPause is the minimum time between two polls, so that changes in quick
	// succession are received together.
	minPollPause = 50 * time.Millisecond
	// responseInterval is the minimum mean time between a relay's responses to its
	// followers. A response takes about half a millisecond, so that they take at most 4 %
	// of a core.
	responseInterval = 15 * time.Millisecond
	// staleSwitchInterval is the minimum time between two switches of the upstream because
	// its state is stale: during an outage of the store that of every node is.
	staleSwitchInterval = time.Second
	// initialSwitchInterval is the same for an uninitialized node: when all nodes start at
	// once, its possible upstreams are uninitialized too, and receive state one by one.
	initialSwitchInterval = 3 * time.Second
	upstreamRetryDelay    = 100 * time.Millisecond
	// seedDelay is how long a starting node waits for the store to show it the relays before it polls
	// seeds. A starting fleet would overload these. seedPollInterval is the time between two polls of
	// seeds that have no state.
	seedDelay        = time.Second
	seedPollInterval = time.Second
	// relayStaleFraction and followerStaleFraction are the ages, as fractions of
	// MaxStaleness, from which an upstream's state counts as stale for a relay or a follower.
	// They are below the ages at which these read the store themselves.
	relayStaleFraction    = 0.45
	followerStaleFraction = 0.55
)

// errStaleUpstream reports that the upstream's own state is stale, or that the upstream is a
// build without eras and the store has been restored.
var errStaleUpstream = errors.New("the upstream's state of the store is stale")

// pollInterval returns the time between two polls of the same node.
func (r *Reflector) pollInterval() time.Duration {
	followers := r.Registry.Nodes() / r.Registry.Relays()
	return max(pollWait, time.Duration(followers)*responseInterval)
}

// transitDelay is the time from sending a response to handling it, with a busy node at each
// end.
const transitDelay = 20 * time.Millisecond

// DownstreamDelay returns the time in which a change at the first reader reaches all nodes in
// normal operation: relays poll the first reader, and followers poll the relays.
func (r *Reflector) DownstreamDelay() time.Duration {
	return r.hopCount() * (r.pollPause() + transitDelay)
}

// FleetPropagationDelay returns the time in which an observation of any node reaches all nodes.
// It goes upstream with the next poll, which may have to wait for the response to the previous
// one.
func (r *Reflector) FleetPropagationDelay() time.Duration {
	return r.hopCount()*(pollWait+r.pollPause()+transitDelay) + r.DownstreamDelay()
}

// hopCount returns the number of polls on the path from the first reader to any node.
func (r *Reflector) hopCount() time.Duration {
	if r.Registry.Nodes() > r.Registry.Relays() {
		return 2
	}
	return 1
}

// pollPause returns the time between a response and the next poll.
func (r *Reflector) pollPause() time.Duration { return max(r.pollInterval()-pollWait, minPollPause) }

// upstreams returns the addresses of the nodes that this one may poll, in order of preference.
// Before it knows its own rank it polls the relays that it knows of: they may have been
// running for long.
func (r *Reflector) upstreams() []string {
	switch {
	case !r.Registry.Bootstrapped():
		if relays := r.withoutSelf(r.Registry.RelayAddresses()); len(relays) > 0 {
			return relays
		}
		return r.seeds()
	case r.isFirstReader() && r.isFresh(r.maxAge(readerFraction), boottime.Now()):
		return nil
	case r.Reads():
		// The first reader polls the other readers while it cannot read the store itself.
		return r.withoutSelf(r.Registry.ReaderAddresses())
	case r.Relays():
		return r.Registry.ReaderAddresses()
	default:
		return r.Registry.RelayAddresses()
	}
}

// seeds returns the seeds if this node may poll them: the store has shown it no other node for seedDelay.
func (r *Reflector) seeds() []string {
	if boottime.Since(r.startedAt.load()) < seedDelay {
		return nil
	}
	return r.Seeds
}

// isSeed reports whether a node is polled as a seed.
func (r *Reflector) isSeed(node string) bool {
	return !r.Registry.Bootstrapped() && slices.Contains(r.Seeds, node) && len(r.withoutSelf(r.Registry.RelayAddresses())) == 0
}

// uninitialized reports whether this node has no declaration or no list of servers.
func (r *Reflector) uninitialized() bool {
	replica := r.Replica.Load()
	cursor, _ := r.Feed.cursor()
	return replica == nil || replica.Snapshot == nil || cursor.IsZero()
}

// withoutSelf removes this node's own address.
func (r *Reflector) withoutSelf(addresses []string) []string {
	return slices.DeleteFunc(addresses, func(address string) bool { return address == r.Registry.Address })
}

// staleAge returns the age from which an upstream's state is stale.
func (r *Reflector) staleAge() time.Duration {
	fraction := followerStaleFraction
	if r.Relays() {
		fraction = relayStaleFraction
	}
	return r.maxAge(fraction)
}

// followUpstream polls an upstream, except while this node is the reader that reads for all.
// It goes on to the next upstream when one fails or is stale.
func (r *Reflector) followUpstream(ctx context.Context) {
	exchange := &suspicionExchange{}
	next := 0
	role := r.roleFraction()
	failures := pollFailures{}
	changedAt := time.Time{}
	var cause error
	for ctx.Err() == nil {
		if now := r.roleFraction(); now != role {
			// Another role has other upstreams. The first of them is the fewest hops from the store.
			role, next = now, 0
		}
		upstreams := r.upstreams()
		r.upstreamsLost.Store(failures.cover(upstreams))
		if len(upstreams) == 0 {
			pause.For(ctx, upstreamRetryDelay)
			continue
		}
		node := upstreams[next%len(upstreams)]
		if node != r.Upstream() {
			r.upstream.Store(&node)
			r.Recorder.UpstreamChanged(node, cause)
			changedAt = boottime.Now()
		}
		startedAt := boottime.Now()
		cause = r.poll(ctx, node, exchange)
		failures.observe(cause == nil || cause == errStaleUpstream)
		switch {
		case cause == nil:
			pause.For(ctx, r.pollPause()-boottime.Since(startedAt))
		case r.isSeed(node):
			next++
			pause.For(ctx, seedPollInterval/2+rand.N(seedPollInterval))
		case cause == errStaleUpstream && r.uninitialized() && boottime.Since(changedAt) < initialSwitchInterval:
			pause.For(ctx, minPollPause)
		case cause == errStaleUpstream && boottime.Since(changedAt) < staleSwitchInterval:
			pause.For(ctx, r.pollInterval()-boottime.Since(startedAt))
		default:
			next++
			pause.For(ctx, upstreamRetryDelay)
		}
	}
}

// pollFailures counts the polls in a row that failed, each of the next one of a list of upstreams.
type pollFailures struct {
	upstreams []string
	inARow    int
}

// cover reports whether all upstreams of a list have failed. Another list starts a new count.
func (f *pollFailures) cover(upstreams []string) bool {
	if !slices.Equal(upstreams, f.upstreams) {
		*f = pollFailures{upstreams: upstreams}
	}
	return len(upstreams) > 0 && f.inARow >= len(upstreams)
}

func (f *pollFailures) observe(answered bool) {
	f.inARow++
	if answered {
		f.inARow = 0
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
// applied all the same, except for a list of servers that reconcileEra finds incompatible.
func (r *Reflector) poll(ctx context.Context, node string, exchange *suspicionExchange) error {
	sentAt := boottime.Now()
	request := r.request(node, exchange)
	sentUpTo := r.attachSuspicions(&request, exchange, sentAt)
	delta, err := r.Peers.Poll(ctx, node, request)
	if err != nil {
		return err
	}
	exchange.advance(delta, sentUpTo)
	incompatible := !r.reconcileEra(&delta)
	r.Quarantine.Apply(delta.Suspicions, delta.Feed, boottime.Now())
	// The disruption comes first: it decides whether servers that are gone from the list may live.
	if delta.BeliefAge >= 0 && delta.DisturbedAgo >= 0 {
		r.markDisrupted(sentAt.Add(-delta.DisturbedAgo))
	}
	if delta.EntriesMissingFor > 0 {
		r.Set.ObserveMissingEntries(sentAt.Add(delta.EntriesMissingFor))
	}
	if delta.Software != nil {
		r.ApplySoftware(*delta.Software)
	}
	if !incompatible {
		r.applyServers(delta.serverUpdate(sentAt))
	}
	if delta.Loads != nil {
		r.ApplyLoads(*delta.Loads)
	}
	if r.Registry.ObserveView(delta.Fleet, delta.Nodes) {
		r.Registry.Confirm(sentAt.Add(-delta.Age))
		r.nodesReadAt.store(sentAt)
	}
	if delta.Fleet != nil {
		r.viewReceived.Store(true)
	}
	if request.Reader {
		r.Registry.ObserveDuties(delta.Duties, boottime.Now())
	}
	if !request.Relay {
		r.OnReport(delta.Others, boottime.Now())
		r.applyCacheUpdates(node, request.Kept, delta.Kept)
	}
	if delta.BeliefAge >= 0 {
		r.applyReplica(delta, sentAt)
	}
	if staleAge := r.staleAge(); incompatible || delta.Age > staleAge || delta.BeliefAge < 0 || delta.BeliefAge > staleAge {
		return errStaleUpstream
	}
	return nil
}

// reconcileEra records the era in which another node's list was read, and reports whether that
// list is compatible with this node's. A build without eras is taken to be in this node's era
// until the store is known to have been restored: after that, such a build keeps its old list.
func (r *Reflector) reconcileEra(delta *Delta) bool {
	if delta.BeganAtZero {
		r.Eras.ObserveBeganAtZero()
	}
	if delta.Place.Era.IsKnown() {
		r.Eras.Observe(delta.Place.Era)
		return true
	}
	if delta.Place.IsZero() {
		// The node has no list yet.
		return true
	}
	delta.Place.Era = impliedEra(delta.eraLeftOut, r.Eras.Current())
	return !r.Eras.WasRestored()
}

// impliedEra returns the era of a cursor that another node sent without one, given this node's era. An era
// that was left out is 0 if the store sends eras. Builds without eras are taken to be in this node's era.
func impliedEra(leftOut bool, current coordination.Era) coordination.Era {
	if leftOut && current.IsKnown() {
		return coordination.EraOf(0)
	}
	return current
}

// suspicionExchange is how far a node and a feed have exchanged suspicions, which are
// observations of requests that crashed servers.
type suspicionExchange struct {
	feed string
	// received is a position in the feed's ledger, and sent one in this node's own.
	received int64
	sent     int64
}

// attachSuspicions adds this node's new suspicions to a request, and returns the position in
// its own ledger up to which they are included. Relays also forward those that they received,
// except back to the feed that sent them.
func (r *Reflector) attachSuspicions(request *PollRequest, exchange *suspicionExchange, now time.Time) int64 {
	scope := quarantine.Own
	if request.Relay {
		scope = quarantine.All
	}
	request.SuspicionsPlace = exchange.received
	items, next := r.Quarantine.Since(exchange.sent, exchange.feed, scope, now)
	request.Suspicions = items
	return next
}

// advance records the response to a request that included suspicions up to a position. A feed
// with another name is a new process that has not received the earlier requests, and is sent
// everything again.
func (e *suspicionExchange) advance(delta Delta, upTo int64) {
	if e.feed != delta.Feed {
		*e = suspicionExchange{feed: delta.Feed}
	} else {
		e.sent = upTo
	}
	if delta.SuspicionsPlace != 0 {
		e.received = delta.SuspicionsPlace
	}
}

// ApplyLoads applies the state of the weight rollout, and makes it available to other nodes.
func (r *Reflector) ApplyLoads(loads backend.Loads) {
	if r.Feed.ApplyLoads(loads) {
		r.Set.SetLoads(loads, boottime.Now())
	}
}

// ApplySoftware applies a record of software versions, and makes it available to other nodes.
func (r *Reflector) ApplySoftware(record backend.SoftwareRecord) {
	if r.Set.SetSoftwareRecord(record, boottime.Now()) {
		r.Recorder.SoftwareRecordChanged(record)
	}
	// The same versions as of a later position must reach nodes that have others as of one between.
	r.Feed.ApplySoftware(r.Set.SoftwareRecord())
}

// applyCacheUpdates applies a node's cache updates, and removes those of nodes that no longer
// send any.
func (r *Reflector) applyCacheUpdates(node string, cursor residency.Place, updates []byte) {
	if err := r.Kept.Receive(node, cursor, updates, boottime.Now()); err != nil {
		r.Recorder.CacheUpdatesRejected(node, err)
	}
	r.Kept.RemoveStale(boottime.Now())
}

// request returns the poll request for what this node lacks. Relays exchange work and cache
// updates among each other in group requests instead.
func (r *Reflector) request(node string, exchange *suspicionExchange) PollRequest {
	request := PollRequest{Feed: exchange.feed, Wait: pollWait, Node: r.Registry.Name, Fleet: r.Registry.ViewDigest(), Loads: r.Feed.LoadsMark(), Software: r.Feed.softwareDigest()}
	request.Place, _ = r.Feed.cursor()
	if r.uninitialized() {
		request.Wait = initialPollWait
	}
	if replica := r.Replica.Load(); replica != nil && replica.Snapshot != nil {
		request.Declaration = replica.Snapshot.Version
	} else {
		request.NoDeclaration = true
	}
	request.Reader, request.BeganAtZero = r.Reads(), r.Eras.BeganAtZero()
	if request.Relay = r.Relays(); !request.Relay {
		request.Own = r.Work.Own()
		request.Kept = r.Kept.Place(node)
	}
	return request
}

// applyReplica merges another node's replica into this one's. The response was created after
// the request was sent, so counting its age from the sending never makes it look newer than
// it is.
func (r *Reflector) applyReplica(delta Delta, sentAt time.Time) {
	r.Outage.ObserveAnswer(sentAt.Add(-delta.BeliefAge))
	r.applyReading(catalog.ReadResult{
		SentAt:      sentAt.Add(-delta.BeliefAge),
		Declaration: delta.Declaration,
		Weights:     delta.Weights,
	})
}

// exchangeWithRelays fetches the work of other relays' groups while this node is a relay.
func (r *Reflector) exchangeWithRelays(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := boottime.Now()
		if r.Relays() {
			r.pollRelays(ctx)
			r.OnReport(r.Work.Others("", boottime.Now()), boottime.Now())
		}
		if r.Relays() {
			pause.For(ctx, r.pollInterval()-boottime.Since(startedAt))
		} else {
			pause.For(ctx, roleCheckInterval)
		}
	}
}

// pollRelays polls all other relays concurrently, and waits for their responses.
func (r *Reflector) pollRelays(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.pollInterval())
	defer cancel()
	var polls sync.WaitGroup
	for _, relay := range r.withoutSelf(r.Registry.RelayAddresses()) {
		polls.Go(func() { r.pollRelay(ctx, relay) })
	}
	polls.Wait()
}

func (r *Reflector) pollRelay(ctx context.Context, relay string) {
	request := GroupRequest{Kept: r.Kept.Place(relay), Loads: r.Feed.LoadsMark()}
	group, err := r.Peers.Group(ctx, relay, request)
	if err != nil {
		return
	}
	r.Work.SetGroup(relay, group.Report, boottime.Now())
	if group.Loads != nil {
		r.ApplyLoads(*group.Loads)
	}
	r.applyCacheUpdates(relay, request.Kept, group.Kept)
}
