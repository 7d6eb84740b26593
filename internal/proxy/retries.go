package proxy

import (
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/retry"
)

const (
	// ratioShare and extraShare are the fractions of the fleet's bounds that nodes use;
	// the rest is reserved for nodes that have joined but are not yet counted.
	ratioShare = 0.8
	extraShare = 0.7
	// savedShare is the fraction of a window's earnings that a node may save. Savings are
	// spent on top of the earnings of the current window, so ratioShare * (1 + savedShare)
	// must stay below 1, with a margin for savings from a time of more traffic.
	savedShare = 0.2
)

// RetryBounds bounds the fleet's retries to one service: in any window, at most Ratio
// times the number of first attempts, plus Extra.
type RetryBounds struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// RetryBudgets holds this node's share of the retry budget of each service. Nodes do not
// coordinate: each earns retries from its own requests. It saves at most its share of
// Extra, but at least one retry, plus savedShare of its recent earnings.
type Retries struct {
	bounds  RetryBounds
	started time.Time
	mutex   sync.Mutex
	nodes   int
	budgets map[string]*retry.Budget
}

// assumedFleetSize is the fleet size that is assumed before the actual size is known.
const assumedFleetSize = 1000

// NewRetryBudgets returns budgets for a fleet of unknown size. They start without savings,
// since a node that has just started does not know what the fleet has already spent.
func NewRetries(bounds RetryBounds, now time.Time) *Retries {
	return &Retries{bounds: bounds, started: now, nodes: assumedFleetSize, budgets: map[string]*retry.Budget{}}
}

// Resize sets the number of nodes in the fleet.
func (retries *Retries) Resize(nodes int) {
	retries.mutex.Lock()
	defer retries.mutex.Unlock()
	if nodes = max(1, nodes); nodes == retries.nodes {
		return
	}
	retries.nodes = nodes
	for _, budget := range retries.budgets {
		budget.SetLimits(retries.capacity(), retries.perSecond())
	}
}

// capacity returns how many retries one node may save. Half of Extra can be saved, and
// the other half is earned over a window.
func (retries *Retries) capacity() float64 {
	return max(1, extraShare*retries.bounds.Extra/2/float64(retries.nodes))
}

// perSecond returns how many retries one node earns per second without any traffic.
func (retries *Retries) perSecond() float64 {
	return extraShare * retries.bounds.Extra / 2 / float64(retries.nodes) / retries.bounds.Window.Seconds()
}

func (retries *Retries) budget(service string) *retry.Budget {
	retries.mutex.Lock()
	defer retries.mutex.Unlock()
	budget, found := retries.budgets[service]
	if !found {
		capacity := retries.capacity()
		budget = retry.NewBudget(retry.BudgetConfig{
			Ratio:      ratioShare * retries.bounds.Ratio,
			PerSecond:  retries.perSecond(),
			Capacity:   capacity,
			BurstShare: savedShare,
			Window:     retries.bounds.Window,
		}, retries.started)
		budget.Drain()
		retries.budgets[service] = budget
	}
	return budget
}

// Deposit records a first attempt at a service, which earns part of a retry.
func (retries *Retries) Deposit(service string, now time.Time) {
	retries.budget(service).Deposit(now)
}

// ForService returns the retry budget of a service.
func (retries *Retries) ForService(service string) *retry.Budget {
	return retries.budget(service)
}
