// Package membership implements SWIM failure detection: random probes, indirect
// probes, suspicion before a member is declared dead, and gossip piggybacked on
// these messages.
//
// Machine is a pure state machine: its inputs are ticks and messages with a time,
// its outputs messages and changes. It has no clock, goroutine, socket or log.
package membership

import "time"

// Status is the believed state of a member.
type Status uint8

// The statuses. At the same incarnation, a later one overrides an earlier one.
const (
	Alive Status = iota
	Suspect
	Dead
	// Left means that the member announced its shutdown.
	Left
)

// String returns the name of the status as shown to operators.
func (status Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[status]
}

// Member is the record of one node.
type Member struct {
	// Address is the member's peer address and its identity.
	Address string
	Zone    string
	// Incarnation orders records of the member. Only the member itself raises it.
	Incarnation uint64
	Status      Status
	// Draining is set while the member finishes its work and accepts no new work.
	Draining bool
}

// Item is a piece of state distributed by gossip. The higher version wins.
type Item struct {
	Key     string
	Version uint64
	Data    []byte
}

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping the target on the sender's behalf.
	PingRequest
	// Gossip carries broadcasts and is not answered.
	Gossip
)

// Message is one datagram between nodes.
type Message struct {
	Kind     Kind
	From     string
	To       string
	Sequence uint64
	// Target is the member that the receiver of a PingRequest should ping.
	Target string
	// Revision is the configuration revision in force at the sender.
	Revision int64
	Members  []Member
	Items    []Item
}

// Change is an event that the driver acts on.
type Change struct {
	// Member is set when a member's status or draining changed.
	Member *Member
	// Item is set when a newer item was received.
	Item *Item
	// Revision is above 0 when From has a higher configuration revision.
	Revision int64
	From     string
	// Resumed is set when this node was paused for so long that others may have
	// declared it dead: it must not act on anything that it owned before.
	Resumed bool
}

// Output holds the messages to send and the changes to act on after one step.
type Output struct {
	Messages []Message
	Changes  []Change
}

// Config holds the protocol parameters.
type Config struct {
	// Period is the probe interval.
	Period time.Duration
	// AckTimeout is the time without an ack after which indirect probes are sent.
	AckTimeout time.Duration
	// IndirectProbes is the number of members asked to probe indirectly.
	Indirect int
	// SuspicionFactor times log10 of the fleet size is the number of periods in
	// which a suspect may refute the suspicion.
	SuspicionPeriods int
	// RetransmitFactor times log10 of the fleet size is the number of times that a
	// broadcast is transmitted.
	Retransmit int
	// MaxBroadcastsPerMessage bounds the number of broadcasts in one message.
	ItemsPerMessage int
	// Fanout is the number of members to which urgent updates are sent immediately.
	Fanout int
	// PauseThreshold is the gap between ticks above which this node counts as
	// paused.
	PauseLimit time.Duration
	// DeadRetention is the time that the records of dead members are kept.
	ForgetAfter time.Duration
}

// DefaultConfig probes once per second. Its traffic per node does not grow between
// 10 and 340 nodes.
var DefaultConfig = Config{
	Period:           time.Second,
	AckTimeout:       300 * time.Millisecond,
	Indirect:         3,
	SuspicionPeriods: 4,
	Retransmit:       3,
	ItemsPerMessage:  8,
	Fanout:           3,
	PauseLimit:       3 * time.Second,
	ForgetAfter:      10 * time.Minute,
}
