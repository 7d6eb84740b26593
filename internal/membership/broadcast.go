package membership

import (
	"math"
	"sort"
)

// broadcast is a member's record or an item that is still to be gossiped.
type broadcast struct {
	member    *Member
	item      *Item
	transmits int
}

func (machine *Machine) broadcastSelf() {
	self := machine.self
	machine.queueBroadcast("member/"+self.Address, &broadcast{member: &self})
}

func (machine *Machine) queueBroadcast(key string, b *broadcast) {
	machine.broadcasts[key] = b
}

// gossipMessages returns gossip for a few random members, to be sent immediately
// rather than with the next probe.
func (machine *Machine) gossipMessages() []Message {
	messages := []Message{}
	for _, address := range machine.sampleReachable(machine.config.Fanout, "") {
		messages = append(messages, machine.newMessage(Gossip, address, 0))
	}
	return messages
}

// newMessage returns a message with the broadcasts transmitted least often. It
// always includes the sender's own record, so that a receiver that missed a
// refutation is corrected by the next message.
func (machine *Machine) newMessage(kind Kind, to string, sequence uint64) Message {
	message := Message{Kind: kind, From: machine.self.Address, To: to, Sequence: sequence, Revision: machine.revision}
	message.Members = append(message.Members, machine.self)
	keys := make([]string, 0, len(machine.broadcasts))
	for key := range machine.broadcasts {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		first, second := machine.broadcasts[keys[i]], machine.broadcasts[keys[j]]
		if first.transmits != second.transmits {
			return first.transmits < second.transmits
		}
		return keys[i] < keys[j]
	})
	limit := int(math.Ceil(float64(machine.config.RetransmitFactor) * machine.logSize()))
	for _, key := range keys[:min(len(keys), machine.config.MaxBroadcastsPerMessage)] {
		b := machine.broadcasts[key]
		if b.member != nil {
			message.Members = append(message.Members, *b.member)
		} else {
			message.Items = append(message.Items, *b.item)
		}
		b.transmits++
		if b.transmits >= limit {
			delete(machine.broadcasts, key)
		}
	}
	return message
}
