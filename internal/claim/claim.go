// Package claim makes a request run at most once: before it is dispatched, its
// idempotency key is claimed at a majority of the key's holders.
//
// Holder and Round are pure state machines. docs/decisions/claims.md gives the
// argument for their safety and what it rests on.
package claim

import (
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cloverrail/cloverrail/internal/prefix"
)

// Key names a request of one tenant.
type Key struct {
	Tenant string
	// Value is the caller's idempotency key.
	Value string
}

// MintedAt returns the time inside a time-ordered key (UUID version 7).
func (key Key) MintedAt() (time.Time, bool) {
	parsed, err := uuid.Parse(key.Value)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := parsed.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

// Status is how far a claimed request is known to be.
type Status uint8

// The statuses of a claim.
const (
	// Claimed means that an owner may be running the request.
	Claimed Status = iota
	// Completed means that the owner saw the request run.
	Completed
	// Released means that the owner never sent it and never will.
	Released
)

// Record is one claim.
type Record struct {
	Key    Key
	Owner  string
	Status Status
	At     time.Time
}

// Verdict is a holder's answer.
type Verdict uint8

// The verdicts.
const (
	// Granted means that the holder keeps the claim for the owner.
	Granted Verdict = iota + 1
	// Taken means that another owner has it.
	Taken
	// Abstained means that the holder may have forgotten an earlier claim.
	Abstained
)

// Answer is a holder's answer with the status of the claim that stands.
type Answer struct {
	Verdict Verdict
	Status  Status
}

// Config sets the times that the guarantee rests on.
type Config struct {
	// Window is how long claims are remembered.
	Window time.Duration
	// ClockSkew bounds the difference between any two clocks.
	ClockSkew time.Duration
	// RoundLimit is how long after its start a round may still succeed.
	RoundLimit time.Duration
}

// DefaultRoundLimit is far above a round trip between zones.
const DefaultRoundLimit = 500 * time.Millisecond

// HoldersPerKey is how many nodes hold each key; a majority of them decides.
const HoldersPerKey = 3

// Majority of a key's holders.
func Majority(holders int) int { return holders/2 + 1 }

// HoldersOf picks a key's holders from the roster, by rendezvous. Everyone who
// has the same roster picks the same ones.
func HoldersOf(key Key, roster []string) []string {
	hash := prefix.KeyOf(key.Tenant + "\x00" + key.Value)
	ranked := append([]string(nil), roster...)
	sort.Slice(ranked, func(i, j int) bool {
		return prefix.Weight(hash, ranked[i]) > prefix.Weight(hash, ranked[j])
	})
	return ranked[:min(HoldersPerKey, len(ranked))]
}

// RosterName identifies a roster, so that two nodes with different rosters
// never decide together.
func RosterName(roster []string) string {
	sorted := append([]string(nil), roster...)
	sort.Strings(sorted)
	return strings.Join(sorted, ",")
}
