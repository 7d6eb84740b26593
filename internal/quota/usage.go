package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Usage is the usage of one tenant's limit by one or more nodes, in the limit's unit per second.
type Use struct {
	// Tenant is the TenantKey of the tenant's name.
	Tenant uint64
	// Requested is the demand of callers, and Admitted the part of it that is admitted.
	Asked    float64
	Admitted float64
}

// Plus returns the sum of two usages of the same tenant.
func (u Use) With(other Use) Use {
	return Use{Tenant: other.Tenant, Asked: u.Asked + other.Asked, Admitted: u.Admitted + other.Admitted}
}

// TenantKey returns the hash that identifies a tenant in reports.
func TenantKey(name string) uint64 { return xxhash.Sum64String(name) }

// Report is the usage of one or more nodes.
type Report struct {
	// Nodes is the number of nodes that the report covers.
	Nodes int
	Uses  []Use
	// Rows describes services, and servers with a limit; see ServerLimits.
	Rows []Use
}

const (
	// requestedDecay and admittedDecay are the decay time constants of the measured rates.
	// Demand changes slowly and consists of few large requests; the admitted rate must be known
	// quickly.
	askedMemory    = time.Second
	admittedMemory = 500 * time.Millisecond
	// minReportedFraction is the fraction of a node's even share of a limit above which its
	// usage is reported: all unreported usage adds up to a twentieth of the limit at most.
	leastTold = 0.05
	// minObservation is the shortest time over which a rate is estimated, since a single request
	// is not representative.
	leastObserved = 400 * time.Millisecond
)

// decayingRate is an exponentially decaying rate per second. Its integral over time is the sum
// of the added amounts.
type flow struct {
	memory time.Duration
	// since is when the observation of the rate began.
	since time.Time
	sum   float64
	at    time.Time
}

// add records an amount; a negative one reverts a recorded amount.
func (f *flow) add(amount float64, now time.Time) {
	f.sum = f.left(now) + amount
	f.at = now
}

func (f *flow) left(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.sum * math.Exp(-max(0, now.Sub(f.at).Seconds())/f.memory.Seconds())
}

// perSecond returns the rate at a time. Its integral is exact, but the rate still rises while it
// is younger than its decay time.
func (f *flow) perSecond(now time.Time) float64 {
	return max(0, f.left(now)) / f.memory.Seconds()
}

// estimate returns the rate at a time, corrected for the time in which it was not observed.
func (f *flow) estimate(now time.Time) float64 {
	observed := max(leastObserved, now.Sub(f.since))
	return f.perSecond(now) / (1 - math.Exp(-observed.Seconds()/f.memory.Seconds()))
}
