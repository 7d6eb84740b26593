package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Usage is the usage of one tenant's limit by one or more nodes, in the limit's unit per second.
// In Report.Rows it is a row on a service or server, with the meanings that rowKind lists.
type Usage struct {
	// Key is the TenantKey of the tenant's name, or the rowKey of a row.
	Key uint64
	// Requested is the demand of callers, and Admitted the part of it that is admitted.
	Requested float64
	Admitted  float64
}

// Plus returns the sum of two usages with the same key.
func (u Usage) Plus(other Usage) Usage {
	return Usage{Key: other.Key, Requested: u.Requested + other.Requested, Admitted: u.Admitted + other.Admitted}
}

// TenantKey returns the hash that identifies a tenant in reports.
func TenantKey(name string) uint64 { return xxhash.Sum64String(name) }

// Report is the usage of one or more nodes.
type Report struct {
	// Nodes is the number of nodes that the report covers.
	Nodes  int
	Usages []Usage
	// Rows describes services, and servers with a limit; see ServerLimits.
	Rows []Usage
}

const (
	// requestedDecay and admittedDecay are the decay time constants of the measured rates.
	// Demand changes slowly and consists of few large requests, so it is averaged for longer. The
	// admitted rate must be known quickly.
	requestedDecay = 1000 * time.Millisecond
	admittedDecay  = 250 * time.Millisecond
	// minReportedFraction is the fraction of a node's even share of a limit above which its
	// usage is reported: all unreported usage adds up to a twentieth of the limit at most.
	minReportedFraction = 0.05
	// minObservation is the shortest time over which a rate is estimated, since a single request
	// is not representative.
	minObservation = 400 * time.Millisecond
)

// decayingRate is an exponentially decaying rate per second. Its integral over time is the sum
// of the added amounts.
type decayingRate struct {
	decay time.Duration
	// since is when the observation of the rate began.
	since time.Time
	sum   float64
	at    time.Time
}

// add records an amount; a negative one reverts a recorded amount.
func (r *decayingRate) add(amount float64, now time.Time) {
	r.sum = r.remaining(now) + amount
	r.at = now
}

func (r *decayingRate) remaining(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.sum * math.Exp(-max(0, now.Sub(r.at).Seconds())/r.decay.Seconds())
}

// perSecond returns the rate at a time. Its integral over time is exact, but the rate is too low
// until it has been observed for several times its decay time; estimate corrects for that.
func (r *decayingRate) perSecond(now time.Time) float64 {
	return max(0, r.remaining(now)) / r.decay.Seconds()
}

// estimate returns the rate at a time, corrected for the time in which it was not observed.
func (r *decayingRate) estimate(now time.Time) float64 {
	observed := max(minObservation, now.Sub(r.since))
	return r.perSecond(now) / (1 - math.Exp(-observed.Seconds()/r.decay.Seconds()))
}
