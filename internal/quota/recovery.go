package quota

import "time"

// recoveryTime is how long after its start a node relies on the last published state of the fleet.
const recoveryTime = 15 * time.Second

// recentDemandMargin is the factor by which the published demand may have grown until the start.
const recentDemandMargin = 1.1

// recovered is what a starting node knows of the fleet before it hears from all of it.
type recovered struct {
	// nodes is the last published size of the fleet, or 0, and usages the recent usage by tenant.
	nodes  int
	usages map[uint64]Usage
	// sized is set once the registry has told the size of the fleet.
	sized bool
}

// idle reports whether the published demand of a tenant was within its limit.
func (r *recovered) idle(key uint64, limit Limit) bool {
	usage, known := r.usages[key]
	return known && recentDemandMargin*usage.Requested <= limit.PerSecond
}

// Recover sets the last published size of the fleet and the recent usage of tenants, as of before
// the start of this node.
func (l *Limiter) Recover(nodes int, usages []Usage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.recovered.nodes = nodes
	l.recovered.usages = make(map[uint64]Usage, len(usages))
	for _, usage := range usages {
		if validRow(usage) {
			l.recovered.usages[usage.Key] = usage
		} else {
			l.malformedRows++
		}
	}
}

// FleetUsages returns the known usage of the whole fleet, for nodes that start later.
func (l *Limiter) FleetUsages(now time.Time) []Usage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var usages []Usage
	for key, b := range l.buckets {
		usage := Usage{Key: key, Requested: b.requestedRate.estimate(now), Admitted: b.admittedRate.perSecond(now)}.Plus(b.peers)
		usage.Key = key
		if usage.Requested >= minReportedFraction*b.limit.PerSecond {
			usages = append(usages, usage)
		}
	}
	return TopUsages(usages)
}

// recovering reports whether the node has started so recently that nodes may not know each other.
func (l *Limiter) recovering(now time.Time) bool { return now.Sub(l.started) < recoveryTime }

// fleetSize returns the number of nodes that limits are divided among.
func (l *Limiter) fleetSize(now time.Time) int {
	switch {
	case l.recovering(now) && l.recovered.nodes > 0:
		if !l.recovered.sized {
			return l.recovered.nodes
		}
		return max(l.nodes, l.recovered.nodes)
	case !l.recovered.sized && !l.recovering(now) && l.reportedNodes > 0:
		// The store has not told the size within recoveryTime; reports are the best that is known.
		return l.reportedNodes
	default:
		return l.nodes
	}
}

// startRatio returns the fraction of requests that a starting node may admit although it does not
// hear of all nodes yet. Each node may use its part of what the window's bound leaves beside what
// the fleet may have admitted before.
func (l *Limiter) startRatio(b *tenantBucket, key uint64, cost float64, now time.Time) float64 {
	size := l.fleetSize(now)
	if !l.recovering(now) || l.recovered.nodes == 0 || l.visibleNodes(now) >= size {
		return 0
	}
	used := b.limit.PerSecond
	if usage, known := l.recovered.usages[key]; known {
		used = min(used, recentDemandMargin*usage.Requested)
	}
	budget := windowFraction * (l.bounds.allowed(b.limit) - used*l.bounds.Window.Seconds()) / float64(size)
	return fitRatio(budget-b.ownAdmitted.at(now), cost)
}

// fitRatio returns the fraction of requests of a cost that fit into an amount, from 0 to 1.
func fitRatio(amount, cost float64) float64 {
	if cost <= 0 || amount >= cost {
		return 1
	}
	return max(0, amount) / cost
}
