package proxy

import (
	"math"
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
	// drawDeviations is the number of standard deviations between a bound and the mean of what nodes grant that draw
	// for less than one retry each.
	drawDeviations = 5
)

// RetryBounds bounds the fleet's retries to one service: in any window, at most Ratio
// times the number of first attempts, plus Extra.
type RetryBounds struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// RetryBudgets holds this node's share of the retry budget of each service. Nodes do not
// coordinate: each earns retries from its own requests, and has an even share of Extra. It saves
// at most its share of half of Extra, plus savedShare of its recent earnings.
type RetryBudgets struct {
	bounds  RetryBounds
	started time.Time
	// draw returns a random number in [0, 1).
	draw  func() float64
	mutex sync.Mutex
	// nodes is the number of nodes that share Extra; 0 if this node has no share of it.
	nodes   int
	budgets map[string]*retry.Budget
}

// NewRetryBudgets returns budgets without a share of Extra. They start without savings, since a node that has just
// started does not know what the fleet has already spent. The function draw returns random numbers in [0, 1).
func NewRetryBudgets(bounds RetryBounds, draw func() float64, now time.Time) *RetryBudgets {
	return &RetryBudgets{bounds: bounds, started: now, draw: draw, budgets: map[string]*retry.Budget{}}
}

// Resize sets the number of nodes that share Extra from a time on, and reports whether it has changed. With 0, this
// node has no share of it.
func (budgets *RetryBudgets) Resize(nodes int, now time.Time) (changed bool) {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	if nodes == budgets.nodes {
		return false
	}
	budgets.nodes = nodes
	for _, budget := range budgets.budgets {
		budget.SetLimits(budgets.capacity(), budgets.perSecond(), now)
	}
	return true
}

// Nodes returns the number of nodes that share Extra; 0 if this node has no share of it.
func (budgets *RetryBudgets) Nodes() int {
	budgets.mutex.Lock()
	defer budgets.mutex.Unlock()
	return budgets.nodes
}

// capacity returns how many retries one node may save. Half of what nodes use of Extra can be saved, and
// the other half is earned over a window.
func (budgets *RetryBudgets) capacity() float64 {
	if budgets.nodes == 0 {
		return 0
	}
	saved := extraShare * budgets.bounds.Extra / 2
	if saved < float64(budgets.nodes) {
		saved = min(saved, meanOfDraws(budgets.bounds.Extra)/2)
	}
	return saved / float64(budgets.nodes)
}

// meanOfDraws returns the mean number of retries that nodes may grant by independent random draws, so that their sum
// stays drawDeviations standard deviations below a bound.
func meanOfDraws(bound float64) float64 {
	root := (math.Sqrt(drawDeviations*drawDeviations+4*bound) - drawDeviations) / 2
	return root * root
}

// perSecond returns how many retries one node earns per second without any traffic.
func (budgets *RetryBudgets) perSecond() float64 {
	return budgets.capacity() / budgets.bounds.Window.Seconds()
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
			Draw:       budgets.draw,
		}, budgets.started)
		budget.Drain()
		budgets.budgets[service] = budget
	}
	return budget
}

// Deposit records a first attempt at a service, which earns part of a retry.
func (budgets *RetryBudgets) Deposit(service string, now time.Time) {
	budgets.budget(service).Deposit(now)
}

// ForService returns the retry budget of a service.
func (budgets *RetryBudgets) ForService(service string) *retry.Budget {
	return budgets.budget(service)
}

// Lend takes up to a number of retries of a service from this node's share, for requests of another node, and returns how many.
func (budgets *RetryBudgets) Lend(service string, wanted int, now time.Time) int {
	return budgets.budget(service).Lend(wanted, now)
}
