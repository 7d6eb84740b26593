package quarantine

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// simulation is a service in virtual time whose requests share a prompt: all are routed to the
// same server unless they are isolated.
type crowd struct {
	random  *rand.Rand
	ledger  *Ledger
	now     time.Time
	servers []place
	// pending holds the unresolved suspicions, oldest first.
	settling []suspicion
	guilty   []*sender
	others   []*sender
}

// suspicion is a crash and the time at which it is resolved.
type suspicion struct {
	at     time.Time
	settle func()
}

// serverSlot is the location of a server. Another server starts there some time after a crash.
type place struct {
	server uint64
	upAt   time.Time
}

// client sends the same request repeatedly.
type sender struct {
	f Fingerprint
	// duration is the response time, or for a culprit the time until the server crashes.
	takes time.Duration
	// at is the slot where the request runs until doneAt, or -1 while the client waits until then.
	at     int
	doneAt time.Time
	ends   []time.Time
	served int
	held   int
}

// lateCrashes counts the crashes caused by a request after all nodes had time to learn of three.
// There may be none if other requests crash its servers first.
func (s *sender) late() int {
	if len(s.ends) < enoughEnds {
		return 0
	}
	known := s.ends[enoughEnds-1].Add(crowdContact)
	return len(slices.DeleteFunc(slices.Clone(s.ends), func(at time.Time) bool { return !at.After(known) }))
}

const (
	// confirmDelay is how long a crash is unresolved, and awarenessDelay the time until it is known
	// to all nodes.
	crowdSettles = 500 * time.Millisecond
	crowdKnows   = 1200 * time.Millisecond
	crowdTick    = 20 * time.Millisecond
	// retryDelay is how long a client waits after its request was rejected.
	crowdPause   = 100 * time.Millisecond
	crowdContact = 3 * time.Second
	// crashCycle is approximately the time from one crash caused by a culprit to its next.
	crowdEnds = 200 * time.Millisecond
	mostLate  = 3
)

func (c *crowd) unsure(_ uint64, at time.Time) bool { return c.now.Sub(at) < crowdKnows }

// pickSlot returns the slot for a request, or -1 if all servers are down: the first in the
// common order, or in an order of its own if it is isolated.
func (c *crowd) put(f Fingerprint, apart bool) int {
	best, least := -1, uint64(0)
	for i, p := range c.servers {
		if c.now.Before(p.upAt) {
			continue
		}
		order := uint64(i)
		if apart {
			order = xxhash.Sum64(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, uint64(f)), p.server))
		}
		if best < 0 || order < least {
			best, least = i, order
		}
	}
	return best
}

func (c *crowd) send(s *sender) {
	if c.ledger.Judge(s.f, c.unsure, c.now).Held {
		s.held++
		s.doneAt = c.now.Add(crowdPause)
		return
	}
	s.at = c.put(s.f, c.ledger.Suspected(s.f) >= 2)
	s.doneAt = c.now.Add(s.takes)
}

// crash crashes the server in a slot with all requests that run there.
func (c *crowd) end(at int, down time.Duration) {
	ended, server := c.now, c.servers[at].server
	for _, s := range slices.Concat(c.guilty, c.others) {
		if s.at != at {
			continue
		}
		s.at, s.doneAt = -1, c.now.Add(time.Duration(c.random.IntN(200))*time.Millisecond)
		c.ledger.Suspect(s.f)
		settle := func() { c.ledger.Settle(s.f, server, ended, true, c.now) }
		c.settling = append(c.settling, suspicion{at: c.now.Add(crowdSettles), settle: settle})
	}
	c.servers[at] = place{server: server + 1000, upAt: c.now.Add(down)}
}

