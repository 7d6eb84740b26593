package node

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/wire"
)

// takeTimeout is what a request waits for its tenant's ledger.
const takeTimeout = 50 * time.Millisecond

// resizeInterval is how often the places follow the back ends.
const resizeInterval = 250 * time.Millisecond

// forgetAfter is how long a tenant's use is remembered without calls.
const forgetAfter = 5 * time.Minute

// limits keeps what this node knows of its tenants' use.
type limits struct {
	mutex   sync.Mutex
	ledger  *admission.TokenIssuer
	tenants map[string]*tenantUse
	places  map[string]*admission.SlotPool
}

// tenantUse is one tenant's use of this node. It exists only for tenants that
// have called here.
type tenantUse struct {
	mutex   sync.Mutex
	share   *admission.TokenLease
	streams int
	budget  *retry.Budget
	usedAt  time.Time
}

func newLimits() *limits {
	return &limits{ledger: admission.NewTokenIssuer(), tenants: map[string]*tenantUse{}, places: map[string]*admission.SlotPool{}}
}

func (limits *limits) tenant(name string) *tenantUse {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	use, found := limits.tenants[name]
	if !found {
		use = &tenantUse{share: admission.NewTokenLease(), budget: retry.NewBudget(retry.DefaultBudget, boottime.Now())}
		limits.tenants[name] = use
	}
	use.usedAt = boottime.Now()
	return use
}

// forget drops tenants that have not called for a while: a node must not keep
// state for every tenant that ever came by.
func (limits *limits) forget(now time.Time) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	for name, use := range limits.tenants {
		use.mutex.Lock()
		idle := use.streams == 0 && now.Sub(use.usedAt) > forgetAfter
		use.mutex.Unlock()
		if idle {
			delete(limits.tenants, name)
		}
	}
}

// configure sizes the places of each pool.
func (limits *limits) configure(snapshot *configuration.Snapshot) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	kept := map[string]*admission.SlotPool{}
	for _, pool := range snapshot.Declaration.Pools {
		total := pool.ConcurrentPerEngine * len(pool.Engines)
		places, found := limits.places[pool.Name]
		if found {
			places.Resize(total)
		} else {
			places = admission.NewSlotPool(total)
		}
		kept[pool.Name] = places
	}
	limits.places = kept
}

// resizePlaces follows the back ends that come and go, so that requests queue
// here rather than being refused for want of an engine, and forgets idle tenants.
func (node *Node) resizePlaces(ctx context.Context) {
	every(ctx, resizeInterval, func() {
		node.limits.forget(boottime.Now())
		snapshot := node.catalog.snapshot.Load()
		if snapshot == nil {
			return
		}
		for _, pool := range snapshot.Declaration.Pools {
			if places, found := node.limits.poolPlaces(pool.Name); found {
				places.Resize(pool.ConcurrentPerEngine * max(1, node.table.Usable(pool.Name)))
			}
		}
	})
}

// poolPlaces finds the places of a pool; a pool that was just taken out of the
// declaration has none.
func (limits *limits) poolPlaces(pool string) (*admission.SlotPool, bool) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	places, found := limits.places[pool]
	return places, found
}

func (limits *limits) take(tenant string, limit admission.Rate, want int) int {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	return limits.ledger.Issue(boottime.Now(), tenant, limit, want)
}

// Admit checks the tenant's rate and open streams. The returned function ends
// the request's count.
func (node *Node) Admit(ctx context.Context, tenant *configuration.Tenant) (done func(), err error) {
	use := node.limits.tenant(tenant.Name)
	if !node.spend(ctx, tenant, use) {
		return nil, failure.New(failure.KindRateLimited, "the tenant's request rate is used up", "send fewer requests, or ask for a higher limit").
			WithRetryAfter(max(time.Second, time.Duration(float64(time.Second)/tenant.Limits.RequestsPerSecond)))
	}
	use.mutex.Lock()
	defer use.mutex.Unlock()
	if use.streams >= tenant.Limits.Streams {
		return nil, failure.New(failure.KindRateLimited, "the tenant has too many open requests", "wait for some to end").WithRetryAfter(time.Second)
	}
	use.streams++
	use.budget.Deposit(boottime.Now())
	node.metrics.OpenStreams.Inc()
	return sync.OnceFunc(func() {
		use.mutex.Lock()
		defer use.mutex.Unlock()
		use.streams--
		node.metrics.OpenStreams.Dec()
	}), nil
}

// spend uses a token of the tenant's rate, asking its ledger for more when none
// is at hand. A ledger that does not answer leaves this node's even part.
func (node *Node) spend(ctx context.Context, tenant *configuration.Tenant, use *tenantUse) bool {
	use.mutex.Lock()
	if use.share.Spend(boottime.Now()) {
		use.mutex.Unlock()
		return true
	}
	want := use.share.RequestSize()
	use.mutex.Unlock()
	tokens, err := node.takeTokens(ctx, tenant, want)
	use.mutex.Lock()
	defer use.mutex.Unlock()
	now := boottime.Now()
	if err != nil {
		limit := admission.Rate{PerSecond: tenant.Limits.RequestsPerSecond, Burst: tenant.Limits.Burst}
		return use.share.SpendFallback(now, limit, len(node.gossip.members()))
	}
	if tokens == 0 {
		return false
	}
	use.share.Refill(now, tokens-1)
	return true
}

func (node *Node) takeTokens(ctx context.Context, tenant *configuration.Tenant, want int) (int, error) {
	owner := prefix.Owner(prefix.KeyOf("tenant/"+tenant.Name), node.gossip.addresses())
	if owner == node.settings.PeerAddress || owner == "" {
		limit := admission.Rate{PerSecond: tenant.Limits.RequestsPerSecond, Burst: tenant.Limits.Burst}
		return node.limits.take(tenant.Name, limit, want), nil
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	answer, err := call[wire.TakeAnswer](ctx, node, owner, wire.TakeRequest{Tenant: tenant.Name, Want: want})
	if err == nil && answer.Unknown {
		err = errUnknownTenant
	}
	return answer.Tokens, err
}

// serveTake answers for the tenants whose ledger is here. A node that has no configuration yet,
// or an older one, does not know the limit. Were it to give no tokens, the asker would refuse
// what is within the limit; so it grants its own even part.
func (node *Node) serveTake(request wire.TakeRequest) wire.TakeAnswer {
	snapshot := node.catalog.snapshot.Load()
	if snapshot == nil {
		return wire.TakeAnswer{Unknown: true}
	}
	tenant, found := snapshot.Tenant(request.Tenant)
	if !found {
		return wire.TakeAnswer{Unknown: true}
	}
	limit := admission.Rate{PerSecond: tenant.Limits.RequestsPerSecond, Burst: tenant.Limits.Burst}
	return wire.TakeAnswer{Tokens: node.limits.take(tenant.Name, limit, request.Want)}
}

// errUnknownTenant says that the node of a tenant's ledger does not know the tenant yet.
var errUnknownTenant = errors.New("the tenant's ledger does not know it yet; wait until all nodes have the configuration")
