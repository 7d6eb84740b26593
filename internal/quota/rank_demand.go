package quota

import "time"

// nearLimitFraction is the fraction of a limit from which on a tenant's demand is reported by rank.
const nearLimitFraction = 0.7

// rankUsage is the usage of a tenant by urgency rank.
type rankUsage [rankCount]Usage

// rankDemand is the demand for a tenant's limit by urgency rank, at this node and at its peers.
type rankDemand struct {
	requested [rankCount]decayingRate
	admitted  [rankCount]decayingRate
	peers     rankUsage
	// carry holds by rank the sum of the admitted fractions of requests, less the requests admitted.
	carry [rankCount]float64
}

func newRankDemand(since time.Time, carry float64) rankDemand {
	var d rankDemand
	for rank := range d.requested {
		d.requested[rank] = decayingRate{decay: requestedDecay, since: since}
		d.admitted[rank] = decayingRate{decay: admittedDecay}
		d.carry[rank] = carry
	}
	return d
}

// split returns the demand of more urgent ranks, and of the rank itself, at all known nodes.
// The demand that peers report without ranks, as older builds do, counts as of the same rank.
func (d *rankDemand) split(rank int, peersRequested float64, now time.Time) (before, same float64) {
	unranked := peersRequested
	for r := range d.requested {
		unranked -= d.peers[r].Requested
		switch demand := d.requested[r].estimate(now) + d.peers[r].Requested; {
		case r < rank:
			before += demand
		case r == rank:
			same = demand
		}
	}
	return before, same + max(0, unranked)
}

// ownBefore returns the demand of more urgent ranks at this node.
func (d *rankDemand) ownBefore(rank int, now time.Time) float64 {
	sum := 0.0
	for r := range rank {
		sum += d.requested[r].estimate(now)
	}
	return sum
}

// take reports whether a request is admitted, given the fraction of requests of its rank to admit.
// Requests are admitted at even distances, which varies less than independent draws do.
func (d *rankDemand) take(rank int, fraction float64) bool {
	d.carry[rank] += fraction
	if d.carry[rank] < 1 {
		return false
	}
	d.carry[rank]--
	return true
}

// rows returns the rows of a tenant at this node.
func (d *rankDemand) rows(key uint64, now time.Time) []Usage {
	var rows []Usage
	for rank := range d.requested {
		row := Usage{
			Key:       rowKey(key, tenantRankRow+rowKind(rank)),
			Requested: d.requested[rank].estimate(now),
			Admitted:  d.admitted[rank].perSecond(now),
		}
		if row.Requested >= minReportedRate {
			rows = append(rows, row)
		}
	}
	return rows
}

// validRow reports whether the numbers of a row are rates.
func validRow(row Usage) bool {
	return validRate(row.Requested) && validRate(row.Admitted)
}
