package proxy

import (
	"sync"
	"time"

	"github.com/cloverrail/cloverrail/internal/exchange"
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
type RetryBudgets struct {
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
func NewRetryBudgets(bounds RetryBounds, now time.Time) *RetryBudgets {
	return &RetryBudgets{bounds: bounds, started: now, nodes: assumedFleetSize, budgets: map[string]*retry.Budget{}}
}

// Resize sets the number of nodes in the fleet from a time on.
func (budgets *RetryBudgets) Resize(nodes int, now time.Time) {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	if nodes = max(1, nodes); nodes == budgets.nodes {
		return
	}
	budgets.nodes = nodes
	for _, budget := range budgets.budgets {
		budget.SetLimits(budgets.capacity(), budgets.perSecond(), now)
	}
}

// Nodes returns the number of nodes by which the bounds are divided.
func (budgets *RetryBudgets) Nodes() int {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	return budgets.nodes
}

// capacity returns how many retries one node may save. Half of Extra can be saved, and
// the other half is earned over a window.
func (budgets *RetryBudgets) capacity() float64 {
	return max(1, extraShare*budgets.bounds.Extra/2/float64(budgets.nodes))
}

// perSecond returns how many retries one node earns per second without any traffic.
func (budgets *RetryBudgets) perSecond() float64 {
	return extraShare * budgets.bounds.Extra / 2 / float64(budgets.nodes) / budgets.bounds.Window.Seconds()
}

func (budgets *RetryBudgets) budget(service string) *retry.Budget {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	budget, found := budgets.budgets[service]
	if !found {
		capacity := budgets.capacity()
		budget = retry.NewBudget(retry.BudgetConfig{
			Ratio:      ratioShare * budgets.bounds.Ratio,
			PerSecond:  budgets.perSecond(),
			Capacity:   capacity,
			BurstShare: savedShare,
			Window:     budgets.bounds.Window,
		}, budgets.started)
		budget.Drain()
		budgets.budgets[service] = budget
	}
	return budget
}

// recordedBudget is the retry budget of a service that records what it grants.
type recordedBudget struct {
	exchange.Budget
	recorder Recorder
	service  string
}

// Withdraw takes one retry from the budget and reports whether one was available.
func (b recordedBudget) Withdraw(now time.Time) bool {
	granted := b.Budget.Withdraw(now)
	b.recorder.Retry(b.service, granted)
	return granted
}

// Deposit records a first attempt at a service, which earns part of a retry.
func (budgets *RetryBudgets) Deposit(service string, now time.Time) {
	budgets.budget(service).Deposit(now)
}

// ForService returns the retry budget of a service.
func (budgets *RetryBudgets) ForService(service string) *retry.Budget {
	return budgets.budget(service)
}
