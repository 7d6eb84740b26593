package node

import (
	"context"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/endpoint"
	"github.com/cloverrail/cloverrail/internal/kvservice"
	"github.com/cloverrail/cloverrail/internal/order"
)

const (
	issuerKey            = "/cloverrail/orders/issuer"
	issuerLeaseTTL       = 6 * time.Second
	renewInterval        = 2 * time.Second
	orderInterval        = 100 * time.Millisecond
	campaignInterval     = 2 * time.Second
	maxIssuerCandidates  = 3
	holderChangeInterval = 2 * time.Second
	orderTimeout         = time.Second
	firstOrderDelay      = 500 * time.Millisecond
)

// issueOrders campaigns for the issuer lease while this node is among the first of
// the fleet, and issues orders while it holds the lease.
func (node *Node) issueOrders(ctx context.Context) {
	for ctx.Err() == nil {
		if node.rankInFleet() < maxIssuerCandidates {
			if lease, token, leaseStart, won := node.campaign(ctx); won {
				node.log.Info().Int64("token", token).Msg("acquired the order issuer lease")
				node.runIssuer(ctx, lease, token, leaseStart)
				node.log.Info().Int64("token", token).Msg("no longer the order issuer")
			}
		}
		select {
		case <-time.After(campaignInterval):
		case <-ctx.Done():
		}
	}
}

func (node *Node) rankInFleet() int {
	for rank, address := range node.gossip.addresses() {
		if address == node.settings.PeerAddress {
			return rank
		}
	}
	return maxIssuerCandidates
}

// campaign tries to become the issuer. The revision at which the key was created is
// the fencing token; it only increases.
func (node *Node) campaign(ctx context.Context) (lease, token int64, leaseStart time.Time, won bool) {
	service := node.activeConfig.service
	current, err := service.Get(ctx, issuerKey)
	if err != nil || current.ModRevision != 0 {
		return 0, 0, leaseStart, false
	}
	leaseStart = boottime.Now()
	lease, err = service.GrantLease(ctx, issuerLeaseTTL)
	if err != nil {
		return 0, 0, leaseStart, false
	}
	put := kvservice.Put(issuerKey, []byte(node.settings.PeerAddress))
	put.RequestPut.Lease = lease
	response, err := service.Commit(ctx, kvservice.TxnRequest{Compare: []kvservice.Compare{kvservice.IfAbsent(issuerKey)}, Success: []kvservice.RequestOp{put}})
	// A lost response is treated as a lost campaign; the lease then expires.
	return lease, response.Header.Revision, leaseStart, err == nil && response.Succeeded
}

// runIssuer issues orders until the lease is lost.
func (node *Node) runIssuer(ctx context.Context, lease, token int64, leaseStart time.Time) {
	issuer := order.NewIssuer()
	issuer.SetLease(token, leaseStart.Add(issuerLeaseTTL))
	// The state of the engines is known only after the first observations.
	firstOrderAt := boottime.Now().Add(firstOrderDelay)
	lastRenewal := leaseStart
	lastHolderCheck := leaseStart
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for issuer.HoldsLease(boottime.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if boottime.Since(lastRenewal) >= renewInterval {
			renewalStart := boottime.Now()
			lastRenewal = renewalStart
			if alive, err := node.activeConfig.service.KeepAlive(ctx, lease); err == nil && !alive {
				return
			} else if err == nil {
				issuer.SetLease(token, renewalStart.Add(issuerLeaseTTL))
			}
		}
		if boottime.Now().After(firstOrderAt) {
			node.sendOrders(ctx, issuer)
		}
		if boottime.Since(lastHolderCheck) >= holderChangeInterval {
			lastHolderCheck = boottime.Now()
			node.completeHolderChange(ctx)
		}
	}
}

func (node *Node) sendOrders(ctx context.Context, issuer *order.Issuer) {
	snapshot := node.activeConfig.snapshot.Load()
	if snapshot == nil {
		return
	}
	for _, send := range issuer.Step(boottime.Now(), poolTargets(snapshot), engineStates(snapshot, node.table.Views())) {
		address := node.table.Address(send.Engine)
		go func() {
			orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			if err := node.engines.Order(orderCtx, address, send.Order); err != nil {
				node.log.Warn().Str("engine", send.Engine).Err(err).Msg("engine did not accept the order; it is sent again if still needed")
			}
		}()
	}
}

func poolTargets(snapshot *configuration.Snapshot) []order.PoolTarget {
	targets := []order.PoolTarget{}
	for _, pool := range snapshot.Declaration.Pools {
		versions := map[string]string{}
		for _, name := range pool.Models {
			if model, found := snapshot.Model(name); found {
				versions[name] = model.Version
			}
		}
		targets = append(targets, order.PoolTarget{Pool: pool.Name, Versions: versions, LoadsAtOnce: pool.LoadsAtOnce})
	}
	return targets
}

func engineStates(snapshot *configuration.Snapshot, views []endpoint.View) []order.Engine {
	viewsByName := map[string]endpoint.View{}
	for _, view := range views {
		viewsByName[view.Backend.Name] = view
	}
	engines := []order.Engine{}
	for _, pool := range snapshot.Declaration.Pools {
		for _, backend := range pool.Engines {
			view, found := viewsByName[backend.Name]
			observed := found && view.Record.Epoch != ""
			engines = append(engines, order.Engine{
				Name: backend.Name, Pool: pool.Name, Weights: view.Record.Weights, Loading: view.Record.Loading,
				Usable: observed && !view.Record.Down && !view.Record.Leaving,
			})
		}
	}
	return engines
}
