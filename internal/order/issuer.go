// Package order decides which fenced orders go to engines: which engine loads
// which version of a model, and when. One node at a time issues orders; it
// holds a lease in the key-value service, whose revision is the fencing token.
//
// Issuer is a pure state machine.
package order

import (
	"sort"
	"time"

	"github.com/cloverrail/cloverrail/internal/engineapi"
)

// Engine is an engine as the issuer sees it.
type Engine struct {
	Name    string
	Pool    string
	Weights map[string]string
	// Loading says that the engine is busy loading weights.
	Loading bool
	// Usable is false for engines that are down or leave.
	Usable bool
}

// Wanted is what a pool should have loaded.
type Wanted struct {
	Pool string
	// Versions of each model.
	Versions map[string]string
	// LoadsAtOnce bounds the engines that load together.
	LoadsAtOnce int
}

// Send is the action of sending an order to an engine.
type Send struct {
	Engine string
	Order  engineapi.Order
}

const (
	// leaseMargin is how long before its lapse a lease is no longer relied on. An
	// order that is late all the same is refused by the engine for its token.
	leaseMargin = time.Second
	// resendAfter is when an order without visible effect is sent again.
	resendAfter = 10 * time.Second
)

// Issuer is the state of one node.
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

// Hold notes a lease and until when it lasts, counted from before the call that
// granted or renewed it.
func (issuer *Issuer) Hold(token int64, until time.Time) {
	if token != issuer.token {
		issuer.sent = map[string]sentOrder{}
	}
	issuer.token, issuer.until = token, until
}

// Lose drops the lease.
func (issuer *Issuer) Lose() { issuer.until = time.Time{} }

// Holds reports whether orders may be issued.
func (issuer *Issuer) Holds(now time.Time) bool {
	return now.Add(leaseMargin).Before(issuer.until)
}

// Step returns the orders to send now. It counts an engine as loading from the
// order on, so that a pool's pace holds before the engine's state is seen.
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

// missing returns the order that the engine needs next, or nil.
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
