package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/settings"
	"github.com/cloverrail/cloverrail/platform/standin"
)

const (
	// fleetRetryExtra is the bound of retries that do not depend on requests, as deployments of a few nodes have it.
	fleetRetryExtra = 56
	// streamDeadline is the time within which callers want their streams.
	streamDeadline = 5 * time.Second
)

// newBudgetedStreamFixture starts a fleet like newStreamFixture, whose nodes share a retry budget.
func newBudgetedStreamFixture(t *testing.T, nodes int) *partitionFixture {
	f := newStreamFixtureWith(t, nodes, []string{"v1", "v1", "v1", "v2", "v2", "v2"}, func(config *settings.Proxy) { config.Bounds.RetryExtra = fleetRetryExtra })
	for _, n := range f.nodes {
		n.awaitRetryShare()
	}
	return f
}

// makeWithin sends one request whose caller waits for a time.
func (fixture *fixture) makeWithin(c routeCall, deadline time.Duration) clientResult {
	return fixture.send(c.method, c.path, "turn", func(r *http.Request) {
		setPromptHeaders(r)
		r.Header.Set(standin.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	})
}

// waits returns how often streams that had begun have waited for a cause.
func (fixture *fixture) waits(cause string) (count uint64) {
	families, err := fixture.process.metrics.Registry.Gather()
	require.NoError(fixture.t, err)
	for _, family := range families {
		if family.GetName() != "cloverrail_proxy_stream_wait_seconds" {
			continue
		}
		for _, m := range family.GetMetric() {
			if m.GetLabel()[0].GetValue() == cause {
				count = m.GetHistogram().GetSampleCount()
			}
		}
	}
	return count
}

// Guards against streams whose paths were reset, and which wait until their deadline although other nodes, and then this one,
// reach all servers.
func TestStreamsOfCutNodeGoOnWithinRetryBudget(t *testing.T) {
	for name, mode := range map[string]linkMode{"reset": linksReset, "reset at once": linksAcceptAndReset, "reset later": linksResetLater} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newBudgetedStreamFixture(t, fleetSize)
			var streams sync.WaitGroup
			var begun, whole atomic.Int64
			for turn := range fleetSize {
				for since := time.Now(); time.Since(since) < 2*turnTime; time.Sleep(sendInterval) {
					if time.Since(since) > turnTime {
						f.links[turn].set(mode)
					}
					for _, n := range f.nodes {
						streams.Go(func() {
							got := n.makeWithin(resumableStream, streamDeadline)
							if got.status != http.StatusOK {
								return
							}
							begun.Add(1)
							if isWholeStream(got, pacedEvents) {
								whole.Add(1)
							} else {
								t.Logf("%d bytes, %v", len(got.body), got.err)
							}
						})
					}
				}
				f.store.Put(standin.KeyConfiguration, newDocument(int64(turn+2), key))
				f.links[turn].set(linksUp)
			}
			streams.Wait()
			for i, n := range f.nodes {
				t.Logf("node %d: waits for a retry %d, for a server %d; retries granted %.0f, denied %.0f", i, n.waits("retry"), n.waits("server"),
					n.metric("cloverrail_proxy_retries_total", "granted"), n.metric("cloverrail_proxy_retries_total", "denied"))
			}
			require.NotZero(t, begun.Load())
			require.Equal(t, begun.Load(), whole.Load(), "streams that are whole")
		})
	}
}
