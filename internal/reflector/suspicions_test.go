package reflector

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/coordination"
	"github.com/cloverrail/cloverrail/internal/fleet"
	"github.com/cloverrail/cloverrail/internal/property"
	"github.com/cloverrail/cloverrail/internal/quarantine"
)

// simFleet is a fleet whose nodes poll each other according to their roles. In each round every
// node polls once.
type crowd struct {
	t       require.TestingT
	random  *rand.Rand
	entries []coordination.Entry
	nodes   map[string]*crowdNode
	// order holds the names of the nodes.
	order []string
	// bytes counts the bytes sent and received by each node.
	bytes map[string]int
	// view is the view of the fleet that nodes have, or nil if each has the full list.
	view *fleet.View
}

// nodeCores is the processor time of each node, in cores.
const room = 0.2

// port makes the address of a node differ from its name.
const port = ":1"

func addressOf(name string) string { return name + port }

// simNode is a node with the state of its suspicion exchange.
type crowdNode struct {
	*Reflector
	told *telling
	turn int
	cut  bool
}

func newCrowd(t require.TestingT, size int, seed uint64) *crowd {
	c := &crowd{t: t, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*crowdNode{}, bytes: map[string]int{}}
	for i := range size {
		c.entries = append(c.entries, coordination.Entry{Key: fmt.Sprintf("nodes/n%d/1", i), Value: []byte(fmt.Sprintf("%s z %g", addressOf(fmt.Sprint("n", i)), room))})
		c.order = append(c.order, fmt.Sprint("n", i))
	}
	for _, name := range c.order {
		c.start(name)
	}
	return c
}

// newLargeSimFleet returns a fleet whose nodes know only the view of its first nodes.
func newLargeCrowd(t require.TestingT, size int, seed uint64) *crowd {
	c := newCrowd(t, 0, seed)
	for i := range size {
		name := fmt.Sprint("n", i)
		c.order = append(c.order, name)
		c.entries = append(c.entries, coordination.Entry{Key: "nodes/" + name + "/1", Value: []byte(fmt.Sprintf("%s z %g", addressOf(name), room))})
	}
	reader := &fleet.Registry{Prefix: "nodes/", Name: c.order[0], Address: addressOf(c.order[0]), Zone: "z", Room: room, Resized: func(int) {}}
	reader.ObserveNodes(c.entries, time.Now())
	c.view, _ = reader.NewerThan(0)
	for _, name := range c.order {
		c.start(name)
	}
	return c
}

// initRegistry gives a node the view of the fleet, or the full list if there is no view or the
// node is the first reader.
func (c *crowd) know(registry *fleet.Registry) {
	if c.view != nil {
		registry.ObserveView(c.view, c.view.Nodes)
	}
	if c.view == nil || registry.Rank() == 0 {
		begun := time.Now()
		registry.ObserveNodes(c.entries, begun)
		registry.ObserveNodes(c.entries, begun.Add(time.Minute))
	}
}

// start creates or restarts a node, without state.
func (c *crowd) start(name string) {
	r := newFollower(&counting{}, nil)
	r.Peers = &crowdPeers{crowd: c, name: name}
	r.Registry.Name, r.Registry.Address, r.Registry.Zone, r.Registry.Room = name, addressOf(name), "z", room
	r.Feed.name = fmt.Sprint(name, " ", c.random.Uint64())
	c.know(r.Registry)
	require.True(c.t, r.Registry.Settled())
	c.nodes[name] = &crowdNode{Reflector: r, told: &telling{}}
}

// simPeers polls other nodes of the fleet.
type crowdPeers struct {
	crowd *crowd
	name  string
}

func (p *crowdPeers) Ask(ctx context.Context, address string, question Question) (Delta, error) {
	asked := p.crowd.nodes[strings.TrimSuffix(address, port)]
	if p.crowd.nodes[p.name].cut || asked.cut {
		return Delta{}, errors.New("no answer")
	}
	question.Wait = 0
	delta := asked.Feed.Answer(ctx, question)
	p.crowd.count(p.name, asked.Registry.Name, question.encode)
	p.crowd.count(p.name, asked.Registry.Name, delta.encode)
	return delta, nil
}

func (p *crowdPeers) Group(context.Context, string, GroupQuestion) (Group, error) {
	return Group{}, nil
}

func (c *crowd) count(one, other string, encode func(io.Writer) error) {
	text := bytes.Buffer{}
	require.NoError(c.t, encode(&text))
	c.bytes[one] += text.Len()
	c.bytes[other] += text.Len()
}

