package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

var testConfig = Config{Window: 10 * time.Second, ClockSkew: 200 * time.Millisecond, RoundTimeout: 500 * time.Millisecond}

// newTimeOrderedKey returns a UUID version 7 created at the given time.
func newTimeOrderedKey(at time.Time, salt uint64) string {
	var id uuid.UUID
	milliseconds := uint64(at.UnixMilli())
	for index := range 6 {
		id[index] = byte(milliseconds >> (8 * (5 - index)))
	}
	id[6], id[8] = 0x70, 0x80
	id[15] = byte(salt)
	return id.String()
}

// holderNode is a process that runs a holder and has its own clock.
type holderNode struct {
	holder      *Holder
	skew        time.Duration
	up          bool
	partitioned bool
}

// pendingMessage is a claim or a response in transit.
type pendingMessage struct {
	due      time.Time
	attempt  *attempt
	holder   int
	response *Response
}

type attempt struct {
	key      Key
	owner    string
	round    *Round
	sent     bool
	finished bool
}

// simulation simulates holders, coordinators and the network in virtual time.
type simulation struct {
	t        *rapid.T
	now      time.Time
	holders  []*holderNode
	pending  []pendingMessage
	attempts []*attempt
	// runs counts dispatches of each key.
	runs map[Key]int
	// firstSentAt is when each opaque key was first sent.
	firstSentAt map[Key]time.Time
}

func (simulation *simulation) start(index int) {
	node := simulation.holders[index]
	node.holder = NewHolder(testConfig, simulation.now.Add(node.skew))
	node.up = true
}

func (simulation *simulation) send(key Key) {
	a := &attempt{key: key, owner: fmt.Sprintf("owner-%d", len(simulation.attempts)), round: NewRound(testConfig, simulation.now, []string{"0", "1", "2"})}
	simulation.attempts = append(simulation.attempts, a)
	if CheckAge(testConfig, simulation.now, key) != nil {
		a.finished = true
		return
	}
	for index := range simulation.holders {
		delay := time.Duration(rapid.IntRange(0, 700).Draw(simulation.t, "delay")) * time.Millisecond
		simulation.pending = append(simulation.pending, pendingMessage{due: simulation.now.Add(delay), attempt: a, holder: index})
	}
}

// advance moves time forward and delivers the messages that are due.
func (simulation *simulation) advance(step time.Duration) {
	simulation.now = simulation.now.Add(step)
	messages := simulation.pending
	simulation.pending = nil
	for _, message := range messages {
		if message.due.After(simulation.now) {
			simulation.pending = append(simulation.pending, message)
			continue
		}
		simulation.deliver(message)
	}
	for index, node := range simulation.holders {
		if node.up && node.holder.RecoveryDue(simulation.now.Add(node.skew)) {
			simulation.recover(index)
		}
	}
}

func (simulation *simulation) deliver(message pendingMessage) {
	node := simulation.holders[message.holder]
	if message.response != nil {
		simulation.receive(message)
		return
	}
	if !node.up || node.partitioned {
		return
	}
	response := node.holder.Claim(simulation.now.Add(node.skew), message.attempt.key, message.attempt.owner)
	delay := time.Duration(rapid.IntRange(0, 400).Draw(simulation.t, "answer delay")) * time.Millisecond
	simulation.pending = append(simulation.pending, pendingMessage{due: simulation.now.Add(delay), attempt: message.attempt, holder: message.holder, response: &response})
}

func (simulation *simulation) receive(message pendingMessage) {
	a := message.attempt
	decision := a.round.Receive(simulation.now, fmt.Sprint(message.holder), *message.response)
	if a.finished || decision == Undecided {
		return
	}
	a.finished = true
	if decision == Won {
		a.sent = true
		simulation.runs[a.key]++
		return
	}
	for _, node := range simulation.holders {
		if node.up && !node.partitioned {
			node.holder.Conclude(simulation.now.Add(node.skew), a.key, a.owner, Released)
		}
	}
}

func (simulation *simulation) recover(index int) {
	records := []Record{}
	for other, node := range simulation.holders {
		if other == index {
			continue
		}
		if !node.up || node.partitioned || simulation.holders[index].partitioned || !node.holder.Complete(simulation.now.Add(node.skew)) {
			return
		}
		records = append(records, node.holder.Records(simulation.now.Add(node.skew))...)
	}
	simulation.holders[index].holder.Recover(simulation.now.Add(simulation.holders[index].skew), records)
}

