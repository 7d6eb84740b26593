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
type Wanted struct {
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
	leaseMargin = time.Second
	// resendInterval is how long after an order without visible effect it is sent
	// again.
	resendAfter = 10 * time.Second
)

// Issuer holds the issuing state of one node.
type Issuer struct {
	token int64
	until time.Time
	sent  map[string]sentOrder
}

type sentOrder struct {
	order engineapi.Order
	at    time.Time
}

// NewIssuer returns an issuer without a lease.
func NewIssuer() *Issuer { return &Issuer{sent: map[string]sentOrder{}} }

// SetLease records a lease and its expiry, which must be computed from a time
// before the call that granted or renewed it.
func (issuer *Issuer) Hold(token int64, until time.Time) {
	if token != issuer.token {
		issuer.sent = map[string]sentOrder{}
	}
	issuer.token, issuer.until = token, until
}

// DropLease discards the lease.
func (issuer *Issuer) Lose() { issuer.until = time.Time{} }

// HoldsLease reports whether orders may be issued.
func (issuer *Issuer) Holds(now time.Time) bool {
	return now.Add(leaseMargin).Before(issuer.until)
}

// Step returns the orders to send now. An engine counts as loading once an order
// was sent to it, so that a pool's limit holds before its state is observed.
func (issuer *Issuer) Step(now time.Time, wanted []Wanted, engines []Engine) []Send {
	if !issuer.Holds(now) {
		return nil
	}
	sends := []Send{}
	for _, pool := range wanted {
		sends = append(sends, issuer.stepPool(now, pool, engines)...)
	}
	return sends
}

func (issuer *Issuer) stepPool(now time.Time, pool Wanted, engines []Engine) []Send {
	loading := 0
	behind := []Engine{}
	for _, engine := range engines {
		if engine.Pool != pool.Pool {
			continue
		}
		missing := issuer.missing(pool, engine) != nil
		recent, ordered := issuer.sent[engine.Name]
		underWay := ordered && missing && now.Sub(recent.at) < resendAfter
		switch {
		case engine.Loading || underWay:
			loading++
		case missing && engine.Usable:
			behind = append(behind, engine)
		}
	}
	sort.Slice(behind, func(i, j int) bool { return behind[i].Name < behind[j].Name })
	sends := []Send{}
	for _, engine := range behind[:max(0, min(len(behind), pool.LoadsAtOnce-loading))] {
		order := *issuer.missing(pool, engine)
		issuer.sent[engine.Name] = sentOrder{order: order, at: now}
		sends = append(sends, Send{Engine: engine.Name, Order: order})
	}
	return sends
}

// nextOrder returns the next order that the engine needs, or nil.
func (issuer *Issuer) missing(pool Wanted, engine Engine) *engineapi.Order {
	models := make([]string, 0, len(pool.Versions))
	for model := range pool.Versions {
		models = append(models, model)
	}
	sort.Strings(models)
	for _, model := range models {
		if version := pool.Versions[model]; engine.Weights[model] != version {
			return &engineapi.Order{Token: issuer.token, Model: model, Version: version}
		}
	}
	return nil
}
