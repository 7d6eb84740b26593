package membership

import (
	"math"
	"sort"
)

// broadcast is a member's record or an item that is still to be gossiped.
type news struct {
	member *Member
	item   *Item
	sends  int
}

func (machine *Machine) announce() {
	self := machine.self
	machine.tell("member/"+self.Address, &news{member: &self})
}

func (machine *Machine) tell(key string, told *news) {
	machine.news[key] = told
}

// gossipMessages returns gossip for a few random members, to be sent immediately
// rather than with the next probe.
func (machine *Machine) urgent() []Message {
	messages := []Message{}
	for _, address := range machine.sample(machine.config.Fanout, "") {
		messages = append(messages, machine.message(Gossip, address, 0))
	}
	return messages
}

// newMessage returns a message with the broadcasts transmitted least often. It
// always includes the sender's own record, so that a receiver that missed a
// refutation is corrected by the next message.
func (machine *Machine) message(kind Kind, to string, sequence uint64) Message {
	message := Message{Kind: kind, From: machine.self.Address, To: to, Sequence: sequence, Revision: machine.revision}
	message.Members = append(message.Members, machine.self)
	keys := make([]string, 0, len(machine.news))
	for key := range machine.news {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		first, second := machine.news[keys[i]], machine.news[keys[j]]
		if first.sends != second.sends {
			return first.sends < second.sends
		}
		return keys[i] < keys[j]
	})
	limit := int(math.Ceil(float64(machine.config.Retransmit) * machine.magnitude()))
	for _, key := range keys[:min(len(keys), machine.config.ItemsPerMessage)] {
		told := machine.news[key]
		if told.member != nil {
			message.Members = append(message.Members, *told.member)
		} else {
			message.Items = append(message.Items, *told.item)
		}
		told.sends++
		if told.sends >= limit {
			delete(machine.news, key)
		}
	}
	return message
}
