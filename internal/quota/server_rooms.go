package quota

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// toleranceTTL is how long a service counts as brittle after the last response that says so.
	toleranceTTL = 3 * time.Second
	// rejectionWindow is the window in which servers count the requests that they reject.
	rejectionWindow = time.Second
	// maxRejectionHold bounds the time for which a node sends nothing to a server that has rejected it.
	maxRejectionHold = 10 * time.Second
	// roomDecrease is the factor by which the estimated room of a server shrinks when it rejects a
	// request. Once it has rejected none for increaseDelay, the room grows per second by the fraction
	// roomIncrease of itself, and at most by the fraction toleranceIncrease of what the server tolerates,
	// since as many requests find no room when it has grown too far.
	roomDecrease      = 0.8
	roomIncrease      = 0.1
	toleranceIncrease = 0.25
	increaseDelay     = 3 * time.Second
	// newServerRoom is the fraction of its slots with which the room of a server begins that has started
	// while its service was brittle, and newServerDoubling the time in which it doubles.
	newServerRoom     = 0.125
	newServerDoubling = 500 * time.Millisecond
	// borrowedFraction is the fraction of the room of a server up to which nodes use it beyond their
	// parts: requests of different nodes arrive independently of each other, so that some would find
	// a room that is used further to be full.
	borrowedFraction = 0.4
	// peersDecay is the time constant of the mean number of requests of other nodes.
	peersDecay = time.Second
	// hashedFraction is the fraction of the room of a server that nodes divide whose ranks are hashed.
	hashedFraction = 0.85
	// stopFraction is the fraction of the tolerance from which on the nodes that a server has just
	// rejected make all others send it nothing.
	stopFraction = 0.4
	// lostTTL is how long a request whose connection broke counts as running at its server.
	lostTTL = 2 * time.Second
	// defaultServerSlots is the assumed number of slots of a server that does not report it.
	defaultServerSlots = 16
	// defaultRunTime is the assumed run time of requests before any has been observed, and runTimeGain
	// the weight of each new observation.
	defaultRunTime = time.Second
	runTimeGain    = 0.1
)

// ServerRooms bounds the requests that all nodes together have in flight at servers that are brittle:
// those that fall over if they have to reject too many requests. It is safe for concurrent use.
//
// The room of a server is estimated from its slots and from its rejections. By their ranks, nodes divide
// it among themselves into whole parts without consulting each other. What the others leave unused, as
// far as they have reported, may be borrowed at random, so that all nodes together rarely borrow more
// than there is.
type ServerRooms struct {
	draw func() float64
	// active is the number of brittle services. While it is zero, no lock is taken.
	active atomic.Int64

	mutex       sync.Mutex
	nodes       int
	rank        Rank
	reportDelay time.Duration
	// reportedAt is when this node last received a report of the others.
	reportedAt time.Time
	// services are keyed by the row subject of their names, and rooms by server.
	services map[uint64]*brittleService
	rooms    map[uint64]*serverRoom
}

// brittleService is a service whose servers are brittle.
type brittleService struct {
	// tolerance is the number of rejections per second that a server survives.
	tolerance float64
	since     time.Time
	// announcedAt is when a server last said so to this node, and reportedAt when a peer last reported it.
	announcedAt time.Time
	reportedAt  time.Time
	demand      *serviceDemand
	// runTime is the mean run time of requests at this node, in seconds.
	runTime float64
	// fraction is the room of a server as a fraction of its slots, by the last rejection of any.
	fraction float64
}

func (b *brittleService) expired(now time.Time) bool {
	return now.Sub(b.announcedAt) > toleranceTTL && now.Sub(b.reportedAt) > toleranceTTL
}

// serverRoom is the estimated room of one server.
type serverRoom struct {
	// limit is the number of requests of all nodes that the server takes at once, and maximum its
	// greatest value.
	limit   float64
	maximum float64
	// starting is set until a new server has rejected a request or its room has reached the maximum.
	starting  bool
	updatedAt time.Time
	// peers is the mean number of requests of the other nodes. Their latest number alone is a sample, the
	// same at all nodes, and all would borrow when it happens to be small.
	peers float64
	// rejectedAt is when the server last rejected a request of any node, and heldUntil until when this
	// node sends it nothing.
	rejectedAt time.Time
	heldUntil  time.Time
	// lost holds the times at which requests whose connections broke stop counting.
	lost   []time.Time
	usedAt time.Time
}

// ServerUse is the use of a server, as far as this node knows.
type ServerUse struct {
	// Server is the hash that identifies the server.
	Server  uint64
	Service string
	// Groups is the number of groups of servers among which the requests for the service divide: each
	// request chooses from one of them.
	Groups int
	// Slots is the number of requests that the server runs concurrently; 0 if unknown.
	Slots int
	// Own and Peers are the requests in flight of this node and of the others.
	Own   int
	Peers int
	// RejectedPeers is the number of other nodes that the server has just rejected.
	RejectedPeers int
}