func (c *crowd) run(length, down time.Duration) {
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(crowdTick) {
		for len(c.settling) > 0 && !c.now.Before(c.settling[0].at) {
			c.settling[0].settle()
			c.settling = c.settling[1:]
		}
		for _, s := range c.guilty {
			if s.at >= 0 && !c.now.Before(s.doneAt) {
				s.ends = append(s.ends, c.now)
				c.end(s.at, down)
			}
		}
		for _, s := range c.others {
			if s.at >= 0 && !c.now.Before(s.doneAt) {
				s.at, s.served = -1, s.served+1
				c.ledger.Served(s.f, c.now)
			}
		}
		for _, s := range slices.Concat(c.guilty, c.others) {
			if s.at < 0 && !c.now.Before(s.doneAt) {
				c.send(s)
			}
		}
	}
}

// Bystanders that share the prompt of requests that crash servers, and run longer than the
// servers last, are not quarantined, and the culprits are in time.
func TestNoRequestIsHeldOffForItsCompany(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		c := &crowd{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)), ledger: NewLedger(), now: begin}
		for i := range rapid.SampledFrom([]int{4, 8, 16}).Draw(t, "servers") {
			c.servers = append(c.servers, place{server: uint64(i)})
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "guilty") {
			c.guilty = append(c.guilty, &sender{f: Fingerprint(c.random.Uint64()), takes: time.Duration(20+20*i) * time.Millisecond, at: -1})
		}
		for range rapid.IntRange(1, 6).Draw(t, "others") {
			takes := time.Duration(rapid.IntRange(100, 1500).Draw(t, "takes")) * time.Millisecond
			c.others = append(c.others, &sender{f: Fingerprint(c.random.Uint64()), takes: takes, at: -1})
		}
		down := time.Duration(rapid.IntRange(100, 800).Draw(t, "down")) * time.Millisecond
		c.run(12*time.Second, down)
		for i, s := range c.others {
			if len(c.servers) <= 2*len(c.guilty) {
				// Nearly all servers are down, and no request can be isolated.
				continue
			}
			require.NotZero(t, s.served)
			most := 0
			if down*time.Duration(2*len(c.guilty)) > crowdEnds*time.Duration(len(c.servers)) {
				// Half of the servers are down when culprits return: isolated requests meet them
				// nevertheless.
				most = int(2 * shortestCompanyHold / crowdPause)
			}
			require.LessOrEqual(t, s.held, most, "bystander %d, served %d times", i, s.served)
		}
		for i, s := range c.guilty {
			require.LessOrEqual(t, s.late(), mostLate, "culprit %d, %d crashes", i, len(s.ends))
		}
	})
}

// Load pattern: six requests crash servers and are retried at once, on sixteen servers that
// restart quickly. They share a prompt with 256 others, of which thirty run at a time. Without
// isolation, 9 to 23 of those were quarantined for ten minutes.
func TestManyRequestsBesideSomeThatEndServersAreServed(t *testing.T) {
	for seed := range uint64(8) {
		c := &crowd{random: rand.New(rand.NewPCG(seed, 2)), ledger: NewLedger(), now: begin}
		for i := range 16 {
			c.servers = append(c.servers, place{server: uint64(i)})
		}
		for range 6 {
			c.guilty = append(c.guilty, &sender{f: Fingerprint(c.random.Uint64()), takes: 20 * time.Millisecond, at: -1})
		}
		for sent := 0; sent < 256 || len(c.others) > 0; {
			for ; sent < 256 && len(c.others) < 30; sent++ {
				c.others = append(c.others, &sender{f: Fingerprint(c.random.Uint64()), takes: 150 * time.Millisecond, at: -1})
			}
			c.run(100*time.Millisecond, 200*time.Millisecond)
			c.others = slices.DeleteFunc(c.others, func(s *sender) bool {
				require.Zero(t, s.held, "seed %d", seed)
				return s.served > 0
			})
			require.Less(t, c.now.Sub(begin), 30*time.Second, "seed %d: %d not served", seed, len(c.others))
		}
		c.run(5*time.Second, 200*time.Millisecond)
		for _, s := range c.guilty {
			require.LessOrEqual(t, s.late(), mostLate, "seed %d", seed)
		}
	}
}
