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
	issuerKey      = "/cloverrail/orders/issuer"
	issuerLease    = 6 * time.Second
	renewInterval  = 2 * time.Second
	orderInterval  = 100 * time.Millisecond
	campaignPause  = 2 * time.Second
	campaignNodes  = 3
	settleInterval = 2 * time.Second
	orderTimeout   = time.Second
	firstOrderWait = 500 * time.Millisecond
)

// issueOrders campaigns for the issuer lease while this node is among the first of
// the fleet, and issues orders while it holds the lease.
func (node *Node) issueOrders(ctx context.Context) {
	for ctx.Err() == nil {
		if node.rankInFleet() < campaignNodes {
			if lease, token, since, won := node.campaign(ctx); won {
				node.log.Info().Int64("token", token).Msg("acquired the order issuer lease")
				node.holdIssuer(ctx, lease, token, since)
				node.log.Info().Int64("token", token).Msg("no longer the order issuer")
			}
		}
		select {
		case <-time.After(campaignPause):
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
	return campaignNodes
}

// campaign tries to become the issuer. The revision at which the key was created is
// the fencing token; it only increases.
func (node *Node) campaign(ctx context.Context) (lease, token int64, since time.Time, won bool) {
	service := node.catalog.service
	held, err := service.Get(ctx, issuerKey)
	if err != nil || held.ModRevision != 0 {
		return 0, 0, since, false
	}
	since = boottime.Now()
	lease, err = service.GrantLease(ctx, issuerLease)
	if err != nil {
		return 0, 0, since, false
	}
	put := kvservice.Put(issuerKey, []byte(node.settings.PeerAddress))
	put.RequestPut.Lease = lease
	answer, err := service.Commit(ctx, kvservice.TxnRequest{Compare: []kvservice.Compare{kvservice.IfAbsent(issuerKey)}, Success: []kvservice.RequestOp{put}})
	// A lost response is treated as a lost campaign; the lease then expires.
	return lease, answer.Header.Revision, since, err == nil && answer.Succeeded
}

// runIssuer issues orders until the lease is lost.
func (node *Node) holdIssuer(ctx context.Context, lease, token int64, since time.Time) {
	issuer := order.NewIssuer()
	issuer.Hold(token, since.Add(issuerLease))
	// The state of the engines is known only after the first observations.
	start := boottime.Now().Add(firstOrderWait)
	renewed := since
	settled := since
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for issuer.Holds(boottime.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if boottime.Since(renewed) >= renewInterval {
			asked := boottime.Now()
			renewed = asked
			if alive, err := node.catalog.service.KeepAlive(ctx, lease); err == nil && !alive {
				return
			} else if err == nil {
				issuer.Hold(token, asked.Add(issuerLease))
			}
		}
		if boottime.Now().After(start) {
			node.sendOrders(ctx, issuer)
		}
		if boottime.Since(settled) >= settleInterval {
			settled = boottime.Now()
			node.settleHolders(ctx)
		}
	}
}

func (node *Node) sendOrders(ctx context.Context, issuer *order.Issuer) {
	snapshot := node.catalog.snapshot.Load()
	if snapshot == nil {
		return
	}
	for _, send := range issuer.Step(boottime.Now(), wantedOf(snapshot), enginesOf(snapshot, node.table.Views())) {
		address := node.table.Address(send.Engine)
		go func() {
			bounded, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			if err := node.engines.Order(bounded, address, send.Order); err != nil {
				node.log.Warn().Str("engine", send.Engine).Err(err).Msg("order not accepted")
			}
		}()
	}
}

func wantedOf(snapshot *configuration.Snapshot) []order.Wanted {
	wanted := []order.Wanted{}
	for _, pool := range snapshot.Declaration.Pools {
		versions := map[string]string{}
		for _, name := range pool.Models {
			if model, found := snapshot.Model(name); found {
				versions[name] = model.Version
			}
		}
		wanted = append(wanted, order.Wanted{Pool: pool.Name, Versions: versions, LoadsAtOnce: pool.LoadsAtOnce})
	}
	return wanted
}

func enginesOf(snapshot *configuration.Snapshot, views []endpoint.View) []order.Engine {
	known := map[string]endpoint.View{}
	for _, view := range views {
		known[view.Backend.Name] = view
	}
	engines := []order.Engine{}
	for _, pool := range snapshot.Declaration.Pools {
		for _, backend := range pool.Engines {
			view, found := known[backend.Name]
			seen := found && view.Record.Epoch != ""
			engines = append(engines, order.Engine{
				Name: backend.Name, Pool: pool.Name, Weights: view.Record.Weights, Loading: view.Record.Loading,
				Usable: seen && !view.Record.Down && !view.Record.Leaving,
			})
		}
	}
	return engines
}