// NewServerRooms returns an instance without any brittle servers; draw returns random numbers in [0, 1).
func NewServerRooms(draw func() float64) *ServerRooms {
	return &ServerRooms{draw: draw, nodes: defaultFleetSize, services: map[uint64]*brittleService{}, rooms: map[uint64]*serverRoom{}}
}

// Active reports whether the servers of any service are brittle.
func (r *ServerRooms) Active() bool { return r.active.Load() > 0 }

// Rank is a node's place among the nodes of the fleet, from 0.
type Rank struct {
	At int
	// Hashed is set if the place is not known and derived from a hash, so that other nodes may have the
	// same one.
	Hashed bool
}

// Resize sets the number of nodes in the fleet, this node's rank among them, and the time in which an
// observation of one of them reaches all others.
func (r *ServerRooms) Resize(nodes int, rank Rank, reportDelay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.nodes, r.rank, r.reportDelay = max(1, nodes), rank, reportDelay
}

// ObserveTolerance records that a server of a service has announced how many rejections per second it
// survives, and reports whether it is news that the service is brittle.
func (r *ServerRooms) ObserveTolerance(service string, perSecond float64, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	b, changed := r.setTolerance(ServiceSubject(service), perSecond, now)
	b.announcedAt = now
	return changed
}

func (r *ServerRooms) setTolerance(subject uint64, perSecond float64, now time.Time) (b *brittleService, changed bool) {
	b = r.services[subject]
	if changed = b == nil || b.expired(now); changed {
		b = &brittleService{since: now, demand: newServiceDemand(), runTime: defaultRunTime.Seconds(), fraction: 1}
		r.services[subject] = b
		r.active.Store(int64(len(r.services)))
	}
	b.tolerance = perSecond
	return b, changed
}

// Requested counts a caller's request for a service.
func (r *ServerRooms) Requested(service string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if b := r.service(service, now); b != nil {
		b.demand.countRequest(now)
	}
}

// service returns the brittle service with a name, or nil.
func (r *ServerRooms) service(name string, now time.Time) *brittleService {
	b := r.services[ServiceSubject(name)]
	if b == nil || b.expired(now) {
		return nil
	}
	return b
}

