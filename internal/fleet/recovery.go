package fleet

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/quota"
)

const (
	// recoveryTime is how long after its start a node counts the nodes of the last published view
	// that have not registered again. After a power loss of all nodes, nodes know only a few others
	// at first.
	recoveryTime = 15 * time.Second
	// usageInterval is the least time between two writes of a view that differs only in the usage
	// of tenants.
	usageInterval = 30 * time.Second
)

// Recovery is what a starting node learns of the fleet from the published view.
type Recovery struct {
	// Nodes is the greatest number of nodes in the time before the view was published.
	Nodes int
	// Usages is the recent usage of limited tenants by the whole fleet.
	Usages []quota.Usage
}

// observeRecovery passes on what a published view says of the fleet as it was.
func (r *Registry) observeRecovery(view View, now time.Time) {
	nodes := max(view.Nodes, view.RecentNodes)
	r.mutex.Lock()
	r.recoveredNodes, r.recoveredAt = nodes, now
	r.mutex.Unlock()
	if r.OnRecover != nil {
		r.OnRecover(Recovery{Nodes: nodes, Usages: view.Usages})
	}
}

// published returns the view with what only its published form contains. The caller holds the
// mutex.
func (r *Registry) published(usages []quota.Usage, now time.Time) View {
	view := r.view
	view.RecentNodes, view.Usages = view.Nodes, usages
	if !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) < recoveryTime {
		view.RecentNodes = max(view.Nodes, r.recoveredNodes)
	}
	return view
}

// recentUsages returns the recent usage of limited tenants, or nil if it is not known.
func (r *Registry) recentUsages() []quota.Usage {
	if r.RecentUsages == nil {
		return nil
	}
	return r.RecentUsages(boottime.Now())
}
