// Package membership finds out which nodes live, by SWIM: random probes with
// indirect probes and suspicion before death, and gossip that rides on them.
//
// Machine is a pure state machine: ticks and messages go in with a time,
// messages and changes come out. It has no clock, goroutine, socket or log.
package membership

import "time"

// Status is what is believed of a member.
type Status uint8

// The statuses, in the order in which they override each other at the same
// incarnation.
const (
	Alive Status = iota
	Suspect
	Dead
	// Left is a death that the member announced itself.
	Left
)

// String names the status as operators see it.
func (status Status) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[status]
}

// Member is what is known of one node.
type Member struct {
	// Address is the member's peer address and its identity.
	Address string
	Zone    string
	// Incarnation orders statements about the member. Only the member itself
	// raises it.
	Incarnation uint64
	Status      Status
	// Draining says that the member finishes its work and wants no new one.
	Draining bool
}

// Item is a piece of state that rides on gossip. The higher version wins.
type Item struct {
	Key     string
	Version uint64
	Data    []byte
}

// Kind tells messages apart.
type Kind uint8

// The kinds of messages.
const (
	// Ping asks for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping.
	Ack
	// PingRequest asks the receiver to ping the target on the sender's behalf.
	PingRequest
	// Gossip carries news and wants no answer.
	Gossip
)

// Message is what nodes send each other, one datagram each.
type Message struct {
	Kind     Kind
	From     string
	To       string
	Sequence uint64
	// Target is whom a PingRequest is about.
	Target string
	// Revision is the sender's revision of the configuration.
	Revision int64
	Members  []Member
	Items    []Item
}

// Change is news that the driver acts on.
type Change struct {
	// Member is set when a member's status or draining changed.
	Member *Member
	// Item is set when a newer item was learned.
	Item *Item
	// Revision is above 0 when From has a higher revision of the configuration.
	Revision int64
	From     string
	// Resumed is set when this node was paused so long that others may have
	// declared it dead: it must not act on anything it owned before.
	Resumed bool
}

// Output is what one step produced.
type Output struct {
	Messages []Message
	Changes  []Change
}

// Config sets the pace.
type Config struct {
	// Period is the time between probes.
	Period time.Duration
	// AckTimeout is how long a direct probe waits before indirect ones.
	AckTimeout time.Duration
	// Indirect is how many members are asked to probe indirectly.
	Indirect int
	// SuspicionPeriods times log10 of the size is how long a suspect may refute.
	SuspicionPeriods int
	// Retransmit times log10 of the size is how often news is passed on.
	Retransmit int
	// ItemsPerMessage bounds each message.
	ItemsPerMessage int
	// Fanout is how many members hear urgent news at once.
	Fanout int
	// PauseLimit is the gap between ticks that counts as a pause.
	PauseLimit time.Duration
	// ForgetAfter is how long the dead are remembered.
	ForgetAfter time.Duration
}

// DefaultConfig holds one second's pace, flat in bytes from 10 to 340 nodes.
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
