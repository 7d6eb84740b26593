package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/exchange"
)

// manySlots is how many requests each server of a large service runs at once.
const manySlots = 16

// placingAmong returns a placer before so many servers with slots.
func placingAmong(servers int) *placer {
	p := placing(500, 1, 0)
	var list []backend.Server
	for i := range servers {
		list = append(list, backend.Server{Instance: fmt.Sprint("i-", i), Address: fmt.Sprint("at i-", i), Service: "s", Slots: manySlots, Versions: map[string]int64{"m": 1}})
	}
	p.proxy.set.Update(list, time.Now())
	return p
}

// place places a request with two shared parts, and ends it.
func (p *placer) place(t *testing.T, first, second string) string {
	p.admitted.request = &Request{ID: first + second, Prompt: &Prompt{Model: "m", Tokens: 6800, Parts: []Part{{ID: first, Tokens: 2500}, {ID: second, Tokens: 3800}, {ID: "own", Tokens: 500}}}}
	clear(p.pieces)
	placed, unplaced := p.Place(nil)
	require.Nil(t, unplaced)
	placed.(*placement).Started()
	placed.End(exchange.ResultServed)
	return placed.Server()
}

// Pattern: thousands of servers, of which the load needs a few hundred; a few rule sheets that
// all prompts begin with, each followed by one of hundreds of histories. The rule sheet must be
// read at few servers, and each history at one. A sheet of 2,500 tokens takes an engine 65 ms
// and costs users a third of an answer where it is read anew.
func TestPromptsThatBeginAlikeMeetAtFewServers(t *testing.T) {
	p := placingAmong(3000)
	homes := map[string]string{}
	for sheet := range 4 {
		used := map[string]bool{}
		for history := range 300 {
			first, second := fmt.Sprint("sheet-", sheet), fmt.Sprint("history-", sheet, "-", history)
			homes[first+second] = p.place(t, first, second)
			used[homes[first+second]] = true
		}
		require.LessOrEqual(t, len(used), neighbourhood)
		require.Greater(t, len(used), neighbourhood/2, "it is spread over them")
		for history := range 300 {
			first, second := fmt.Sprint("sheet-", sheet), fmt.Sprint("history-", sheet, "-", history)
			require.Equal(t, homes[first+second], p.place(t, first, second))
		}
	}
}

// work says that so much is under way at each of some servers, of which nodes let some rest.
func (p *placer) work(servers []string, running, suspects int) {
	var work []backend.Work
	for _, server := range servers {
		work = append(work, backend.Work{Server: backend.ServerKey(server), Running: running, Suspects: suspects})
	}
	p.proxy.set.TakeWork(work, time.Now())
}

// around returns the neighbourhood of a first part.
func (p *placer) around(t *testing.T, first string) []string {
	p.place(t, first, "any")
	var names []string
	query := p.query(time.Now())
	query.Most = neighbourhood
	for _, c := range p.proxy.set.Candidates(nil, query, time.Now()) {
		names = append(names, c.Endpoint)
	}
	require.Len(t, names, neighbourhood)
	return names
}

// Pattern: one first part draws all requests, as one system prompt for all does, until its
// servers have no slots to spare; or all of its servers go dark at once, as a rack does. The
// requests go further at once, and come back when that is over.
func TestANeighbourhoodThatIsHotOrDarkWidensAndNarrowsAgain(t *testing.T) {
	p := placingAmong(3000)
	near := p.around(t, "system prompt")
	other := func() bool {
		for i := range 20 {
			server := p.place(t, "system prompt", fmt.Sprint("session-", i))
			for _, name := range near {
				if name == server {
					return false
				}
			}
		}
		return true
	}
	require.False(t, other())
	p.work(near, manySlots+8, 0)
	require.True(t, other(), "all slots are taken there")
	p.work(near, 2, 0)
	require.False(t, other(), "there is room again")
	p.work(near, 0, 2)
	require.True(t, other(), "nobody there answers")
	p.work(nil, 0, 0)
	require.False(t, other())
}

// Pattern: a plain service of hundreds of servers, a tenth of which are dark. Requests spread
// over all of them, in a time that does not depend on how many there are.
func TestPlainRequestsSpreadOverAllServers(t *testing.T) {
	p := placingAmong(300)
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
