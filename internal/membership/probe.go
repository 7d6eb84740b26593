package membership

import (
	"sort"
	"time"
)

// rejoinPeriods is the number of periods between probes of a member believed
// dead, which let the two sides of a healed partition find each other again.
const rejoinEvery = 5

// probe is the direct probe of the current period.
type probe struct {
	target   string
	sequence uint64
	started  time.Time
	indirect bool
}

// relay is an indirect probe that this node makes on behalf of origin.
type relay struct {
	origin   string
	sequence uint64
	expires  time.Time
}

func (machine *Machine) startProbe(now time.Time, output *Output) {
	machine.periods++
	machine.accuseOldest(output)
	if machine.periods%rejoinEvery == 1 {
		if lost := machine.lostAddress(); lost != "" {
			output.Messages = append(output.Messages, machine.message(Ping, lost, machine.nextSequence()))
		}
	}
	target := machine.nextTarget()
	if target == "" {
		return
	}
	machine.probe = &probe{target: target, sequence: machine.nextSequence(), started: now}
	output.Messages = append(output.Messages, machine.message(Ping, target, machine.probe.sequence))
}

func (machine *Machine) nextSequence() uint64 {
	machine.sequence++
	return machine.sequence
}

// nextTarget returns the members in rounds of shuffled order, so that each is
// probed within a bounded time.
func (machine *Machine) nextTarget() string {
	for range 2 {
		for len(machine.order) > 0 {
			target := machine.order[0]
			machine.order = machine.order[1:]
			if known, found := machine.members[target]; found && known.member.Status < Dead {
				return target
			}
		}
		machine.order = machine.reachable("")
		machine.random.Shuffle(len(machine.order), func(i, j int) {
			machine.order[i], machine.order[j] = machine.order[j], machine.order[i]
		})
	}
	return ""
}

// reachable returns the members not believed dead, except one, ordered by address.
func (machine *Machine) reachable(but string) []string {
	addresses := []string{}
	for address, known := range machine.members {
		if known.member.Status < Dead && address != but {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	return addresses
}

// randomLostAddress returns the address of a random member believed dead or of a
// seed that is not a known member, or "" if there is none.
func (machine *Machine) lostAddress() string {
	lost := []string{}
	for _, seed := range machine.seeds {
		if _, known := machine.members[seed]; !known && seed != machine.self.Address {
			lost = append(lost, seed)
		}
	}
	for address, known := range machine.members {
		if known.member.Status == Dead {
			lost = append(lost, address)
		}
	}
	if len(lost) == 0 {
		return ""
	}
	sort.Strings(lost)
	return lost[machine.random.IntN(len(lost))]
}

func (machine *Machine) probeIndirectly(now time.Time, output *Output) {
	probe := machine.probe
	if probe == nil || probe.indirect || now.Sub(probe.started) < machine.config.AckTimeout {
		return
	}
	probe.indirect = true
	for _, helper := range machine.sample(machine.config.Indirect, probe.target) {
		message := machine.message(PingRequest, helper, probe.sequence)
		message.Target = probe.target
		output.Messages = append(output.Messages, message)
	}
	// A second direct probe costs one message and halves the effect of losing the
	// first.
	output.Messages = append(output.Messages, machine.message(Ping, probe.target, probe.sequence))
}

func (machine *Machine) sample(count int, but string) []string {
	addresses := machine.reachable(but)
	machine.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// endProbe marks the target as suspect if it did not answer within the period.
func (machine *Machine) endProbe(now time.Time, output *Output) {
	probe := machine.probe
	machine.probe = nil
	if probe == nil {
		return
	}
	if known, found := machine.members[probe.target]; found && known.member.Status == Alive {
		suspect := known.member
		suspect.Status = Suspect
		machine.take(now, []Member{suspect}, nil, output)
		// Only the suspect can refute the suspicion, so it is informed first.
		output.Messages = append(output.Messages, machine.accuse(suspect))
	}
}

// pingSuspect returns a ping that informs a suspect of its suspicion.
func (machine *Machine) accuse(suspect Member) Message {
	message := machine.message(Ping, suspect.Address, machine.nextSequence())
	message.Members = append(message.Members, suspect)
	return message
}

// pingOldestSuspect pings the suspect that would be declared dead next. Otherwise,
// at 20 % loss, live members whose refutation was lost would be declared dead.
func (machine *Machine) accuseOldest(output *Output) {
	var oldest *entry
	for _, known := range machine.members {
		if known.member.Status != Suspect {
			continue
		}
		earlier := oldest == nil || known.since.Before(oldest.since)
		tied := oldest != nil && known.since.Equal(oldest.since) && known.member.Address < oldest.member.Address
		if earlier || tied {
			oldest = known
		}
	}
	if oldest != nil {
		output.Messages = append(output.Messages, machine.accuse(oldest.member))
	}
}

func (machine *Machine) acknowledged(message Message, output *Output) {
	if machine.probe != nil && machine.probe.sequence == message.Sequence {
		machine.probe = nil
		return
	}
	if pending, found := machine.relays[message.Sequence]; found {
		delete(machine.relays, message.Sequence)
		output.Messages = append(output.Messages, machine.message(Ack, pending.origin, pending.sequence))
	}
}
