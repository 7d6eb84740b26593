// Package quota enforces fleet-wide rate limits: of tenants, and of servers that advertise one.
//
// Nodes do not consult each other before they admit a request. Several times a second they
// exchange reports on the demand and the admitted rate of each limited tenant. Each node derives
// from them how much the fleet may still admit, and admits the fraction of its own demand that
// keeps the total at the limit. It uses only that part of the limit that belongs to nodes with
// recent reports.
package quota

import "time"

// Unit is the unit of a limit.
type Unit int

// The units of limits.
const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts the prompt and answer tokens of a request.
	Tokens
)

// Limit is a fleet-wide rate limit of a tenant.
type Limit struct {
	// PerSecond is the rate in the limit's unit; 0 means no limit. Burst is the amount that may
	// be admitted at once.
	PerSecond float64
	Burst     float64
	Unit      Unit
	// PlainTokens is the cost of a request that does not state its tokens.
	PlainTokens float64
}

// Limited reports whether the rate is limited.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Cost returns the cost of a request in the limit's unit. The argument tokens is the number of
// its tokens; known is false if the request does not state it.
func (l Limit) Cost(tokens int, known bool) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case known:
		return float64(tokens)
	default:
		return l.PlainTokens
	}
}

// Bounds is the guarantee given for the fleet: within any Window, the admitted requests of a
// tenant cost at most (PerSecond x Window + Burst) x (1 + Overshoot) + Slack.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// overshootFraction is the fraction of the permitted overshoot that is added to the burst, so
// that demand within the limit is not refused because of late peer reports. The rest absorbs
// usage not yet reported.
const overshootFraction = 0.1

// allowed returns the largest cost that may be admitted within a window.
func (b Bounds) allowed(l Limit) float64 {
	return (l.PerSecond*b.Window.Seconds()+l.Burst)*(1+b.Overshoot) + b.Slack
}

// capacity returns the amount that may be admitted at once after an idle period.
func (b Bounds) capacity(l Limit) float64 {
	overshoot := b.allowed(l) - l.PerSecond*b.Window.Seconds() - l.Burst
	return l.Burst + overshootFraction*overshoot
}
