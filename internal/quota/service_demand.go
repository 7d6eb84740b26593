package quota

import (
	"math"
	"time"
)

const (
	// serviceDemandDecay is the decay time constant of the request rate of a service. It is
	// long, since a node may receive only one request in several seconds.
	demandMemory = 2 * time.Second
	// demandSampleInterval is the time between two samples of the request rate, and
	// demandSampleAge the age of the sample that determines a node's own share: by then all
	// nodes have received it. With a younger sample, nodes whose demand rises at the same moment
	// would each claim the share of a node that is alone in this.
	demandSlot  = 125 * time.Millisecond
	demandDelay = time.Second
	demandSlots = int(demandDelay / demandSlot)
	// baselineDecay is the averaging time of the usual demand. After a lull, callers may return
	// at all nodes at the same moment.
	usualMemory = 30 * time.Second
	// lullFraction is the fraction of the baseline below which demand counts as a lull,
	// surgeFactor how many times the baseline may be requested when it ends, and lullRecovery
	// the time until nodes know the actual demand.
	lullPart     = 0.5
	returnFactor = 4
	lullEnd      = 3 * time.Second
)

// serviceDemand is the request rate of one service, at this node and as last reported by its
// peers.
type demand struct {
	asked flow
	// samples holds the request rates of the last demandSampleAge; newestSample numbers the
	// newest.
	samples [demandSlots]float64
	sampled int64
	// peers is the last report of the peers: their request rate and their number.
	others Use
	// baseline is the mean request rate of all nodes since the first update, over at most
	// baselineDecay, as of baselineAt.
	usual   float64
	usualAt time.Time
	since   time.Time
	// lullUntil is until when a lull is taken into account.
	lullUntil time.Time
	// lastRetryAt is the latest retry time given to a refused caller.
	returning time.Time
}

func newDemand() *demand { return &demand{asked: flow{memory: demandMemory}} }

// countRequest counts a request.
func (d *demand) note(now time.Time) {
	d.sample(now)
	d.asked.add(1, now)
}

// sample records the request rate at each sample time up to now.
func (d *demand) sample(now time.Time) {
	current := now.UnixNano() / int64(demandSlot)
	if current-d.sampled > int64(demandSlots) {
		d.sampled = current - int64(demandSlots)
	}
	for d.sampled < current {
		d.sampled++
		d.samples[d.sampled%int64(demandSlots)] = d.asked.perSecond(time.Unix(0, d.sampled*int64(demandSlot)))
	}
}

// settledRate returns this node's request rate at a time old enough for all nodes to have
// received it.
func (d *demand) settled(now time.Time) float64 {
	d.sample(now)
	return d.samples[(d.sampled+1)%int64(demandSlots)]
}

// share is a node's share of the limits of a service's servers.
type share struct {
	// fraction is the share, from 0 to 1, and upcoming the share that the node will have if the
	// current demand persists. demandRate is the possible demand on all nodes, in requests per
	// second: the current rate or the baseline, whichever is higher, and during a lull the surge
	// expected at its end.
	part   float64
	coming float64
	asked  float64
}

// share returns this node's share in a fleet of the given size: its own request rate relative to
// that of all nodes. Nodes that have not reported count as the mean of those that have; if stale
// is set, peer reports are ignored.
func (d *demand) share(nodes int, silent bool, now time.Time) share {
	settled, all := d.settled(now), d.all(nodes, silent, now)
	d.average(all, now)
	asked := max(all, d.usual)
	if all < lullPart*d.usual {
		d.lullUntil = now.Add(lullEnd)
	}
	if now.Before(d.lullUntil) {
		asked = max(asked, returnFactor*d.usual)
	}
	switch {
	case nodes == 1:
		return share{part: 1, coming: 1, asked: asked}
	case all <= 0:
		return share{part: 1 / float64(nodes), coming: 1 / float64(nodes), asked: asked}
	}
	return share{part: settled / all, coming: max(settled, d.asked.perSecond(now)) / all, asked: asked}
}

// updateBaseline averages the current request rate of all nodes into the baseline.
func (d *demand) average(all float64, now time.Time) {
	if d.since.IsZero() {
		d.since, d.usualAt = now, now
	}
	elapsed := max(0, now.Sub(d.usualAt).Seconds())
	memory := min(usualMemory.Seconds(), max(demandMemory.Seconds(), now.Sub(d.since).Seconds()))
	d.usual += (all - d.usual) * (1 - math.Exp(-elapsed/memory))
	d.usualAt = now
}

// fleetRate returns the request rate of all nodes, extrapolated from those that have reported.
func (d *demand) all(nodes int, silent bool, now time.Time) float64 {
	own := max(d.asked.perSecond(now), d.settled(now))
	others := d.others
	if silent {
		others = Use{}
	}
	told := max(1, min(others.Admitted+1, float64(nodes)))
	return (own + others.Asked) * float64(nodes) / told
}
