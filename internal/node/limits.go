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

// issueTimeout bounds the wait of a request for its tenant's token issuer.
const takeTimeout = 50 * time.Millisecond

// resizeInterval is how often the slot pools are resized to the usable backends.
const resizeInterval = 250 * time.Millisecond

// tenantIdleExpiry is how long the state of a tenant without requests is kept.
const forgetAfter = 5 * time.Minute

// limits holds the rate and concurrency limits enforced by this node.
type limits struct {
	mutex   sync.Mutex
	ledger  *admission.Ledger
	tenants map[string]*tenantUse
	places  map[string]*admission.Places
}

// tenantState is one tenant's usage of this node. It exists only for tenants that
// have sent requests to this node.
type tenantUse struct {
	mutex   sync.Mutex
	share   *admission.Share
	streams int
	budget  *retry.Budget
	usedAt  time.Time
}

func newLimits() *limits {
	return &limits{ledger: admission.NewLedger(), tenants: map[string]*tenantUse{}, places: map[string]*admission.Places{}}
}

func (limits *limits) tenant(name string) *tenantUse {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	use, found := limits.tenants[name]
	if !found {
		use = &tenantUse{share: admission.NewShare(), budget: retry.NewBudget(retry.DefaultBudget, boottime.Now())}
		limits.tenants[name] = use
	}
	use.usedAt = boottime.Now()
	return use
}

// evictIdle removes idle tenants, so that a node does not keep state for every
// tenant that ever sent a request.
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

// configure creates or resizes the slot pool of each pool.
func (limits *limits) configure(snapshot *configuration.Snapshot) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	kept := map[string]*admission.Places{}
	for _, pool := range snapshot.Declaration.Pools {
		total := pool.ConcurrentPerEngine * len(pool.Engines)
		places, found := limits.places[pool.Name]
		if found {
			places.Resize(total)
		} else {
			places = admission.NewPlaces(total)
		}
		kept[pool.Name] = places
	}
	limits.places = kept
}

// resizeSlotPools periodically sizes the slot pools by the usable backends, so that
// requests queue on the node rather than fail for lack of an engine. It also evicts
// idle tenants.
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

// slotPool returns the slot pool of a pool, if any: a pool that was just removed
// from the declaration has none.
func (limits *limits) poolPlaces(pool string) (*admission.Places, bool) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	places, found := limits.places[pool]
	return places, found
}

func (limits *limits) take(tenant string, limit admission.Rate, want int) int {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	return limits.ledger.Take(boottime.Now(), tenant, limit, want)
}

// AdmitTenant checks the tenant's request rate and open streams. The returned
// function ends the request.
func (node *Node) Admit(ctx context.Context, tenant *configuration.Tenant) (done func(), err error) {
	use := node.limits.tenant(tenant.Name)
	if !node.spend(ctx, tenant, use) {
		return nil, failure.New(failure.KindRateLimited, "the tenant's request rate is exceeded", "send fewer requests, or ask for a higher limit").
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

// spendToken spends a token of the tenant's rate and requests more from its token
// issuer when none is left. If the issuer does not respond, the node is limited to
// its even share of the rate.
func (node *Node) spend(ctx context.Context, tenant *configuration.Tenant, use *tenantUse) bool {
	use.mutex.Lock()
	if use.share.Spend(boottime.Now()) {
		use.mutex.Unlock()
		return true
	}
	want := use.share.Want()
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
	use.share.Fill(now, tokens-1)
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

// serveTokenRequest issues tokens for the tenants whose issuer is this node. With no
// configuration yet, or an older one, it does not know the limit and says so: on
// zero tokens the requester would reject requests within the limit, while on Unknown
// it falls back to its even share.
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

// errUnknownTenant reports that a tenant's token issuer does not know the tenant yet.
var errUnknownTenant = errors.New("the tenant's token issuer does not know the tenant yet; wait until all nodes have the configuration")
