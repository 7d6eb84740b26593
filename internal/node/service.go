package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cloverrail/cloverrail/internal/admission"
	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/configstore"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/endpoint"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/membership"
	"github.com/cloverrail/cloverrail/internal/metrics"
	"github.com/cloverrail/cloverrail/internal/plain"
	"github.com/cloverrail/cloverrail/internal/prefix"
	"github.com/cloverrail/cloverrail/internal/retry"
	"github.com/cloverrail/cloverrail/internal/routing"
)

// Snapshot returns the active configuration, or nil.
func (node *Node) Snapshot() *configuration.Snapshot { return node.activeConfig.snapshot.Load() }

// Metrics returns the node's metrics.
func (node *Node) Metrics() *metrics.Set { return node.metrics }

// Registry returns the Prometheus registry served at /metrics.
func (node *Node) Registry() *prometheus.Registry { return node.metrics.Registry }

// MaximumBody returns the maximum size of a request body in bytes.
func (node *Node) MaximumBody() int64 { return node.settings.MaximumBody }

// Memory returns the budget for the bodies of callers' requests.
func (node *Node) Memory() *admission.MemoryBudget { return node.memory }

// BeginRequest admits a request to the node. It rejects requests while there is no
// configuration, or after a pause until the node has caught up, since its
// configuration may be outdated.
func (node *Node) BeginRequest() (*configuration.Snapshot, func(), error) {
	snapshot := node.Snapshot()
	if snapshot == nil {
		return nil, nil, failure.New(failure.KindNotConfigured, "this node has no configuration yet",
			"apply a declaration, or check that peers or the key-value service can be reached").WithRetryAfter(time.Second)
	}
	if node.gossip.paused() {
		return nil, nil, failure.New(failure.KindUnavailable, "this node was paused and is catching up", "send the request to another node").WithRetryAfter(time.Second)
	}
	done, refusal := node.lifecycle.begin()
	if refusal != nil {
		return nil, nil, refusal
	}
	return snapshot, done, nil
}

// Ready reports whether the node accepts new work.
func (node *Node) Ready() bool {
	return node.Snapshot() != nil && node.lifecycle.ready() && !node.gossip.paused()
}

// Draining reports whether the node is shutting down, so that connections should not
// be kept alive.
func (node *Node) Draining() bool { return node.lifecycle.draining() }

// chooser selects servers of a plain service.
type chooser struct {
	node    *Node
	service string
	key     prefix.Hash
}

// Choose implements plain.Chooser.
func (chooser *chooser) Choose(excluded []string) (plain.Server, *failure.Failure) {
	now := boottime.Now()
	candidates := chooser.node.table.Candidates(nil, chooser.service, "", "", now)
	scheduler := routing.NewScheduler(routing.LoadScorer{})
	scheduler.Annotate(candidates, chooser.key, nil, "")
	routing.Exclude(candidates, excluded)
	decision := scheduler.Schedule(&routing.Request{}, candidates)
	if decision.Index < 0 {
		return plain.Server{}, failure.New(failure.KindNoEndpoint, "no server can take the request now ("+string(decision.LastRejection)+")",
			"retry after the given delay").WithRetryAfter(noEndpointRetryAfter)
	}
	chosen := candidates[decision.Index]
	chooser.node.table.Begin(chosen.Endpoint, 0, now)
	return plain.Server{Name: chosen.Endpoint, Address: chosen.Address}, nil
}

// ReportResult implements plain.Chooser.
func (chooser *chooser) ReportResult(server plain.Server, failed bool) {
	chooser.node.reportResult(server.Name, failed)
}

// Forward sends a request to a plain service. If the route is not repeatable and the
// request has an idempotency key, the key is claimed first.
func (node *Node) Forward(ctx context.Context, tenant *configuration.Tenant, service *configuration.Service, request plain.Request, idempotencyKey string) (*plain.Answer, error) {
	choose := &chooser{node: node, service: service.Name, key: prefix.HashName(tenant.Name + idempotencyKey + request.Path)}
	budget := retry.All{node.limits.tenant(tenant.Name).budget, node.retryBudget}
	node.retryBudget.Deposit(boottime.Now())
	if request.Repeatable || idempotencyKey == "" {
		return node.forwarder.Forward(ctx, request, choose, budget)
	}
	handle, err := node.Claim(ctx, tenant.Name+"/"+service.Name, idempotencyKey)
	if err != nil {
		return nil, err
	}
	answer, err := node.forwarder.Forward(ctx, request, choose, budget)
	switch {
	case err == nil:
		handle.Complete()
	case failure.As(err).Outcome == failure.NotRun:
		handle.Release()
	}
	return answer, err
}

// Store returns the configuration store, for operator commands.
func (node *Node) Store() *configstore.Store { return node.activeConfig.store }

// Version returns the active configuration version, or nil.
func (node *Node) Version() *configstore.Version { return node.activeConfig.version.Load() }

// Activate activates a version that was just accepted, without waiting for a watch.
func (node *Node) Activate(version *configstore.Version) { node.activeConfig.activate(version) }

// Members returns all known nodes.
func (node *Node) Members() []membership.Member {
	members, _ := node.gossip.membersAndItems()
	return members
}

// Endpoints returns the state of all backends.
func (node *Node) Endpoints() []endpoint.View { return node.table.Views() }

// IndexBlocks returns the number of cached blocks in this node's index.
func (node *Node) IndexBlocks() int { return node.indexPartition.blocks() }

// HotPrefixes returns the most requested prefixes.
func (node *Node) HotPrefixes(limit int) []HotPrefix { return node.hotPrefixes.top(limit) }

// UsableEngines returns the number of engines of a pool with observed state that
// accept new work.
func (node *Node) UsableEngines(pool string) int {
	count := 0
	for _, candidate := range node.table.Candidates(nil, pool, "", "", boottime.Now()) {
		if candidate.Epoch != "" && !candidate.Down && !candidate.Leaving {
			count++
		}
	}
	return count
}
