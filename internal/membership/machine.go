package membership

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// TickInterval is how often drivers call Tick.
const TickInterval = 100 * time.Millisecond

type entry struct {
	member Member
	since  time.Time
}

// Machine is one node's view.
type Machine struct {
	config   Config
	random   *rand.Rand
	self     Member
	seeds    []string
	revision int64

	members  map[string]*entry
	items    map[string]Item
	order    []string
	news     map[string]*news
	sequence uint64
	probe    *probe
	relays   map[uint64]relay
	lastTick time.Time
	nextAt   time.Time
	periods  int
}

// NewMachine returns the machine of a node. The incarnation must be above that
// of an earlier process at the address; a start time in milliseconds is.
func NewMachine(config Config, self Member, seeds []string, random *rand.Rand) *Machine {
	machine := &Machine{
		config:  config,
		random:  random,
		self:    self,
		seeds:   seeds,
		members: map[string]*entry{},
		items:   map[string]Item{},
		news:    map[string]*news{},
		relays:  map[uint64]relay{},
	}
	machine.announce()
	return machine
}

// Self returns what this node says of itself.
func (machine *Machine) Self() Member { return machine.self }

// Members lists this node and all others that are known, by address.
func (machine *Machine) Members() []Member {
	members := []Member{machine.self}
	for _, known := range machine.members {
		members = append(members, known.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Address < members[j].Address })
	return members
}

// SetRevision tells the machine the revision of the configuration in force; a
// higher one is passed on at once.
func (machine *Machine) SetRevision(revision int64) Output {
	if revision <= machine.revision {
		return Output{}
	}
	machine.revision = revision
	return Output{Messages: machine.urgent()}
}

// Offer spreads an item that this node made.
func (machine *Machine) Offer(item Item) Output {
	if !machine.keepItem(item) {
		return Output{}
	}
	return Output{Messages: machine.urgent()}
}

// Drain announces that this node wants no new work.
func (machine *Machine) Drain() Output {
	machine.self.Draining = true
	machine.self.Incarnation++
	machine.announce()
	return Output{Messages: machine.urgent()}
}

// Leave announces the end of this node.
func (machine *Machine) Leave() Output {
	machine.self.Status = Left
	machine.announce()
	return Output{Messages: machine.urgent()}
}

// Items lists all items held, by key.
func (machine *Machine) Items() []Item {
	items := make([]Item, 0, len(machine.items))
	for _, item := range machine.items {
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// Tick advances time.
func (machine *Machine) Tick(now time.Time) Output {
	output := Output{}
	if !machine.lastTick.IsZero() && now.Sub(machine.lastTick) > machine.config.PauseLimit {
		machine.resume(now, &output)
	}
	machine.lastTick = now
	machine.expire(now, &output)
	machine.probeIndirectly(now, &output)
	if !now.Before(machine.nextAt) {
		machine.nextAt = now.Add(machine.config.Period)
		machine.endProbe(now, &output)
		machine.startProbe(now, &output)
	}
	return output
}

// resume handles a pause of this node itself. Its own timers say nothing about
// others then, and others may have declared it dead.
func (machine *Machine) resume(now time.Time, output *Output) {
	machine.probe = nil
	for _, known := range machine.members {
		known.since = now
	}
	machine.self.Incarnation++
	machine.announce()
	output.Messages = append(output.Messages, machine.urgent()...)
	output.Changes = append(output.Changes, Change{Resumed: true})
}

func (machine *Machine) expire(now time.Time, output *Output) {
	for address, known := range machine.members {
		switch {
		case known.member.Status == Suspect && now.Sub(known.since) >= machine.suspicion():
			dead := known.member
			dead.Status = Dead
			machine.take(now, []Member{dead}, nil, output)
		case known.member.Status >= Dead && now.Sub(known.since) >= machine.config.ForgetAfter:
			delete(machine.members, address)
			delete(machine.news, "member/"+address)
		}
	}
	for sequence, pending := range machine.relays {
		if now.After(pending.expires) {
			delete(machine.relays, sequence)
		}
	}
}

func (machine *Machine) suspicion() time.Duration {
	return time.Duration(float64(machine.config.SuspicionPeriods)*machine.magnitude()) * machine.config.Period
}

// magnitude is log10 of the size, at least 1: how far news has to travel.
func (machine *Machine) magnitude() float64 {
	return math.Max(1, math.Log10(float64(len(machine.members)+1)))
}

// Receive takes one message.
func (machine *Machine) Receive(now time.Time, message Message) Output {
	output := Output{}
	machine.take(now, message.Members, message.Items, &output)
	if message.Revision > machine.revision {
		output.Changes = append(output.Changes, Change{Revision: message.Revision, From: message.From})
	}
	switch message.Kind {
	case Ping:
		answer := machine.message(Ack, message.From, message.Sequence)
		machine.tellSuspect(message.From, &answer)
		output.Messages = append(output.Messages, answer)
	case PingRequest:
		sequence := machine.nextSequence()
		machine.relays[sequence] = relay{origin: message.From, sequence: message.Sequence, expires: now.Add(machine.config.Period)}
		output.Messages = append(output.Messages, machine.message(Ping, message.Target, sequence))
	case Ack:
		machine.acknowledged(message, &output)
	}
	return output
}
