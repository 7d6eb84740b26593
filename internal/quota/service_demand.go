package quota

import (
	"math"
	"time"
)

const (
	// serviceDemandDecay is the decay time constant of the request rate of a service. It is
	// long, since a node may receive only one request in several seconds.
	serviceDemandDecay = 2 * time.Second
	// demandSampleInterval is the time between two samples of the request rate, and
	// demandSampleAge the age of the sample that determines a node's own share: by then all
	// nodes have received it. With a younger sample, nodes whose demand rises at the same moment
	// would each claim the share of a node that is alone in this.
	demandSampleInterval = 125 * time.Millisecond
	demandSampleAge      = time.Second
	demandSamples        = int(demandSampleAge / demandSampleInterval)
	// baselineDecay is the averaging time of the usual demand. It is long enough to remember that
	// demand during a lull, after which callers may return at all nodes at the same moment.
	baselineDecay = 30 * time.Second
	// lullFraction is the fraction of the baseline below which demand counts as a lull,
	// surgeFactor how many times the baseline may be requested when it ends, and lullRecovery
	// the time until nodes know the actual demand.
	lullFraction = 0.5
	surgeFactor  = 4
	lullRecovery = 3 * time.Second
)

// serviceDemand is the request rate of one service, at this node and as last reported by its
// peers.
type serviceDemand struct {
	demandRate decayingRate
	// samples holds the request rates of the last demandSampleAge; newestSample numbers the
	// newest.
	samples      [demandSamples]float64
	newestSample int64
	// peers is the last report of the peers: their request rate and their number.
	peers Usage
	// baseline is the mean request rate of all nodes since observedSince, over at most
	// baselineDecay, as of baselineAt.
	baseline   float64
	baselineAt time.Time
	since      time.Time
	// lullUntil is until when a lull is taken into account.
	lullUntil time.Time
	// lastRetryAt is the latest retry time given to a refused caller.
	lastRetryAt time.Time
}

func newServiceDemand() *serviceDemand {
	return &serviceDemand{demandRate: decayingRate{decay: serviceDemandDecay}}
}

// countRequest counts a request.
func (d *serviceDemand) countRequest(now time.Time) {
	d.sample(now)
	d.demandRate.add(1, now)
}

// sample records the request rate at each sample time up to now.
func (d *serviceDemand) sample(now time.Time) {
	current := now.UnixNano() / int64(demandSampleInterval)
	if current-d.newestSample > int64(demandSamples) {
		d.newestSample = current - int64(demandSamples)
	}
	for d.newestSample < current {
		d.newestSample++
		d.samples[d.newestSample%int64(demandSamples)] = d.demandRate.perSecond(time.Unix(0, d.newestSample*int64(demandSampleInterval)))
	}
}

// settledRate returns this node's request rate at a time old enough for all nodes to have
// received it.
func (d *serviceDemand) settledRate(now time.Time) float64 {
	d.sample(now)
	return d.samples[(d.newestSample+1)%int64(demandSamples)]
}

// share is a node's share of the limits of a service's servers.
type share struct {
	// fraction is the share, from 0 to 1, and upcoming the share that the node will have if the
	// current demand persists. demandRate is the possible demand on all nodes, in requests per
	// second: the current rate or the baseline, whichever is higher, and during a lull the surge
	// expected at its end.
	fraction   float64
	upcoming   float64
	demandRate float64
}

// share returns this node's share in a fleet of the given size: its own request rate relative to
// that of all nodes. Nodes that have not reported count as the mean of those that have; if stale
// is set, peer reports are ignored.
func (d *serviceDemand) share(nodes int, stale bool, now time.Time) share {
	settled, fleetRate := d.settledRate(now), d.fleetRate(nodes, stale, now)
	d.updateBaseline(fleetRate, now)
	demandRate := max(fleetRate, d.baseline)
	if fleetRate < lullFraction*d.baseline {
		d.lullUntil = now.Add(lullRecovery)
	}
	if now.Before(d.lullUntil) {
		demandRate = max(demandRate, surgeFactor*d.baseline)
	}
	switch {
	case nodes == 1:
		return share{fraction: 1, upcoming: 1, demandRate: demandRate}
	case fleetRate <= 0:
		return share{fraction: 1 / float64(nodes), upcoming: 1 / float64(nodes), demandRate: demandRate}
	}
	return share{fraction: settled / fleetRate, upcoming: max(settled, d.demandRate.perSecond(now)) / fleetRate, demandRate: demandRate}
}

// updateBaseline averages the current request rate of all nodes into the baseline.
func (d *serviceDemand) updateBaseline(fleetRate float64, now time.Time) {
	if d.since.IsZero() {
		d.since, d.baselineAt = now, now
	}
	elapsed := max(0, now.Sub(d.baselineAt).Seconds())
	decay := min(baselineDecay.Seconds(), max(serviceDemandDecay.Seconds(), now.Sub(d.since).Seconds()))
	d.baseline += (fleetRate - d.baseline) * (1 - math.Exp(-elapsed/decay))
	d.baselineAt = now
}

// fleetRate returns the request rate of all nodes, extrapolated from those that have reported.
func (d *serviceDemand) fleetRate(nodes int, stale bool, now time.Time) float64 {
	own := max(d.demandRate.perSecond(now), d.settledRate(now))
	peers := d.peers
	if stale {
		peers = Usage{}
	}
	reported := max(1, min(peers.Admitted+1, float64(nodes)))
	return (own + peers.Requested) * float64(nodes) / reported
}
