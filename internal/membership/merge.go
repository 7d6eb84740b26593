package membership

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Merge takes a whole view from a peer, as after a join. What it brings is not
// passed on as news: the peer's fleet knows it, and a joining node that told
// everyone about everyone would cost a hundred times its steady rate.
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

// Digest is equal for two machines that believe the same of all who live, and
// hold the same items. Suspicion does not count: it passes.
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

// tellSuspect makes sure that a member hears what is said of it, so that it can
// refute, even when that news is no longer passed around.
func (machine *Machine) tellSuspect(address string, answer *Message) {
	if known, found := machine.members[address]; found && known.member.Status != Alive {
		answer.Members = append(answer.Members, known.member)
	}
}

// take merges statements. A statement that is not newer is ignored: it was
// either seen before or is overridden.
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
			// A stranger's death changes nothing here, and keeping it would make
			// the memory of the dead go round for ever.
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

func newer(statement, known Member) bool {
	if statement.Incarnation != known.Incarnation {
		return statement.Incarnation > known.Incarnation
	}
	return statement.Status > known.Status
}

// defend refutes what others say of this node.
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
