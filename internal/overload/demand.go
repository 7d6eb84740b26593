package overload

import (
	"math"
	"time"
)

const (
	// demandDecay is the decay time constant of the demand by rank. It covers several requests of
	// a class that a node rarely receives, and follows a burst within its deadline.
	demandDecay = 2 * time.Second
	// peerTTL is how long the rows of other nodes count unless replaced.
	peerTTL = time.Second
)

// rate is an exponentially decaying rate per second.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) remaining(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-max(0, now.Sub(r.at).Seconds())/demandDecay.Seconds())
}

func (r *rate) add(amount float64, now time.Time) {
	r.sum = r.remaining(now) + amount
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 { return r.remaining(now) / demandDecay.Seconds() }

// rankDemand is the demand of one rank: at this node, and as last reported by all others.
type rankDemand struct {
	// tokens, admitted and returned are in prompt tokens per second, and slots in occupied slots.
	// returned counts the admitted requests of callers that return at their appointments.
	tokens, admitted, returned, slots rate
	// peerTokens is the demand at all other nodes.
	peerTokens float64
}

// demand is the demand for a service by rank.
type demand struct {
	ranks [RankCount]rankDemand
	// reportedAt is when the last report of peers arrived.
	reportedAt time.Time
	// nodes is the number of nodes in the fleet, and share this node's share of the demand
	// according to the last report.
	nodes int
	share float64
}

// alone reports whether the reports of other nodes are missing or outdated.
func (d *demand) alone(now time.Time) bool {
	return d.nodes > 1 && now.Sub(d.reportedAt) > peerTTL
}

// request records the demand of a request.
func (d *demand) request(r *Request, now time.Time) {
	rank := &d.ranks[r.Rank]
	rank.tokens.add(r.Tokens, now)
	rank.slots.add(r.SlotTime.Seconds(), now)
}

// fleetTokens returns the demand of a rank at all nodes in prompt tokens per second. Without
// reports, the other nodes count as receiving what they received at the last report.
func (d *demand) fleetTokens(rank int, now time.Time) float64 {
	own := d.ranks[rank].tokens.perSecond(now)
	if d.alone(now) {
		return own / d.ownShare()
	}
	return own + d.ranks[rank].peerTokens
}

// load returns the demand of a rank as a share of the service's capacity: of its prefill rate or
// of its slots, whichever is scarcer.
func (d *demand) load(rank int, r *Request, now time.Time) float64 {
	tokens := d.fleetTokens(rank, now)
	if tokens <= 0 {
		return 0
	}
	load := tokens / r.TokensPerSecond
	if own := d.ranks[rank].tokens.perSecond(now); own > 0 && r.Slots > 0 {
		load = max(load, d.ranks[rank].slots.perSecond(now)*tokens/own/float64(r.Slots))
	}
	return load
}

// returnedLoad returns the load by callers of all nodes that return at their appointments, of the
// ranks up to the given one, as a share of the service's prefill rate.
func (d *demand) returnedLoad(rank int, r *Request, now time.Time) float64 {
	tokens := 0.0
	for i := range rank + 1 {
		tokens += d.ranks[i].returned.perSecond(now)
	}
	return tokens / d.ownShare() / r.TokensPerSecond
}

// ownShare returns this node's share of the fleet's demand.
func (d *demand) ownShare() float64 {
	if d.share > 0 {
		return d.share
	}
	return 1 / float64(max(1, d.nodes))
}

// setPeers replaces the demand at all other nodes.
func (d *demand) setPeers(requested [RankCount]float64, now time.Time) {
	d.reportedAt = now
	own, peers := 0.0, 0.0
	for rank := range d.ranks {
		d.ranks[rank].peerTokens = requested[rank]
		own += d.ranks[rank].tokens.perSecond(now)
		peers += requested[rank]
	}
	if own+peers > 0 {
		// A node without recent requests may still have to promise a return.
		d.share = max(own/(own+peers), minShare/float64(max(1, d.nodes)))
	}
}

// minShare is the least share of a node, as a fraction of an even one.
const minShare = 0.1
