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
const issueTimeout = 50 * time.Millisecond

// resizeInterval is how often the slot pools are resized to the usable backends.
const resizeInterval = 250 * time.Millisecond

// tenantIdleExpiry is how long the state of a tenant without requests is kept.
const tenantIdleExpiry = 5 * time.Minute

// limits holds the rate and concurrency limits enforced by this node.
type limits struct {
	mutex       sync.Mutex
	tokenIssuer *admission.TokenIssuer
	tenants     map[string]*tenantState
	slotPools   map[string]*admission.SlotPool
}

// tenantState is one tenant's usage of this node. It exists only for tenants that
// have sent requests to this node.
type tenantState struct {
	mutex      sync.Mutex
	lease      *admission.TokenLease
	streams    int
	budget     *retry.Budget
	lastUsedAt time.Time
}

func newLimits() *limits {
	return &limits{tokenIssuer: admission.NewTokenIssuer(), tenants: map[string]*tenantState{}, slotPools: map[string]*admission.SlotPool{}}
}

func (limits *limits) tenant(name string) *tenantState {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	state, found := limits.tenants[name]
	if !found {
		state = &tenantState{lease: admission.NewTokenLease(), budget: retry.NewBudget(retry.DefaultBudget, boottime.Now())}
		limits.tenants[name] = state
	}
	state.lastUsedAt = boottime.Now()
	return state
}

// evictIdle removes idle tenants, so that a node does not keep state for every
// tenant that ever sent a request.
func (limits *limits) evictIdle(now time.Time) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	for name, state := range limits.tenants {
		state.mutex.Lock()
		idle := state.streams == 0 && now.Sub(state.lastUsedAt) > tenantIdleExpiry
		state.mutex.Unlock()
		if idle {
			delete(limits.tenants, name)
		}
	}
}

// configure creates or resizes the slot pool of each pool.
func (limits *limits) configure(snapshot *configuration.Snapshot) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	updated := map[string]*admission.SlotPool{}
	for _, pool := range snapshot.Declaration.Pools {
		total := pool.ConcurrentPerEngine * len(pool.Engines)
		slots, found := limits.slotPools[pool.Name]
		if found {
			slots.Resize(total)
		} else {
			slots = admission.NewSlotPool(total)
		}
		updated[pool.Name] = slots
	}
	limits.slotPools = updated
}

// resizeSlotPools periodically sizes the slot pools by the usable backends, so that
// requests queue on the node rather than fail for lack of an engine. It also evicts
// idle tenants.
func (node *Node) resizeSlotPools(ctx context.Context) {
	runPeriodically(ctx, resizeInterval, func() {
		node.limits.evictIdle(boottime.Now())
		snapshot := node.activeConfig.snapshot.Load()
		if snapshot == nil {
			return
		}
		for _, pool := range snapshot.Declaration.Pools {
			if slots, found := node.limits.slotPool(pool.Name); found {
				slots.Resize(pool.ConcurrentPerEngine * max(1, node.table.CountUsable(pool.Name)))
			}
		}
	})
}

// slotPool returns the slot pool of a pool, if any: a pool that was just removed
// from the declaration has none.
func (limits *limits) slotPool(pool string) (*admission.SlotPool, bool) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	slots, found := limits.slotPools[pool]
	return slots, found
}

func (limits *limits) issueTokens(tenant string, limit admission.Rate, want int) int {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	return limits.tokenIssuer.Issue(boottime.Now(), tenant, limit, want)
}

// AdmitTenant checks the tenant's request rate and open streams. The returned
// function ends the request.
func (node *Node) AdmitTenant(ctx context.Context, tenant *configuration.Tenant) (done func(), err error) {
	state := node.limits.tenant(tenant.Name)
	if !node.spendToken(ctx, tenant, state) {
		return nil, failure.New(failure.KindRateLimited, "the tenant's request rate is exceeded", "send fewer requests, or ask for a higher limit").
			WithRetryAfter(max(time.Second, time.Duration(float64(time.Second)/tenant.Limits.RequestsPerSecond)))
	}
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.streams >= tenant.Limits.Streams {
		return nil, failure.New(failure.KindRateLimited, "the tenant has too many open requests", "wait for some to end").WithRetryAfter(time.Second)
	}
	state.streams++
	state.budget.Deposit(boottime.Now())
	node.metrics.OpenStreams.Inc()
	return sync.OnceFunc(func() {
		state.mutex.Lock()
		defer state.mutex.Unlock()
		state.streams--
		node.metrics.OpenStreams.Dec()
	}), nil
}

// spendToken spends a token of the tenant's rate and requests more from its token
// issuer when none is left. If the issuer does not respond, the node is limited to
// its even share of the rate.
func (node *Node) spendToken(ctx context.Context, tenant *configuration.Tenant, state *tenantState) bool {
	state.mutex.Lock()
	if state.lease.Spend(boottime.Now()) {
		state.mutex.Unlock()
		return true
	}
	want := state.lease.RequestSize()
	state.mutex.Unlock()
	tokens, err := node.requestTokens(ctx, tenant, want)
	state.mutex.Lock()
	defer state.mutex.Unlock()
	now := boottime.Now()
	if err != nil {
		limit := admission.Rate{PerSecond: tenant.Limits.RequestsPerSecond, Burst: tenant.Limits.Burst}
		return state.lease.SpendFallback(now, limit, len(node.gossip.members()))
	}
	if tokens == 0 {
		return false
	}
	state.lease.Refill(now, tokens-1)
	return true
}

func (node *Node) requestTokens(ctx context.Context, tenant *configuration.Tenant, want int) (int, error) {
	owner := prefix.Owner(prefix.HashName("tenant/"+tenant.Name), node.gossip.addresses())
	if owner == node.settings.PeerAddress || owner == "" {
		limit := admission.Rate{PerSecond: tenant.Limits.RequestsPerSecond, Burst: tenant.Limits.Burst}
		return node.limits.issueTokens(tenant.Name, limit, want), nil
	}
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	response, err := callPeer[wire.TokenResponse](ctx, node, owner, wire.TokenRequest{Tenant: tenant.Name, Want: want})
	if err == nil && response.Unknown {
		err = errUnknownTenant
	}
	return response.Tokens, err
}

// serveTokenRequest issues tokens for the tenants whose issuer is this node. With no
// configuration yet, or an older one, it does not know the limit and says so: on
// zero tokens the requester would reject requests within the limit, while on Unknown
// it falls back to its even share.
func (node *Node) serveTokenRequest(request wire.TokenRequest) wire.TokenResponse {
	snapshot := node.activeConfig.snapshot.Load()
	if snapshot == nil {
		return wire.TokenResponse{Unknown: true}
	}
	tenant, found := snapshot.Tenant(request.Tenant)
	if !found {
		return wire.TokenResponse{Unknown: true}
	}
	limit := admission.Rate{PerSecond: tenant.Limits.RequestsPerSecond, Burst: tenant.Limits.Burst}
	return wire.TokenResponse{Tokens: node.limits.issueTokens(tenant.Name, limit, request.Want)}
}

// errUnknownTenant reports that a tenant's token issuer does not know the tenant yet.
var errUnknownTenant = errors.New("the tenant's token issuer does not know the tenant yet; wait until all nodes have the configuration")