// Admits reports whether this node may send one more request to a server. The number, in [0, 1), is
// the request's draw for the server: the same for each call about the same request.
func (r *ServerRooms) Admits(use ServerUse, draw float64, now time.Time) bool {
	if !r.Active() {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	b := r.service(use.Service, now)
	if b == nil {
		return true
	}
	room := r.room(b, use, now)
	if use.RejectedPeers > 0 {
		b.reject(room, now)
	}
	room.update(b, use, now)
	own := use.Own + room.lostCount(now)
	if now.Before(room.heldUntil) || use.RejectedPeers > 0 && float64(use.RejectedPeers) >= stopFraction*b.tolerance {
		return false
	}
	// Without reports, what the other nodes use is not known.
	stale := r.nodes > 1 && now.Sub(r.reportedAt) > peerMaxAge
	used := float64(own + use.Peers)
	if own < r.part(use.Server, int(room.limit)) && (stale || used < room.limit) {
		return true
	}
	free := borrowedFraction*room.limit - max(used, float64(own)+room.peers)
	return !stale && free >= 1 && draw*r.unknownUse(b, use, now) < free
}

// part returns this node's part of a room. Each place of the room belongs to one node, whatever the room's
// size, so that the parts do not exceed the room of the node that takes it for the largest. The first place
// belongs to a different node at each server.
func (r *ServerRooms) part(server uint64, room int) int {
	if r.rank.Hashed {
		room = int(hashedFraction * float64(room))
	}
	nodes := uint64(r.nodes)
	first := int((uint64(r.rank.At) + nodes - server%nodes) % nodes)
	return max(0, (room-first+r.nodes-1)/r.nodes)
}

// unknownUse returns how many requests all nodes together may have begun at one server without this
// node having learned of it: those of the time that reports take, or of the run time if that is shorter.
// All nodes may prefer the same server of a group, since they have the same reports.
func (r *ServerRooms) unknownUse(b *brittleService, use ServerUse, now time.Time) float64 {
	demandRate := b.demand.share(r.nodes, false, now).demandRate / float64(max(1, use.Groups))
	return demandRate * min(b.runTime, r.reportDelay.Seconds())
}

// room returns the room of a server. One that is first used while its service has been brittle for some
// time may have started just now.
func (r *ServerRooms) room(b *brittleService, use ServerUse, now time.Time) *serverRoom {
	room := r.rooms[use.Server]
	if room == nil {
		slots := float64(use.Slots)
		if use.Slots <= 0 {
			slots = defaultServerSlots
		}
		room = &serverRoom{limit: slots, maximum: slots, updatedAt: now}
		if now.Sub(b.since) > toleranceTTL {
			room.limit, room.starting = max(1, newServerRoom*slots), true
		}
		r.rooms[use.Server] = room
	}
	room.usedAt = now
	return room
}

// update lets the room grow while the server rejects nothing.
func (room *serverRoom) update(b *brittleService, use ServerUse, now time.Time) {
	elapsed := max(0, now.Sub(room.updatedAt).Seconds())
	room.updatedAt = now
	room.peers += (float64(use.Peers) - room.peers) * (1 - math.Exp(-elapsed/peersDecay.Seconds()))
	switch {
	case room.starting:
		learned := max(1, b.fraction*room.maximum)
		room.limit = min(learned, room.limit*math.Exp2(elapsed/newServerDoubling.Seconds()))
		room.starting = room.limit < learned
	case now.Sub(room.rejectedAt) > increaseDelay:
		room.limit += elapsed * min(roomIncrease*max(1, room.limit), toleranceIncrease*max(1, b.tolerance))
	}
	room.limit = min(room.limit, room.maximum)
}

// reject shrinks the room after a rejection, once per rejectionWindow. The use of the server does not
// tell by how much, since it was different when the server rejected the request.
func (b *brittleService) reject(room *serverRoom, now time.Time) {
	room.starting = false
	if now.Sub(room.rejectedAt) > rejectionWindow {
		room.limit, room.rejectedAt = max(1, roomDecrease*room.limit), now
		b.fraction = room.limit / room.maximum
	}
}

// lostCount returns the number of requests that may still run although their connections broke.
func (room *serverRoom) lostCount(now time.Time) int {
	room.lost = slices.DeleteFunc(room.lost, func(until time.Time) bool { return !now.Before(until) })
	return len(room.lost)
}

// Rejected records that a server has rejected a request of this node for want of room, and returns for
// how long this node sends it nothing: so long that, if all nodes were rejected, the server would
// survive.
func (r *ServerRooms) Rejected(use ServerUse, now time.Time) (hold time.Duration, brittle bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	b := r.service(use.Service, now)
	if b == nil {
		return 0, false
	}
	room := r.room(b, use, now)
	b.reject(room, now)
	windows := max(1, float64(r.nodes)/max(1, b.tolerance)) + r.draw()/2
	hold = min(maxRejectionHold, time.Duration(windows*float64(rejectionWindow)))
	room.heldUntil = now.Add(hold)
	return hold, true
}

// Ended records the end of a request at a server. Lost is set if its connection broke without a complete
// response, so that it may still run.
func (r *ServerRooms) Ended(use ServerUse, ran time.Duration, lost bool, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	b := r.service(use.Service, now)
	switch {
	case b == nil:
	case lost:
		room := r.room(b, use, now)
		room.lost = append(room.lost, now.Add(lostTTL))
	default:
		b.runTime += runTimeGain * (ran.Seconds() - b.runTime)
	}
}

// Report returns this node's rows on brittle services.
func (r *ServerRooms) Report(now time.Time) []Usage {
	if !r.Active() {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	var rows []Usage
	for subject, b := range r.services {
		rows = append(rows, Usage{Key: rowKey(subject, roomDemandRow), Requested: reportable(b.demand.demandRate.perSecond(now)), Admitted: 1})
		if now.Sub(b.announcedAt) < toleranceTTL {
			rows = append(rows, Usage{Key: rowKey(subject, toleranceRow), Requested: reportable(b.tolerance), Admitted: 1})
		}
	}
	return rows
}

// SetPeerRows replaces the rows reported by all other nodes.
func (r *ServerRooms) SetPeerRows(rows []Usage, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reportedAt = now
	for _, row := range rows {
		if k := rowKind(row.Key) & kindMask; k == toleranceRow && row.Admitted > 0 {
			b, _ := r.setTolerance(rowSubject(row.Key), row.Requested/row.Admitted, now)
			b.reportedAt = now
		}
	}
	for _, b := range r.services {
		b.demand.peers = Usage{}
	}
	for _, row := range rows {
		if b := r.services[rowSubject(row.Key)]; b != nil && rowKind(row.Key)&kindMask == roomDemandRow {
			b.demand.peers = row
		}
	}
	for _, b := range r.services {
		// Keeps the baseline of the demand current.
		b.demand.share(r.nodes, false, now)
	}
}

// expire forgets services that are no longer brittle and servers that are not used any more.
func (r *ServerRooms) expire(now time.Time) {
	for subject, b := range r.services {
		if b.expired(now) {
			delete(r.services, subject)
		}
	}
	for server, room := range r.rooms {
		if now.Sub(room.usedAt) > maxRejectionHold {
			delete(r.rooms, server)
		}
	}
	r.active.Store(int64(len(r.services)))
}

// BrittleCount returns the number of services whose servers are brittle.
func (r *ServerRooms) BrittleCount() int { return int(r.active.Load()) }
