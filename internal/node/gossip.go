package node

import (
	"bytes"
	"context"
	"encoding/gob"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloverrail/cloverrail/internal/boottime"
	"github.com/cloverrail/cloverrail/internal/endpoint"
	"github.com/cloverrail/cloverrail/internal/membership"
	"github.com/cloverrail/cloverrail/internal/metrics"
	"github.com/cloverrail/cloverrail/internal/peer"
)

const endpointItemPrefix = "endpoint/"

// gossip drives the membership state machine.
type gossip struct {
	mutex     sync.Mutex
	machine   *membership.Machine
	datagrams *peer.DatagramConn[membership.Message]
	onChange  func(membership.Change)
	metrics   *metrics.Set
	// lastTick is the time of the machine's last tick on the boot-time clock; nil
	// before the first one.
	lastTick atomic.Pointer[time.Time]
	// liveMembers caches the members that are neither dead nor draining.
	liveMembers atomic.Pointer[[]membership.Member]
}

func newGossip(address, zone string, seeds []string, credentials *peer.Credentials, blocked func(string) bool, set *metrics.Set) (*gossip, error) {
	datagrams, err := peer.ListenDatagrams[membership.Message](address, credentials, blocked)
	if err != nil {
		return nil, err
	}
	// A process started later on the same address gets a higher incarnation.
	self := membership.Member{Address: address, Zone: zone, Incarnation: uint64(time.Now().UnixMilli())}
	random := rand.New(rand.NewPCG(self.Incarnation, rand.Uint64()))
	g := &gossip{
		machine:   membership.NewMachine(membership.DefaultConfig, self, seeds, random),
		datagrams: datagrams,
		metrics:   set,
	}
	g.updateLive()
	return g, nil
}

// run ticks the machine and receives messages until the context ends.
func (gossip *gossip) run(ctx context.Context) {
	go gossip.datagrams.Receive(func(message membership.Message) {
		gossip.apply(func(machine *membership.Machine) membership.Output { return machine.Receive(boottime.Now(), message) })
	})
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		gossip.apply(func(machine *membership.Machine) membership.Output { return machine.Tick(boottime.Now()) })
		now := boottime.Now()
		gossip.lastTick.Store(&now)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// paused reports whether this process was suspended for so long that peers may have
// declared it dead, and has not processed a tick since.
func (gossip *gossip) paused() bool {
	lastTick := gossip.lastTick.Load()
	return lastTick == nil || boottime.Since(*lastTick) > membership.DefaultConfig.PauseThreshold
}

func (gossip *gossip) apply(step func(*membership.Machine) membership.Output) {
	gossip.mutex.Lock()
	output := step(gossip.machine)
	if len(output.Changes) > 0 {
		gossip.updateLive()
	}
	gossip.mutex.Unlock()
	for _, message := range output.Messages {
		gossip.metrics.DatagramsSent.Inc()
		// The protocol tolerates the loss of datagrams.
		_ = gossip.datagrams.Send(message.To, message)
	}
	for _, change := range output.Changes {
		gossip.onChange(change)
	}
}

// updateLive updates the cached members and the member metrics. The caller must
// hold the mutex.
func (gossip *gossip) updateLive() {
	live := []membership.Member{}
	counts := map[membership.Status]int{}
	for _, member := range gossip.machine.Members() {
		counts[member.Status]++
		if member.Status < membership.Dead && !member.Draining {
			live = append(live, member)
		}
	}
	gossip.liveMembers.Store(&live)
	for status := membership.Alive; status <= membership.Left; status++ {
		gossip.metrics.Members.WithLabelValues(status.String()).Set(float64(counts[status]))
	}
}

// members returns the nodes that accept work, including this one.
func (gossip *gossip) members() []membership.Member { return *gossip.liveMembers.Load() }

// addresses returns the addresses of the nodes that accept work.
func (gossip *gossip) addresses() []string {
	members := gossip.members()
	addresses := make([]string, len(members))
	for index, member := range members {
		addresses[index] = member.Address
	}
	return addresses
}

// selfAndDigest returns this node's own member entry and the digest of its
// membership view.
func (gossip *gossip) selfAndDigest() (membership.Member, uint64) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return gossip.machine.Self(), gossip.machine.Digest()
}

// membersAndItems returns all known members and items.
func (gossip *gossip) membersAndItems() ([]membership.Member, []membership.Item) {
	gossip.mutex.Lock()
	defer gossip.mutex.Unlock()
	return gossip.machine.Members(), gossip.machine.Items()
}

func (gossip *gossip) merge(members []membership.Member, items []membership.Item) {
	gossip.apply(func(machine *membership.Machine) membership.Output {
		return machine.Merge(boottime.Now(), members, items)
	})
}

func (gossip *gossip) broadcastRecord(record endpoint.Record) {
	var data bytes.Buffer
	if gob.NewEncoder(&data).Encode(record) != nil {
		return
	}
	item := membership.Item{Key: endpointItemPrefix + record.Name, Version: record.Version, Data: data.Bytes()}
	gossip.apply(func(machine *membership.Machine) membership.Output { return machine.BroadcastItem(item) })
}

func decodeRecord(item membership.Item) (endpoint.Record, bool) {
	var record endpoint.Record
	err := gob.NewDecoder(bytes.NewReader(item.Data)).Decode(&record)
	return record, err == nil
}
