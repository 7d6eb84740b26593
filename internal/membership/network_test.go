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
	ActivatedAt time.Time
	// Up is false while the node is down; Paused is true while it is suspended.
	Up     bool
	Paused bool
	// Sent and Received count bytes.
	Sent      int64
	Received  int64
	partition int
	nextTick  time.Time
	nextSync  time.Time
}

type delivery struct {
	message membership.Message
	bytes   int64
	// fetch is the revision that a configuration response brings, or 0.
	fetch int64
}

// Network holds the nodes and the messages in transit between them.
type Network struct {
	Now       time.Time
	Nodes     []*Node
	config    Config
	random    *rand.Rand
	byAddress map[string]*Node
	queue     agenda.Queue[delivery]
	// Changes counts member changes by status.
	Changes map[membership.Status]int
	// Messages counts messages sent.
	Messages int64
}

// newNetwork returns a network whose nodes know each other, as after a join.
func newNetwork(config Config) *Network {
	network := &Network{
		Now:       time.UnixMilli(1_800_000_000_000),
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, 2)),
		byAddress: map[string]*Node{},
		Changes:   map[membership.Status]int{},
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
	if old, found := network.byAddress[self.Address]; found {
		*old = *node
		return old
	}
	network.byAddress[self.Address] = node
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
	node.Revision, node.ActivatedAt = revision, network.Now
	network.send(node, node.Machine.SetRevision(revision))
}

// Partition divides the network: messages reach only nodes of the same partition.
func (network *Network) Partition(partitionOf func(index int) int) {
	for index, node := range network.Nodes {
		node.partition = partitionOf(index)
	}
}

// ActivateRevision puts a revision in force at one node, as its watch would.
func (network *Network) ActivateRevision(index int, revision int64) {
	network.activateRevision(network.Nodes[index], revision)
}

func (network *Network) activateRevision(node *Node, revision int64) {
	if revision <= node.Revision {
		return
	}
	node.Revision, node.ActivatedAt = revision, network.Now
	network.send(node, node.Machine.SetRevision(revision))
}

// BroadcastItem gossips an item from one node.
func (network *Network) BroadcastItem(index int, item membership.Item) {
	network.send(network.Nodes[index], network.Nodes[index].Machine.BroadcastItem(item))
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
	partner := network.byAddress[members[network.random.IntN(len(members))].Address]
	if partner == node || partner.partition != node.partition || !partner.Up || partner.Paused {
		return
	}
	network.countBytes(node, partner, digestBytes, digestBytes)
	if partner.Machine.Digest() == node.Machine.Digest() {
		return
	}
	response := membership.Message{Members: partner.Machine.Members(), Items: partner.Machine.Items()}
	if network.config.CountBytes {
		network.countBytes(partner, node, encodedLength(response), 0)
	}
	network.send(node, node.Machine.Merge(network.Now, response.Members, response.Items))
}

// countBytes adds the bytes of a call to the counters of both nodes.
func (network *Network) countBytes(from, to *Node, requestBytes, responseBytes int64) {
	from.Sent += requestBytes
	to.Received += requestBytes
	to.Sent += responseBytes
	from.Received += responseBytes
}

// deliver delivers all messages due before the next tick, in order.
func (network *Network) deliver() {
	horizon := network.Now
	for {
		entry, due := network.queue.PopUntil(horizon)
		if !due {
			break
		}
		next := entry.Item
		node := network.byAddress[next.message.To]
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
			network.activateRevision(node, next.fetch)
			continue
		}
		network.send(node, node.Machine.Receive(entry.At, next.message))
	}
	network.Now = horizon
}

func (network *Network) send(node *Node, output membership.Output) {
	for _, message := range output.Messages {
		network.postMessage(node, message)
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
	if peer, found := network.byAddress[change.From]; !found || peer.partition != node.partition || !peer.Up || peer.Paused {
		return
	}
	network.queue.Add(network.Now.Add(2*network.config.Delay), delivery{
		message: membership.Message{From: change.From, To: node.Address}, fetch: change.Revision,
	})
}

func (network *Network) postMessage(node *Node, message membership.Message) {
	network.Messages++
	bytes := int64(0)
	if network.config.CountBytes {
		bytes = encodedLength(message)
	}
	node.Sent += bytes
	target, found := network.byAddress[message.To]
	if !found || target.partition != node.partition || network.random.Float64() < network.config.Loss {
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
func (network *Network) CountWithStatus(address string, status membership.Status) int {
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