// runRound makes every node poll once, in random order.
func (c *crowd) round() {
	for _, i := range c.random.Perm(len(c.order)) {
		node := c.nodes[c.order[i]]
		sources := node.sources()
		if len(sources) == 0 {
			continue
		}
		err := node.ask(context.Background(), sources[node.turn%len(sources)], node.told)
		if err != nil && err != errStale {
			node.turn++
		}
	}
}

// quarantinedOn counts the nodes that quarantine a request.
func (c *crowd) heldOff(f quarantine.Fingerprint) int {
	held := 0
	for _, node := range c.nodes {
		if node.Quarantine.Judge(f, func(uint64, time.Time) bool { return false }, time.Now()).Held {
			held++
		}
	}
	return held
}

// failServer makes one node observe the crash of a server during its requests.
func (c *crowd) end(node string, server uint64, requests ...quarantine.Fingerprint) {
	ledger := c.nodes[node].Quarantine
	for _, f := range requests {
		ledger.Suspect(f)
		ledger.Settle(f, server, time.Now(), true, time.Now())
	}
}

// Whichever nodes observe the crashes of three servers, all nodes quarantine the request some
// rounds after the last partition has healed, including nodes that restarted in between.
func TestAllNodesHearWhatARequestHasDone(t *testing.T) {
	t.Parallel()
	property.Check(t, func(t *rapid.T) {
		c := newCrowd(t, rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		ends := 0
		for range rapid.IntRange(3, 12).Draw(t, "rounds") {
			node := rapid.SampledFrom(c.order).Draw(t, "node")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				c.nodes[node].cut = !c.nodes[node].cut
			case 1:
				if ends < 3 {
					ends++
					c.end(node, uint64(ends), 7)
				}
			}
			c.round()
		}
		for _, node := range c.nodes {
			node.cut = false
		}
		for ; ends < 3; ends++ {
			c.end(rapid.SampledFrom(c.order).Draw(t, "node"), uint64(ends+1), 7)
		}
		const enoughRounds = 8
		for range enoughRounds {
			c.round()
		}
		later := rapid.SampledFrom(c.order).Draw(t, "later")
		// In a fleet of one, a restart loses the only copy.
		if len(c.order) > 1 {
			c.start(later)
			for range enoughRounds {
				c.round()
			}
		}
		require.Equal(t, len(c.nodes), c.heldOff(7))
	})
}

// At 340 nodes, three crashes that three nodes observed are known to all nodes within 2 s. The
// loss of a zone, after which all requests of 80 servers are suspected, costs each node few
// bytes and bounded memory.
func TestALargeFleetHearsInTimeAndInFewBytes(t *testing.T) {
	t.Parallel()
	c := newCrowd(t, 340, 20261202)
	for range 3 {
		c.round()
	}
	rest := c.perRound(10)
	for server := range uint64(3) {
		c.end(c.order[100*int(server)], server+1, 7)
	}
	rounds := 0
	for ; c.heldOff(7) < len(c.nodes); rounds++ {
		require.Less(t, rounds, 20)
		c.round()
	}
	t.Logf("all 340 nodes have the suspicions after %d rounds", rounds)
	// A round is a follower's poll interval: 285 ms with 18 followers per relay.
	interval := c.nodes[c.order[0]].askInterval()
	require.Less(t, time.Duration(rounds)*interval, 2*time.Second)

	next := quarantine.Fingerprint(1000)
	for server := range uint64(80) {
		for range 16 {
			next++
			c.end(c.order[c.random.IntN(len(c.order))], 1000+server, next)
		}
	}
	clear(c.bytes)
	const enoughRounds = 12
	for range enoughRounds {
		c.round()
	}
	most, sum := 0, 0
	for _, n := range c.bytes {
		most, sum = max(most, n), sum+n
	}
	t.Logf("idle: %.0f bytes per round and node; 1,280 crashes at once: %d kB more for the average node, %d kB for the busiest", rest, (sum/len(c.nodes)-enoughRounds*int(rest))/1000, most/1000)
	for _, node := range c.nodes {
		told := 0
		for place := int64(0); place != node.Quarantine.Place(); {
			var items []quarantine.Item
			items, place = node.Quarantine.Since(place, "", quarantine.All, time.Now())
			told += len(items)
		}
		require.Equal(t, 3+80*16, told)
	}
	require.Equal(t, len(c.nodes), c.heldOff(7), "the quarantine stays")
}

// meanBytesPerRound returns the mean number of bytes per node and round.
func (c *crowd) perRound(rounds int) float64 {
	clear(c.bytes)
	for range rounds {
		c.round()
	}
	sum := 0
	for _, n := range c.bytes {
		sum += n
	}
	return float64(sum) / float64(rounds*len(c.nodes))
}
