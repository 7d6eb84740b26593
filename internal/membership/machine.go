package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TickInterval is how often drivers call Tick.
const TickInterval = 100 * time.Millisecond

// rejoinEvery is how many periods pass between probes of a member believed
// dead, so that the two sides of a healed partition find each other again.
const rejoinEvery = 5

type entry struct {
	member Member
	since  time.Time
}

type news struct {
	member *Member
	item   *Item
	sends  int
}

type probe struct {
	target   string
	sequence uint64
	started  time.Time
	indirect bool
}

type relay struct {
	origin   string
	sequence uint64
	expires  time.Time
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

// nextTarget goes through all members in a shuffled round, so that each is
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

// reachable lists the members not believed dead, but for one, in a fixed order.
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
	// A second direct probe costs one message and halves the harm of its loss.
	output.Messages = append(output.Messages, machine.message(Ping, probe.target, probe.sequence))
}

func (machine *Machine) sample(count int, but string) []string {
	addresses := machine.reachable(but)
	machine.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

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
		// The suspect is the one who can refute, so it hears first.
		output.Messages = append(output.Messages, machine.accuse(suspect))
	}
}

// accuse pings a suspect with what is said of it.
func (machine *Machine) accuse(suspect Member) Message {
	message := machine.message(Ping, suspect.Address, machine.nextSequence())
	message.Members = append(message.Members, suspect)
	return message
}

// accuseOldest pings the suspect that would be declared dead next. Without it a
// suspicion whose refutation was lost would ripen into a death at 20 % loss.
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

// tellSuspect makes sure that a member hears what is said of it, so that it can
// refute, even when that news is no longer passed around.
func (machine *Machine) tellSuspect(address string, answer *Message) {
	if known, found := machine.members[address]; found && known.member.Status != Alive {
		answer.Members = append(answer.Members, known.member)
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

func (machine *Machine) announce() {
	self := machine.self
	machine.tell("member/"+self.Address, &news{member: &self})
}

func (machine *Machine) tell(key string, told *news) {
	machine.news[key] = told
}

// urgent sends gossip to a few members at once, ahead of the next probe.
func (machine *Machine) urgent() []Message {
	messages := []Message{}
	for _, address := range machine.sample(machine.config.Fanout, "") {
		messages = append(messages, machine.message(Gossip, address, 0))
	}
	return messages
}

// message fills a message with the news told least often. The sender's own
// record is always in it, so that whoever missed a refutation is put right by
// the next contact.
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
