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

var testConfig = Config{Window: 10 * time.Second, ClockSkew: 200 * time.Millisecond, RoundLimit: 500 * time.Millisecond}

// newTimeOrderedKey returns a UUID version 7 created at the given time.
func keyMintedAt(at time.Time, salt uint64) string {
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
	holder *Holder
	skew   time.Duration
	up     bool
	cut    bool
}

// pendingMessage is a claim or a response in transit.
type flight struct {
	due     time.Time
	attempt *attempt
	holder  int
	answer  *Answer
}

type attempt struct {
	key   Key
	owner string
	round *Round
	sent  bool
	over  bool
}

// simulation simulates holders, coordinators and the network in virtual time.
type fleet struct {
	t        *rapid.T
	now      time.Time
	holders  []*holderNode
	flights  []flight
	attempts []*attempt
	// runs counts dispatches of each key.
	runs map[Key]int
	// firstSentAt is when each opaque key was first sent.
	born map[Key]time.Time
}

func (fleet *fleet) start(index int) {
	node := fleet.holders[index]
	node.holder = NewHolder(testConfig, fleet.now.Add(node.skew))
	node.up = true
}

func (fleet *fleet) send(key Key) {
	made := &attempt{key: key, owner: fmt.Sprintf("owner-%d", len(fleet.attempts)), round: NewRound(testConfig, fleet.now, []string{"0", "1", "2"})}
	fleet.attempts = append(fleet.attempts, made)
	if Check(testConfig, fleet.now, key) != nil {
		made.over = true
		return
	}
	for index := range fleet.holders {
		delay := time.Duration(rapid.IntRange(0, 700).Draw(fleet.t, "delay")) * time.Millisecond
		fleet.flights = append(fleet.flights, flight{due: fleet.now.Add(delay), attempt: made, holder: index})
	}
}

// advance moves time forward and delivers the messages that are due.
func (fleet *fleet) advance(step time.Duration) {
	fleet.now = fleet.now.Add(step)
	pending := fleet.flights
	fleet.flights = nil
	for _, item := range pending {
		if item.due.After(fleet.now) {
			fleet.flights = append(fleet.flights, item)
			continue
		}
		fleet.deliver(item)
	}
	for index, node := range fleet.holders {
		if node.up && node.holder.RecoveryDue(fleet.now.Add(node.skew)) {
			fleet.recover(index)
		}
	}
}

func (fleet *fleet) deliver(item flight) {
	node := fleet.holders[item.holder]
	if item.answer != nil {
		fleet.receive(item)
		return
	}
	if !node.up || node.cut {
		return
	}
	answer := node.holder.Claim(fleet.now.Add(node.skew), item.attempt.key, item.attempt.owner)
	delay := time.Duration(rapid.IntRange(0, 400).Draw(fleet.t, "answer delay")) * time.Millisecond
	fleet.flights = append(fleet.flights, flight{due: fleet.now.Add(delay), attempt: item.attempt, holder: item.holder, answer: &answer})
}

func (fleet *fleet) receive(item flight) {
	made := item.attempt
	decision := made.round.Receive(fleet.now, fmt.Sprint(item.holder), *item.answer)
	if made.over || decision == Undecided {
		return
	}
	made.over = true
	if decision == Won {
		made.sent = true
		fleet.runs[made.key]++
		return
	}
	for _, node := range fleet.holders {
		if node.up && !node.cut {
			node.holder.Conclude(fleet.now.Add(node.skew), made.key, made.owner, Released)
		}
	}
}

func (fleet *fleet) recover(index int) {
	records := []Record{}
	for other, node := range fleet.holders {
		if other == index {
			continue
		}
		if !node.up || node.cut || fleet.holders[index].cut || !node.holder.Complete(fleet.now.Add(node.skew)) {
			return
		}
		records = append(records, node.holder.Records(fleet.now.Add(node.skew))...)
	}
	fleet.holders[index].holder.Recover(fleet.now.Add(fleet.holders[index].skew), records)
}

