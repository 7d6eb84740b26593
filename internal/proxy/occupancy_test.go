package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/exchange"
)

const (
	// sharedTokensB, ownTokensB and cacheTokensB are the sizes of long prompts, and of an engine that nine of them fit into.
	sharedTokensB = 13_300
	ownTokensB    = 3_720
	cacheTokensB  = 151_820
)

// longPromptPlacer returns a placer for such long prompts on the given number of engines.
func longPromptPlacer(engines, cacheTokens int) *placer {
	p := sharedServicePlacer(ownTokensB, 0, cacheTokens)
	var list []backend.Server
	for i := range engines {
		name := fmt.Sprint("i-", i)
		list = append(list, backend.Server{Instance: name, Address: "at " + name, Service: "s", Slots: slotsPerServer, Versions: map[string]int64{"m": 1}})
	}
	p.proxy.set.Update(list, time.Now())
	for range 300 {
		p.proxy.prefillRate.observe(49_600, time.Second)
	}
	return p
}

// ofTenant returns a placer for a long prompt with the shared part of a tenant.
func (p *placer) ofTenant(tenant, number int) *placer {
	other := p.withRequestID(number)
	other.admitted.request.Arrived = time.Now()
	parts := []Part{{ID: fmt.Sprint("tenant-", tenant), Tokens: sharedTokensB}, {ID: fmt.Sprint("own-", number), Tokens: ownTokensB}}
	other.admitted.request.Prompt = &Prompt{Model: "m", Tokens: sharedTokensB + ownTokensB, Output: 20, Parts: parts}
	return other
}

// longRun is a long prompt that runs until a step.
type longRun struct {
	tenant int
	placed *placement
	until  int
}

// residentAt returns the memory in use at a server, where requests of a tenant share its prefix.
func residentAt(runs []longRun, server string) int {
	tokens, shared := 0, map[int]bool{}
	for _, r := range runs {
		if r.placed.Server() == server {
			tokens += ownTokensB + 20
			if !shared[r.tenant] {
				tokens += sharedTokensB
			}
			shared[r.tenant] = true
		}
	}
	return tokens
}

// countOverfull places long prompts of 80 tenants, one at each step, each of which runs for the given
// number of steps, and returns how many did not fit into the memory of their engine.
func (p *placer) countOverfull(t *testing.T, steps, duration int) int {
	random := rand.New(rand.NewPCG(1, 2))
	var runs []longRun
	overfull := 0
	for step := range steps {
		remaining := runs[:0]
		for _, r := range runs {
			if r.until > step {
				remaining = append(remaining, r)
				continue
			}
			r.placed.attempt.End(exchange.ResultServed, time.Now())
		}
		// A few tenants send most of the requests.
		tenant := int(80 * random.Float64() * random.Float64())
		placed, unplaced := p.ofTenant(tenant, step).Place(nil)
		require.Nil(t, unplaced)
		placed.ResponseStarted()
		runs = append(remaining, longRun{tenant: tenant, placed: placed.(*placement), until: step + duration})
		if residentAt(runs, placed.Server()) > cacheTokensB {
			overfull++
		}
	}
	return overfull
}

// Load: 8 engines with 16 slots and memory for nine long prompts each. 80 long
// prompts of 80 tenants run at a time, which fit, since those of a tenant share a prefix. Guards
// against engines that are chosen for their free slots and the prefixes that they hold although
// prompts do not fit, so that they preempt running requests and read these again.
func TestLongPromptsGoWhereMemoryIsFree(t *testing.T) {
	without := longPromptPlacer(8, 0).countOverfull(t, 1000, 80)
	with := longPromptPlacer(8, cacheTokensB).countOverfull(t, 1000, 80)
	t.Logf("prompts that do not fit, of 1000: %d -> %d", without, with)
	require.Greater(t, without, 30, "by slots and prefixes alone")
	require.Less(t, with, without/5)
}

// Guards against refusals of a node's own while all servers have refused other nodes: servers that are
// reported as full are avoided only while others accept the request.
func TestFullServersAreUsedWhereNoneIsLeft(t *testing.T) {
	p := sharedServicePlacer(100, 3, 0)
	report := func(names ...string) {
		var work []backend.Work
		for _, name := range names {
			work = append(work, backend.Work{Server: backend.ServerKey(name), Full: 1})
		}
		p.proxy.set.ApplyPeerWork(work, time.Now())
	}
	report("i-0", "i-2")
	for number := range 20 {
		placed, unplaced := p.withRequestID(number).Place(nil)
		require.Nil(t, unplaced)
		require.Equal(t, "i-1", placed.Server())
		placed.End(exchange.ResultNeutral)
	}
	report("i-0", "i-1", "i-2")
	_, unplaced := p.withRequestID(1).Place(nil)
	require.Nil(t, unplaced)

	unshared := newTestPlacer(100, 1, 0)
	unshared.proxy.set.ApplyPeerWork([]backend.Work{{Server: backend.ServerKey("i-0"), Full: 1}}, time.Now())
	require.False(t, unshared.routingRequest().AvoidFull, "a service of one priority is as before")
}

// reportBusyServers reports other nodes' work on all servers at a time.
func (p *placer) reportBusyServers(at time.Time) {
	var work []backend.Work
	for i, c := range p.candidates() {
		work = append(work, backend.Work{
			Server: backend.ServerKey(c.Endpoint), Running: 6, QueuedTokens: 500 * (i % 7), AnswerAge: time.Millisecond,
			ResidentTokens: 30_000, SharedPrefixes: 0x0030_0900_0000_2010,
		})
	}
	p.proxy.set.ApplyPeerWork(work, at)
}
