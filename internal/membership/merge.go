package membership

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Merge applies a complete view received from a peer, as after a join. Its
// contents are not gossiped: the peer's fleet knows them already, and a joining
// node that gossiped every member would send a hundred times its usual traffic.
func (machine *Machine) Merge(now time.Time, members []Member, items []Item) Output {
	output := Output{}
	before := machine.news
	machine.news = map[string]*news{}
	machine.take(now, members, items, &output)
	own := "member/" + machine.self.Address
	if told, found := machine.news[own]; found {
		before[own] = told
	}
	machine.news = before
	return output
}

// Digest returns a value that is equal for two machines with the same live
// members and the same items. It ignores suspicion, which is transient.
func (machine *Machine) Digest() uint64 {
	digest := uint64(0)
	for _, member := range machine.Members() {
		if member.Status < Dead {
			digest ^= xxhash.Sum64String(fmt.Sprint("member ", member.Address, member.Incarnation, member.Draining))
		}
	}
	for _, item := range machine.items {
		digest ^= xxhash.Sum64String(fmt.Sprint("item ", item.Key, item.Version))
	}
	return digest
}

// attachSuspicion adds a member's record to the ack sent to it, unless the member
// is believed alive. It can then refute the record, even if that is no longer
// gossiped.
func (machine *Machine) tellSuspect(address string, answer *Message) {
	if known, found := machine.members[address]; found && known.member.Status != Alive {
		answer.Members = append(answer.Members, known.member)
	}
}

// apply merges received members and items into the view. It ignores records that
// are not newer than the current ones.
func (machine *Machine) take(now time.Time, members []Member, items []Item, output *Output) {
	urgent := false
	for _, member := range members {
		if member.Address == machine.self.Address {
			urgent = machine.defend(member) || urgent
			continue
		}
		known, found := machine.members[member.Address]
		if found && !newer(member, known.member) {
			continue
		}
		if !found && member.Status >= Dead {
			// The death of an unknown member is not recorded: nodes would otherwise
			// pass records of dead members to each other forever.
			continue
		}
		machine.members[member.Address] = &entry{member: member, since: now}
		machine.tell("member/"+member.Address, &news{member: &member})
		output.Changes = append(output.Changes, Change{Member: &member})
	}
	for _, item := range items {
		if machine.keepItem(item) {
			urgent = true
			output.Changes = append(output.Changes, Change{Item: &item})
		}
	}
	if urgent {
		output.Messages = append(output.Messages, machine.urgent()...)
	}
}

// supersedes reports whether a received record is newer than the current one.
func newer(statement, known Member) bool {
	if statement.Incarnation != known.Incarnation {
		return statement.Incarnation > known.Incarnation
	}
	return statement.Status > known.Status
}

// refute handles a record of this node received from others. If that contradicts
// the node's own record, it raises the incarnation and reports true.
func (machine *Machine) defend(statement Member) bool {
	stale := statement.Incarnation < machine.self.Incarnation ||
		(statement.Incarnation == machine.self.Incarnation && statement.Status <= machine.self.Status)
	if stale || machine.self.Status == Left {
		return false
	}
	machine.self.Incarnation = statement.Incarnation + 1
	machine.announce()
	return true
}

func (machine *Machine) keepItem(item Item) bool {
	if held, found := machine.items[item.Key]; found && held.Version >= item.Version {
		return false
	}
	machine.items[item.Key] = item
	machine.tell("item/"+item.Key, &news{item: &item})
	return true
}