// TestAtMostOnce sends duplicates of time-ordered and opaque keys through
// different coordinators, concurrently and late, while holders restart one by one
// or all at once, are partitioned, and have clocks that differ within the bound.
func TestAtMostOnce(t *testing.T) {
	property.CheckMany(t, 5_000, func(t *rapid.T) {
		fleet := &fleet{t: t, now: time.UnixMilli(1_800_000_000_000), runs: map[Key]int{}, born: map[Key]time.Time{}}
		for range 3 {
			skew := time.Duration(rapid.IntRange(-100, 100).Draw(t, "skew")) * time.Millisecond
			fleet.holders = append(fleet.holders, &holderNode{skew: skew})
		}
		for index := range fleet.holders {
			fleet.start(index)
		}
		keys := []Key{}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"ordered", "opaque", "duplicate", "duplicate", "duplicate", "restart", "herd", "cut", "heal", "wait", "wait", "long wait"}).Draw(t, "step") {
			case "ordered":
				minted := fleet.now.Add(time.Duration(rapid.IntRange(-100, 100).Draw(t, "caller skew")) * time.Millisecond)
				keys = append(keys, Key{Tenant: "t", Value: keyMintedAt(minted, uint64(len(keys)))})
				fleet.send(keys[len(keys)-1])
			case "opaque":
				keys = append(keys, Key{Tenant: "t", Value: fmt.Sprintf("order %d", len(keys))})
				fleet.born[keys[len(keys)-1]] = fleet.now
				fleet.send(keys[len(keys)-1])
			case "duplicate":
				if len(keys) == 0 {
					continue
				}
				key := rapid.SampledFrom(keys).Draw(t, "key")
				// An opaque key is protected for the window, a time-ordered one
				// indefinitely.
				if born, opaque := fleet.born[key]; !opaque || fleet.now.Sub(born) < testConfig.Window-3*time.Second {
					fleet.send(key)
				}
			case "restart":
				fleet.start(rapid.IntRange(0, 2).Draw(t, "which"))
			case "herd":
				for index := range fleet.holders {
					fleet.start(index)
				}
			case "cut":
				fleet.holders[rapid.IntRange(0, 2).Draw(t, "which")].cut = true
			case "heal":
				for _, node := range fleet.holders {
					node.cut = false
				}
			case "wait":
				fleet.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * time.Millisecond)
			case "long wait":
				for range 12 {
					fleet.advance(250 * time.Millisecond)
				}
			}
		}
		for range 8 {
			fleet.advance(250 * time.Millisecond)
		}
		for key, count := range fleet.runs {
			require.LessOrEqual(t, count, 1, "key %s ran more than once", key.Value)
		}
	})
}

func TestHerdRestartServesNewKeysAtOnce(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	holder := NewHolder(testConfig, now)
	later := now.Add(testConfig.ClockSkew + 10*time.Millisecond)
	fresh := Key{Tenant: "t", Value: keyMintedAt(later, 1)}
	require.Equal(t, Granted, holder.Claim(later, fresh, "owner").Verdict)
	old := Key{Tenant: "t", Value: keyMintedAt(now.Add(-time.Second), 2)}
	require.Equal(t, Abstained, holder.Claim(later, old, "owner").Verdict)
	require.Equal(t, Abstained, holder.Claim(later, Key{Tenant: "t", Value: "opaque"}, "owner").Verdict)
}

func TestLateClaimOfReleasedOwnerIsNotKept(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	holder := NewHolder(testConfig, now)
	holder.Recover(now, nil)
	key := Key{Tenant: "t", Value: "turn 7"}
	holder.Conclude(now, key, "first", Released)
	require.Equal(t, Taken, holder.Claim(now, key, "first").Verdict)
	require.Equal(t, Granted, holder.Claim(now, key, "second").Verdict)
}

func TestKeysOutsideTheWindowAreRefused(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	old := Key{Tenant: "t", Value: keyMintedAt(now.Add(-testConfig.Window), 1)}
	require.NotNil(t, Check(testConfig, now, old))
	future := Key{Tenant: "t", Value: keyMintedAt(now.Add(time.Second), 1)}
	require.NotNil(t, Check(testConfig, now, future))
	require.Nil(t, Check(testConfig, now, Key{Tenant: "t", Value: "opaque"}))
}

func TestLateGrantsDoNotWin(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	round := NewRound(testConfig, start, []string{"a", "b", "c"})
	require.Equal(t, Undecided, round.Receive(start, "a", Answer{Verdict: Granted}))
	late := start.Add(testConfig.RoundLimit + time.Millisecond)
	require.Equal(t, Unavailable, round.Receive(late, "b", Answer{Verdict: Granted}))
	require.Equal(t, Unavailable, round.Receive(late, "c", Answer{Verdict: Granted}))
}

func TestRecoveryWaitsForRoundsUnderWay(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	holder := NewHolder(testConfig, start)
	require.False(t, holder.RecoveryDue(start.Add(testConfig.RoundLimit)))
	require.True(t, holder.RecoveryDue(start.Add(2*testConfig.RoundLimit)))
}

func TestKeysMintedWithinTheSkewOfAStartAreAbstainedFrom(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	holder := NewHolder(testConfig, start)
	key := Key{Tenant: "t", Value: keyMintedAt(start.Add(testConfig.ClockSkew/2), 1)}
	require.Equal(t, Abstained, holder.Claim(start.Add(testConfig.ClockSkew), key, "owner").Verdict)
}
