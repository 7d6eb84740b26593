package overload

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/quota"
)

// minReportedTokens is the least demand of a rank that is reported, in prompt tokens per second.
const minReportedTokens = 1

func (c *Controller) resize(nodes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.demand.nodes != nodes {
		c.demand.nodes = nodes
		// Until the next report, the share is an even one.
		c.demand.share = 0
	}
}

// near reports whether the service was lately near its capacity, so that it is reported.
func (c *Controller) near(now time.Time) bool {
	promised, _ := c.promises.Totals(c.subject, now)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return promised > 0 || !c.nearAt.IsZero() && now.Sub(c.nearAt) <= nearTTL
}

// ownTokens returns the demand at this node in prompt tokens per second.
func (c *Controller) ownTokens(now time.Time) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tokens := 0.0
	for rank := range c.demand.ranks {
		tokens += c.demand.ranks[rank].tokens.perSecond(now)
	}
	return tokens
}

// appendRows appends this node's rows on the service.
func (c *Controller) appendRows(rows []quota.Usage, now time.Time) []quota.Usage {
	promised, redeemed := c.promises.Totals(c.subject, now)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for rank := range c.demand.ranks {
		d := &c.demand.ranks[rank]
		if tokens := d.tokens.perSecond(now); tokens >= minReportedTokens {
			admitted := min(tokens, d.admitted.perSecond(now))
			rows = append(rows, quota.ServiceRow{Subject: c.subject, Rank: rank, Requested: tokens, Admitted: admitted}.Usage())
		}
	}
	if promised > 0 {
		rows = append(rows, quota.ServiceRow{Subject: c.subject, Promised: true, Requested: promised, Admitted: redeemed}.Usage())
	}
	return rows
}

// FleetDemand returns the demand of a rank at all nodes, in prompt tokens per second.
func (c *Controller) FleetDemand(rank int, now time.Time) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.demand.fleetTokens(min(max(rank, 0), RankCount-1), now)
}

func (c *Controller) setPeers(requested [RankCount]float64, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.demand.setPeers(requested, now)
}

// currentState returns the state of the service. Without requests it is not under pressure.
func (c *Controller) currentState(now time.Time) State {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.usedAt) > missWindow {
		return Normal
	}
	return c.pressure.state
}

func (c *Controller) idleSince(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Sub(c.usedAt)
}
