package membership_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cloverrail/cloverrail/internal/lab/agenda"
	"github.com/cloverrail/cloverrail/internal/membership"
)

// datagramOverhead is the size in bytes that encryption (28) and the UDP and IP
// headers (28) add to a message.
const datagramOverhead = 28 + 28

const (
	// syncInterval is the mean interval at which a node compares its view with
	// another's.
	syncInterval = 10 * time.Second
	// digestBytes is the size of a request, or of a response without a view.
	digestBytes = 120
)

// Config configures a network of simulated nodes.
type Config struct {
	Nodes int
	Seed  uint64
	// Zones is the number of zones that the nodes are distributed over.
	Zones int
	// Delay is the one-way delay of a message, and Loss the fraction of messages
	// lost.
	Delay time.Duration
	Loss  float64
	// CountBytes encodes every message to measure its size, which is slow.
	CountBytes bool
}

// Node is one simulated node.
type Node struct {
	Address string
	Zone    string
	Machine *membership.Machine
	// Revision is the configuration revision in force at the node.
	Revision int64
	// ActivatedAt is when Revision came into force.
	AdoptedAt time.Time
	// Up is false while the node is down; Paused is true while it is suspended.
	Up     bool
	Paused bool
	// Sent and Received count bytes.
	Sent     int64
	Received int64
	side     int
	nextTick time.Time
	nextSync time.Time
}

type delivery struct {
	message membership.Message
	bytes   int64
	// fetch is the revision that a configuration response brings, or 0.
	fetch int64
}

// Network holds the nodes and the messages in transit between them.
type Network struct {
	Now    time.Time
	Nodes  []*Node
	config Config
	random *rand.Rand
	byName map[string]*Node
	queue  agenda.Agenda[delivery]
	// Changes counts member changes by status.
	Changes map[membership.Status]int
	// Messages counts messages sent.
	Messages int64
}

// newNetwork returns a network whose nodes know each other, as after a join.
func newNetwork(config Config) *Network {
	network := &Network{
		Now:     time.UnixMilli(1_800_000_000_000),
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 2)),
		byName:  map[string]*Node{},
		Changes: map[membership.Status]int{},
	}
	members := []membership.Member{}
	for index := range config.Nodes {
		members = append(members, membership.Member{
			Address:     fmt.Sprintf("10.0.%d.%d:8081", index/200, index%200),
			Zone:        fmt.Sprintf("zone-%d", index%max(1, config.Zones)),
			Incarnation: 1,
		})
	}
	for _, member := range members {
		network.add(member, members)
	}
	return network
}

func (network *Network) add(self membership.Member, known []membership.Member) *Node {
	random := rand.New(rand.NewPCG(network.random.Uint64(), 3))
	node := &Node{Address: self.Address, Zone: self.Zone, Up: true}
	node.Machine = membership.NewMachine(membership.DefaultConfig, self, []string{known[0].Address, known[len(known)-1].Address}, random)
	node.Machine.Merge(network.Now, known, nil)
	// The first ticks are spread so that nodes do not tick in step.
	node.nextTick = network.Now.Add(time.Duration(network.random.Int64N(int64(membership.DefaultConfig.Period))))
	if old, found := network.byName[self.Address]; found {
		*old = *node
		return old
	}
	network.byName[self.Address] = node
	network.Nodes = append(network.Nodes, node)
	return node
}

// Restart replaces a node by a new process that gets its view from another node.
func (network *Network) Restart(index int) {
	old := network.Nodes[index]
	self := membership.Member{Address: old.Address, Zone: old.Zone, Incarnation: uint64(network.Now.UnixMilli())}
	peer := network.Nodes[(index+1)%len(network.Nodes)]
	revision := peer.Revision
	node := network.add(self, peer.Machine.Members())
	node.Revision, node.AdoptedAt = revision, network.Now
	network.send(node, node.Machine.SetRevision(revision))
}

// Partition divides the network: messages reach only nodes of the same partition.
func (network *Network) Split(side func(index int) int) {
	for index, node := range network.Nodes {
		node.side = side(index)
	}
}

// ActivateRevision puts a revision in force at one node, as its watch would.
func (network *Network) Adopt(index int, revision int64) {
	network.adopt(network.Nodes[index], revision)
}

func (network *Network) adopt(node *Node, revision int64) {
	if revision <= node.Revision {
		return
	}
	node.Revision, node.AdoptedAt = revision, network.Now
	network.send(node, node.Machine.SetRevision(revision))
}

