// Package order decides which fenced orders are sent to engines: which engine
// loads which version of a model, and when. Only one node at a time issues orders.
// It holds a lease in the key-value service whose revision is the fencing token.
//
// Issuer is a pure state machine.
package order

import (
	"sort"
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
)

// Engine is the state of an engine as known to the issuer.
type Engine struct {
	Name    string
	Pool    string
	Weights map[string]string
	// Loading is set while the engine loads weights.
	Loading bool
	// Usable is false for engines that are down or leaving.
	Usable bool
}

// PoolTarget is the desired state of a pool.
type PoolTarget struct {
	Pool string
	// Versions maps each model to the version that should be loaded.
	Versions map[string]string
	// LoadsAtOnce bounds the engines that load weights concurrently.
	LoadsAtOnce int
}

// Send is an order to send to an engine.
type Send struct {
	Engine string
	Order  engineapi.Order
}

const (
	// leaseSafetyMargin is how long before its expiry a lease is no longer relied
	// on. An engine rejects an order that arrives later still by its fencing token.
	leaseSafetyMargin = time.Second
	// resendInterval is how long after an order without visible effect it is sent
	// again.
	resendInterval = 10 * time.Second
)

// Issuer holds the issuing state of one node.
type Issuer struct {
	token      int64
	leaseUntil time.Time
	lastSent   map[string]sentOrder
}

type sentOrder struct {
	order engineapi.Order
	at    time.Time
}

// NewIssuer returns an issuer without a lease.
func NewIssuer() *Issuer { return &Issuer{lastSent: map[string]sentOrder{}} }

// SetLease records a lease and its expiry, which must be computed from a time
// before the call that granted or renewed it.
func (issuer *Issuer) SetLease(token int64, until time.Time) {
	if token != issuer.token {
		issuer.lastSent = map[string]sentOrder{}
	}
	issuer.token, issuer.leaseUntil = token, until
}

// DropLease discards the lease.
func (issuer *Issuer) DropLease() { issuer.leaseUntil = time.Time{} }

// HoldsLease reports whether orders may be issued.
func (issuer *Issuer) HoldsLease(now time.Time) bool {
	return now.Add(leaseSafetyMargin).Before(issuer.leaseUntil)
}

// Step returns the orders to send now. An engine counts as loading once an order
// was sent to it, so that a pool's limit holds before its state is observed.
func (issuer *Issuer) Step(now time.Time, targets []PoolTarget, engines []Engine) []Send {
	if !issuer.HoldsLease(now) {
		return nil
	}
	sends := []Send{}
	for _, target := range targets {
		sends = append(sends, issuer.stepPool(now, target, engines)...)
	}
	return sends
}

func (issuer *Issuer) stepPool(now time.Time, target PoolTarget, engines []Engine) []Send {
	loading := 0
	outdated := []Engine{}
	for _, engine := range engines {
		if engine.Pool != target.Pool {
			continue
		}
		needsOrder := issuer.nextOrder(target, engine) != nil
		last, sentBefore := issuer.lastSent[engine.Name]
		pending := sentBefore && needsOrder && now.Sub(last.at) < resendInterval
		switch {
		case engine.Loading || pending:
			loading++
		case needsOrder && engine.Usable:
			outdated = append(outdated, engine)
		}
	}
	sort.Slice(outdated, func(i, j int) bool { return outdated[i].Name < outdated[j].Name })
	sends := []Send{}
	for _, engine := range outdated[:max(0, min(len(outdated), target.LoadsAtOnce-loading))] {
		order := *issuer.nextOrder(target, engine)
		issuer.lastSent[engine.Name] = sentOrder{order: order, at: now}
		sends = append(sends, Send{Engine: engine.Name, Order: order})
	}
	return sends
}

// nextOrder returns the next order that the engine needs, or nil.
func (issuer *Issuer) nextOrder(target PoolTarget, engine Engine) *engineapi.Order {
	models := make([]string, 0, len(target.Versions))
	for model := range target.Versions {
		models = append(models, model)
	}
	sort.Strings(models)
	for _, model := range models {
		if version := target.Versions[model]; engine.Weights[model] != version {
			return &engineapi.Order{Token: issuer.token, Model: model, Version: version}
		}
	}
	return nil
}
