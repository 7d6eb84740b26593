package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/engineapi"
	"github.com/cloverrail/cloverrail/internal/property"
)

// fencedEngine simulates an engine that rejects tokens below the highest one it
// has received.
type fencedEngine struct {
	state   Engine
	token   int64
	readyAt time.Time
	order   engineapi.Order
}

func (engine *fencedEngine) accept(now time.Time, order engineapi.Order) bool {
	if order.Token < engine.token {
		return false
	}
	engine.token = order.Token
	if engine.state.Weights[order.Model] == order.Version {
		return true
	}
	delete(engine.state.Weights, order.Model)
	engine.state.Loading, engine.order, engine.readyAt = true, order, now.Add(600*time.Millisecond)
	return true
}

func (engine *fencedEngine) advance(now time.Time) {
	if engine.state.Loading && !now.Before(engine.readyAt) {
		engine.state.Loading = false
		engine.state.Weights[engine.order.Model] = engine.order.Version
	}
}

// TestLoadsAreBoundedAndStaleTokensRejected alternates the lease between two
// issuers. One may be paused while it holds the lease and resume after the other
// has taken over.
func TestLoadsAreBoundedAndStaleTokensRejected(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		maxLoads := rapid.IntRange(1, 4).Draw(t, "pace")
		version := 1
		engines := []*fencedEngine{}
		for index := range rapid.IntRange(1, 12).Draw(t, "engines") {
			engines = append(engines, &fencedEngine{state: Engine{Name: fmt.Sprintf("engine-%02d", index), Pool: "p", Usable: true, Weights: map[string]string{}}})
		}
		issuers := []*Issuer{NewIssuer(), NewIssuer()}
		holder, token := 0, int64(1)
		issuers[0].SetLease(token, now.Add(5*time.Second))
		views := func() []Engine {
			list := []Engine{}
			for _, engine := range engines {
				weights := map[string]string{}
				for model, loaded := range engine.state.Weights {
					weights[model] = loaded
				}
				view := engine.state
				view.Weights = weights
				list = append(list, view)
			}
			return list
		}
		step := func(issuerIndex int, stale []Send) []Send {
			targets := []PoolTarget{{Pool: "p", Versions: map[string]string{"m": fmt.Sprint("v", version)}, LoadsAtOnce: maxLoads}}
			sends := append(stale, issuers[issuerIndex].Step(now, targets, views())...)
			return sends
		}
		var delayed []Send
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"act", "act", "act", "wait", "pause", "late", "version"}).Draw(t, "step") {
			case "act":
				issuers[holder].SetLease(token, now.Add(5*time.Second))
				for _, send := range step(holder, nil) {
					for _, engine := range engines {
						if engine.state.Name == send.Engine {
							require.True(t, engine.accept(now, send.Order), "orders of the lease holder are accepted")
						}
					}
				}
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(50, 800).Draw(t, "milliseconds")) * time.Millisecond)
			case "pause":
				// The holder decides on orders and is paused before it sends them, while
				// the other issuer takes over the lease and sends to every engine.
				delayed = append(delayed, step(holder, nil)...)
				holder, token = 1-holder, token+1
				now = now.Add(6 * time.Second)
				for _, engine := range engines {
					engine.advance(now)
					engine.token = token
				}
			case "late":
				for _, send := range delayed {
					for _, engine := range engines {
						if engine.state.Name == send.Engine && send.Order.Token < token {
							require.False(t, engine.accept(now, send.Order), "an order with a stale token is rejected")
						}
					}
				}
				if len(delayed) > 0 {
					require.Empty(t, step(1-holder, nil), "an expired lease is not relied on")
				}
			case "version":
				version++
			}
			loading := 0
			for _, engine := range engines {
				engine.advance(now)
				if engine.state.Loading {
					loading++
				}
			}
			require.LessOrEqual(t, loading, maxLoads, "concurrent loads stay within the limit")
		}
	})
}

func TestAllEnginesReachTargetVersion(t *testing.T) {
	now := time.Unix(0, 0)
	issuer := NewIssuer()
	engines := []Engine{}
	for index := range 7 {
		engines = append(engines, Engine{Name: fmt.Sprint(index), Pool: "p", Usable: true, Weights: map[string]string{"m": "v1"}})
	}
	targets := []PoolTarget{{Pool: "p", Versions: map[string]string{"m": "v2"}, LoadsAtOnce: 3}}
	rounds := 0
	for ; rounds < 10; rounds++ {
		issuer.SetLease(9, now.Add(5*time.Second))
		sends := issuer.Step(now, targets, engines)
		if len(sends) == 0 {
			break
		}
		require.LessOrEqual(t, len(sends), 3)
		for _, send := range sends {
			for index := range engines {
				if engines[index].Name == send.Engine {
					engines[index].Weights = map[string]string{"m": send.Order.Version}
				}
			}
		}
	}
	require.Equal(t, 3, rounds)
}
