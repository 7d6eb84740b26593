package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/exchange"
)

// slotsPerServer is the number of slots of each server of a large service.
const slotsPerServer = 16

// newPlacerWithServers returns a placer for a service with the given number of servers.
func newPlacerWithServers(servers int) *placer {
	p := newTestPlacer(500, 1, 0)
	var list []backend.Server
	for i := range servers {
		list = append(list, backend.Server{Instance: fmt.Sprint("i-", i), Address: fmt.Sprint("at i-", i), Service: "s", Slots: slotsPerServer, Versions: map[string]int64{"m": 1}})
	}
	p.proxy.set.Update(list, time.Now())
	return p
}

// place places a request with two shared parts, ends it, and returns its server.
func (p *placer) place(t *testing.T, first, second string) string {
	p.admitted.request = &Request{ID: first + second, Prompt: &Prompt{Model: "m", Tokens: 6800, Parts: []Part{{ID: first, Tokens: 2500}, {ID: second, Tokens: 3800}, {ID: "own", Tokens: 500}}}}
	clear(p.pieces)
	placed, unplaced := p.Place(nil)
	require.Nil(t, unplaced)
	placed.(*placement).ResponseStarted()
	placed.End(exchange.ResultServed)
	return placed.Server()
}

// Guards against the same prefix being computed on many servers of a large service, of which the
// load needs only a few hundred. All prompts begin with one of a few system prompts ("sheet-N"),
// followed by one of hundreds of histories. Each system prompt must stay within one subset, and each
// history on one server. The prefill of a system prompt of 2,500 tokens takes an engine 65 ms, and
// each repetition costs users about a third of an answer.
func TestSharedFirstPartStaysWithinSubset(t *testing.T) {
	p := newPlacerWithServers(3000)
	servers := map[string]string{}
	for sheet := range 4 {
		used := map[string]bool{}
		for history := range 300 {
			first, second := fmt.Sprint("sheet-", sheet), fmt.Sprint("history-", sheet, "-", history)
			servers[first+second] = p.place(t, first, second)
			used[servers[first+second]] = true
		}
		require.LessOrEqual(t, len(used), subsetSize)
		require.Greater(t, len(used), subsetSize/2, "requests use most of the subset")
		for history := range 300 {
			first, second := fmt.Sprint("sheet-", sheet), fmt.Sprint("history-", sheet, "-", history)
			require.Equal(t, servers[first+second], p.place(t, first, second))
		}
	}
}

// setPeerWork reports the given load and number of suspecting nodes for each of the servers.
func (p *placer) setRemoteWork(servers []string, running, suspects int) {
	var work []backend.Work
	for _, server := range servers {
		work = append(work, backend.Work{Server: backend.ServerKey(server), Running: running, Suspects: suspects})
	}
	p.proxy.set.ApplyPeerWork(work, time.Now())
}

// subsetOf returns the servers of the subset for a first part.
func (p *placer) subsetOf(t *testing.T, first string) []string {
	p.place(t, first, "any")
	var names []string
	query := p.query(time.Now())
	query.Limit = subsetSize
	for _, c := range p.proxy.set.Candidates(nil, query, time.Now()) {
		names = append(names, c.Endpoint)
	}
	require.Len(t, names, subsetSize)
	return names
}

// Guards against requests waiting for a subset that is full, because all requests share one system
// prompt, or unreachable, because all its servers failed at once. Requests must use other servers
// immediately and return once the subset has recovered.
func TestSubsetWidensWhenFullOrUnreachable(t *testing.T) {
	p := newPlacerWithServers(3000)
	subset := p.subsetOf(t, "system prompt")
	allOutsideSubset := func() bool {
		for i := range 20 {
			server := p.place(t, "system prompt", fmt.Sprint("session-", i))
			for _, name := range subset {
				if name == server {
					return false
				}
			}
		}
		return true
	}
	require.False(t, allOutsideSubset())
	p.setRemoteWork(subset, slotsPerServer+8, 0)
	require.True(t, allOutsideSubset(), "all slots of the subset are taken")
	p.setRemoteWork(subset, 2, 0)
	require.False(t, allOutsideSubset(), "the subset has free slots again")
	p.setRemoteWork(subset, 0, 2)
	require.True(t, allOutsideSubset(), "all servers of the subset are suspected")
	p.setRemoteWork(nil, 0, 0)
	require.False(t, allOutsideSubset())
}

// Guards against plain requests staying within one subset of a large service. Each chooses from a
// subset of its own, so that the time of a placement does not depend on the number of servers, but
// together they must use all servers, also while a tenth of these are unreachable.
func TestPlainRequestsUseAllServers(t *testing.T) {
	p := newPlacerWithServers(300)
	p.admitted.service.Engine = nil
	used := map[string]int{}
	for i := range 3000 {
		p.admitted.request = &Request{ID: fmt.Sprint("request-", i)}
		placed, unplaced := p.Place(nil)
		require.Nil(t, unplaced)
		placed.End(exchange.ResultServed)
		used[placed.Server()]++
	}
	require.Greater(t, len(used), 250)
	for server, n := range used {
		require.Less(t, n, 60, server)
	}
}
