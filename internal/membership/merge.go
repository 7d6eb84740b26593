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
	queued := machine.broadcasts
	machine.broadcasts = map[string]*broadcast{}
	machine.apply(now, members, items, &output)
	selfKey := "member/" + machine.self.Address
	if b, found := machine.broadcasts[selfKey]; found {
		queued[selfKey] = b
	}
	machine.broadcasts = queued
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
func (machine *Machine) attachSuspicion(address string, ack *Message) {
	if known, found := machine.members[address]; found && known.member.Status != Alive {
		ack.Members = append(ack.Members, known.member)
	}
}

// apply merges received members and items into the view. It ignores records that
// are not newer than the current ones.
func (machine *Machine) apply(now time.Time, members []Member, items []Item, output *Output) {
	gossipNow := false
	for _, member := range members {
		if member.Address == machine.self.Address {
			gossipNow = machine.refute(member) || gossipNow
			continue
		}
		current, found := machine.members[member.Address]
		if found && !supersedes(member, current.member) {
			continue
		}
		if !found && member.Status >= Dead {
			// The death of an unknown member is not recorded: nodes would otherwise
			// pass records of dead members to each other forever.
			continue
		}
		machine.members[member.Address] = &entry{member: member, changedAt: now}
		machine.queueBroadcast("member/"+member.Address, &broadcast{member: &member})
		output.Changes = append(output.Changes, Change{Member: &member})
	}
	for _, item := range items {
		if machine.storeItem(item) {
			gossipNow = true
			output.Changes = append(output.Changes, Change{Item: &item})
		}
	}
	if gossipNow {
		output.Messages = append(output.Messages, machine.gossipMessages()...)
	}
}

// supersedes reports whether a received record is newer than the current one.
func supersedes(record, current Member) bool {
	if record.Incarnation != current.Incarnation {
		return record.Incarnation > current.Incarnation
	}
	return record.Status > current.Status
}

// refute handles a record of this node received from others. If that contradicts
// the node's own record, it raises the incarnation and reports true.
func (machine *Machine) refute(record Member) bool {
	stale := record.Incarnation < machine.self.Incarnation ||
		(record.Incarnation == machine.self.Incarnation && record.Status <= machine.self.Status)
	if stale || machine.self.Status == Left {
		return false
	}
	machine.self.Incarnation = record.Incarnation + 1
	machine.broadcastSelf()
	return true
}

func (machine *Machine) storeItem(item Item) bool {
	if current, found := machine.items[item.Key]; found && current.Version >= item.Version {
		return false
	}
	machine.items[item.Key] = item
	machine.queueBroadcast("item/"+item.Key, &broadcast{item: &item})
	return true
}