// BroadcastItem gossips an item from one node.
func (network *Network) Offer(index int, item membership.Item) {
	network.send(network.Nodes[index], network.Nodes[index].Machine.Offer(item))
}

// Run advances virtual time.
func (network *Network) Run(duration time.Duration) {
	end := network.Now.Add(duration)
	for network.Now.Before(end) {
		network.Now = network.Now.Add(membership.TickInterval)
		network.deliver()
		for _, node := range network.Nodes {
			if node.Up && !node.Paused && !node.nextTick.After(network.Now) {
				node.nextTick = network.Now.Add(membership.TickInterval)
				network.send(node, node.Machine.Tick(network.Now))
				network.synchronize(node)
			}
		}
	}
}

// synchronize compares a node's view with that of a random member and merges the
// other view if they differ, as real nodes do with a call.
func (network *Network) synchronize(node *Node) {
	if node.nextSync.After(network.Now) {
		return
	}
	node.nextSync = network.Now.Add(syncInterval/2 + time.Duration(network.random.Int64N(int64(syncInterval))))
	members := node.Machine.Members()
	partner := network.byName[members[network.random.IntN(len(members))].Address]
	if partner == node || partner.side != node.side || !partner.Up || partner.Paused {
		return
	}
	network.count(node, partner, digestBytes, digestBytes)
	if partner.Machine.Digest() == node.Machine.Digest() {
		return
	}
	answer := membership.Message{Members: partner.Machine.Members(), Items: partner.Machine.Items()}
	if network.config.CountBytes {
		network.count(partner, node, encodedLength(answer), 0)
	}
	network.send(node, node.Machine.Merge(network.Now, answer.Members, answer.Items))
}

// countBytes adds the bytes of a call to the counters of both nodes.
func (network *Network) count(from, to *Node, there, back int64) {
	from.Sent += there
	to.Received += there
	to.Sent += back
	from.Received += back
}

// deliver delivers all messages due before the next tick, in order.
func (network *Network) deliver() {
	horizon := network.Now
	for {
		entry, due := network.queue.Due(horizon)
		if !due {
			break
		}
		next := entry.Item
		node := network.byName[next.message.To]
		if !node.Up {
			continue
		}
		if node.Paused {
			// The kernel buffers the datagram until the process resumes.
			network.queue.Add(horizon.Add(membership.TickInterval), next)
			continue
		}
		network.Now = entry.At
		node.Received += next.bytes
		if next.fetch > 0 {
			network.adopt(node, next.fetch)
			continue
		}
		network.send(node, node.Machine.Receive(entry.At, next.message))
	}
	network.Now = horizon
}

func (network *Network) send(node *Node, output membership.Output) {
	for _, message := range output.Messages {
		network.post(node, message)
	}
	for _, change := range output.Changes {
		if change.Member != nil {
			network.Changes[change.Member.Status]++
		}
		if change.Revision > node.Revision {
			network.fetch(node, change)
		}
	}
}

// fetch simulates the call that reads a configuration from a peer: a request and
// a response over a reliable connection.
func (network *Network) fetch(node *Node, change membership.Change) {
	if peer, found := network.byName[change.From]; !found || peer.side != node.side || !peer.Up || peer.Paused {
		return
	}
	network.queue.Add(network.Now.Add(2*network.config.Delay), delivery{
		message: membership.Message{From: change.From, To: node.Address}, fetch: change.Revision,
	})
}

func (network *Network) post(node *Node, message membership.Message) {
	network.Messages++
	bytes := int64(0)
	if network.config.CountBytes {
		bytes = encodedLength(message)
	}
	node.Sent += bytes
	target, found := network.byName[message.To]
	if !found || target.side != node.side || network.random.Float64() < network.config.Loss {
		return
	}
	network.queue.Add(network.Now.Add(network.config.Delay), delivery{message: message, bytes: bytes})
}

func encodedLength(message membership.Message) int64 {
	var data bytes.Buffer
	if gob.NewEncoder(&data).Encode(message) != nil {
		return 0
	}
	return int64(data.Len() + datagramOverhead)
}

// CountWithStatus returns the number of nodes in whose view the member has the
// status.
func (network *Network) Believed(address string, status membership.Status) int {
	count := 0
	for _, node := range network.Nodes {
		if !node.Up || node.Address == address {
			continue
		}
		for _, member := range node.Machine.Members() {
			if member.Address == address && member.Status == status {
				count++
			}
		}
	}
	return count
}