// TestAtMostOnce sends duplicates of time-ordered and opaque keys through
// different coordinators, concurrently and late, while holders restart one by one
// or all at once, are partitioned, and have clocks that differ within the bound.
func TestAtMostOnce(t *testing.T) {
	property.CheckMany(t, 5_000, func(t *rapid.T) {
		simulation := &simulation{t: t, now: time.UnixMilli(1_800_000_000_000), runs: map[Key]int{}, firstSentAt: map[Key]time.Time{}}
		for range 3 {
			skew := time.Duration(rapid.IntRange(-100, 100).Draw(t, "skew")) * time.Millisecond
			simulation.holders = append(simulation.holders, &holderNode{skew: skew})
		}
		for index := range simulation.holders {
			simulation.start(index)
		}
		keys := []Key{}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"ordered", "opaque", "duplicate", "duplicate", "duplicate", "restart", "herd", "cut", "heal", "wait", "wait", "long wait"}).Draw(t, "step") {
			case "ordered":
				created := simulation.now.Add(time.Duration(rapid.IntRange(-100, 100).Draw(t, "caller skew")) * time.Millisecond)
				keys = append(keys, Key{Tenant: "t", Value: newTimeOrderedKey(created, uint64(len(keys)))})
				simulation.send(keys[len(keys)-1])
			case "opaque":
				keys = append(keys, Key{Tenant: "t", Value: fmt.Sprintf("order %d", len(keys))})
				simulation.firstSentAt[keys[len(keys)-1]] = simulation.now
				simulation.send(keys[len(keys)-1])
			case "duplicate":
				if len(keys) == 0 {
					continue
				}
				key := rapid.SampledFrom(keys).Draw(t, "key")
				// An opaque key is protected for the window, a time-ordered one
				// indefinitely.
				if firstSentAt, opaque := simulation.firstSentAt[key]; !opaque || simulation.now.Sub(firstSentAt) < testConfig.Window-3*time.Second {
					simulation.send(key)
				}
			case "restart":
				simulation.start(rapid.IntRange(0, 2).Draw(t, "which"))
			case "herd":
				for index := range simulation.holders {
					simulation.start(index)
				}
			case "cut":
				simulation.holders[rapid.IntRange(0, 2).Draw(t, "which")].partitioned = true
			case "heal":
				for _, node := range simulation.holders {
					node.partitioned = false
				}
			case "wait":
				simulation.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * time.Millisecond)
			case "long wait":
				for range 12 {
					simulation.advance(250 * time.Millisecond)
				}
			}
		}
		for range 8 {
			simulation.advance(250 * time.Millisecond)
		}
		for key, count := range simulation.runs {
			require.LessOrEqual(t, count, 1, "key %s ran more than once", key.Value)
		}
	})
}

func TestRestartedHolderGrantsOnlyNewTimeOrderedKeys(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	holder := NewHolder(testConfig, now)
	later := now.Add(testConfig.ClockSkew + 10*time.Millisecond)
	fresh := Key{Tenant: "t", Value: newTimeOrderedKey(later, 1)}
	require.Equal(t, Granted, holder.Claim(later, fresh, "owner").Verdict)
	old := Key{Tenant: "t", Value: newTimeOrderedKey(now.Add(-time.Second), 2)}
	require.Equal(t, Abstained, holder.Claim(later, old, "owner").Verdict)
	require.Equal(t, Abstained, holder.Claim(later, Key{Tenant: "t", Value: "opaque"}, "owner").Verdict)
}

func TestLateClaimOfReleasedOwnerIsRejected(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	holder := NewHolder(testConfig, now)
	holder.Recover(now, nil)
	key := Key{Tenant: "t", Value: "turn 7"}
	holder.Conclude(now, key, "first", Released)
	require.Equal(t, Taken, holder.Claim(now, key, "first").Verdict)
	require.Equal(t, Granted, holder.Claim(now, key, "second").Verdict)
}

func TestKeysOutsideWindowAreRejected(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	old := Key{Tenant: "t", Value: newTimeOrderedKey(now.Add(-testConfig.Window), 1)}
	require.NotNil(t, CheckAge(testConfig, now, old))
	future := Key{Tenant: "t", Value: newTimeOrderedKey(now.Add(time.Second), 1)}
	require.NotNil(t, CheckAge(testConfig, now, future))
	require.Nil(t, CheckAge(testConfig, now, Key{Tenant: "t", Value: "opaque"}))
}

func TestGrantAfterRoundTimeoutDoesNotWin(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	round := NewRound(testConfig, start, []string{"a", "b", "c"})
	require.Equal(t, Undecided, round.Receive(start, "a", Response{Verdict: Granted}))
	late := start.Add(testConfig.RoundTimeout + time.Millisecond)
	require.Equal(t, Unavailable, round.Receive(late, "b", Response{Verdict: Granted}))
	require.Equal(t, Unavailable, round.Receive(late, "c", Response{Verdict: Granted}))
}

func TestRecoveryWaitsForRoundsInProgress(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	holder := NewHolder(testConfig, start)
	require.False(t, holder.RecoveryDue(start.Add(testConfig.RoundTimeout)))
	require.True(t, holder.RecoveryDue(start.Add(2*testConfig.RoundTimeout)))
}

func TestHolderAbstainsFromKeysCreatedWithinClockSkewOfStart(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	holder := NewHolder(testConfig, start)
	key := Key{Tenant: "t", Value: newTimeOrderedKey(start.Add(testConfig.ClockSkew/2), 1)}
	require.Equal(t, Abstained, holder.Claim(start.Add(testConfig.ClockSkew), key, "owner").Verdict)
}
